package io.nutmegseam.core.config;

import java.util.List;

/**
 * A model that should be available.
 *
 * @param name the model's name in requests
 * @param memoryBytes accelerator memory of one replica, in bytes
 * @param maxReplicas most replicas that may be loaded at once
 * @param loadMillis time of one load at full store speed, in milliseconds
 * @param dataCentres data centres that may carry it; empty for any
 * @param vms VMs that may carry it; empty for any
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

  /** Returns whether a backend server may carry a replica, by its place and its size. */
  public boolean mayRunOn(BackendServerRecord server) {
    boolean rightDataCentre = dataCentres.isEmpty() || dataCentres.contains(server.dataCentre());
    boolean rightVm = vms.isEmpty() || vms.contains(server.vm());
    return server.isEngine() && rightDataCentre && rightVm && memoryBytes <= server.memoryBytes();
  }
}
