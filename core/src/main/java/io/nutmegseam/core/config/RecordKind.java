package io.nutmegseam.core.config;

import java.util.Arrays;
import java.util.Optional;

/** The kind of an operator record. */
public enum RecordKind {
  /** A model. */
  MODEL("Model"),
  /** An adapter of a model. */
  ADAPTER("Adapter"),
  /** A plain service. */
  SERVICE("Service"),
  /** A backend server. */
  BACKEND_SERVER("BackendServer"),
  /** A data centre. */
  DATA_CENTRE("DataCentre"),
  /** The policy that applies to the entire system. */
  POLICY("Policy");

  private final String wireName;

  RecordKind(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the value of the {@code kind} field of records. */
  public String wireName() {
    return wireName;
  }

  /** Returns the kind with a wire name, or empty if there is none. */
  public static Optional<RecordKind> fromWireName(String wireName) {
    return Arrays.stream(values()).filter(kind -> kind.wireName.equals(wireName)).findFirst();
  }
}
