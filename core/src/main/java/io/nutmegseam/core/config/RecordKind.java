package io.nutmegseam.core.config;

import java.util.Arrays;
import java.util.Optional;

/** The kinds of operator records. */
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
  /** The operators' choices for the whole system. */
  POLICY("Policy");

  private final String word;

  RecordKind(String word) {
    this.word = word;
  }

  /** Returns the word used in records. */
  public String wireName() {
    return word;
  }

  /** Returns the kind with a word, or empty. */
  public static Optional<RecordKind> fromWireName(String word) {
    return Arrays.stream(values()).filter(kind -> kind.word.equals(word)).findFirst();
  }
}
