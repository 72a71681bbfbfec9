package io.nutmegseam.core.platform;

import java.util.List;

/** The platform's list of VMs. It lags behind the truth. */
@FunctionalInterface
public interface VmList {
  /** The state of a VM. */
  enum VmState {
    /** The VM runs. */
    LIVE,
    /** The VM is about to be reclaimed. */
    LEAVING
  }

  /**
   * One VM.
   *
   * @param name the VM's name
   * @param state its state
   */
  record Vm(String name, VmState state) {}

  /**
   * Reads the list.
   *
   * @return the VMs; a VM that is gone is absent
   * @throws PlatformException if there is no usable answer
   */
  List<Vm> listVms() throws PlatformException;
}
