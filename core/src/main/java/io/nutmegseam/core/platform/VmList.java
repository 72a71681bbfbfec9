package io.nutmegseam.core.platform;

import java.util.List;

/** The platform's list of VMs. The list may be out of date. */
@FunctionalInterface
public interface VmList {
  /** The state of a VM. */
  enum VmState {
    /** The VM is running. */
    LIVE,
    /** The VM is about to be reclaimed. */
    LEAVING
  }

  /**
   * A VM.
   *
   * @param name name of the VM
   * @param state state of the VM
   */
  record Vm(String name, VmState state) {}

  /**
   * Reads the list.
   *
   * @return the VMs, without VMs that were removed
   * @throws PlatformException if there is no valid response
   */
  List<Vm> listVms() throws PlatformException;
}
