package io.nutmegseam.core.config;

import java.util.List;

/**
 * Record of a model that callers can request.
 *
 * @param name name of the model in requests
 * @param memoryBytes accelerator memory that one replica needs, in bytes
 * @param maxReplicas maximum number of replicas that may be loaded at the same time
 * @param loadMillis load time at the full speed of the weight store, in milliseconds
 * @param dataCentres data centres that may host the model; empty for any
 * @param vms VMs that may host the model; empty for any
 */
public record ModelRecord(
    String name,
    long memoryBytes,
    int maxReplicas,
    long loadMillis,
    List<String> dataCentres,
    List<String> vms)
    implements OperatorRecord {
  @Override
  public RecordKind kind() {
    return RecordKind.MODEL;
  }

  /** Returns whether a backend server may host a replica, by its location and its memory. */
  public boolean mayRunOn(BackendServerRecord server) {
    boolean dataCentreAllowed = dataCentres.isEmpty() || dataCentres.contains(server.dataCentre());
    boolean vmAllowed = vms.isEmpty() || vms.contains(server.vm());
    return server.isEngine()
        && dataCentreAllowed
        && vmAllowed
        && memoryBytes <= server.memoryBytes();
  }
}
