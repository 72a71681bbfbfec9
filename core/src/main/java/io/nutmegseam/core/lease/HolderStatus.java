package io.nutmegseam.core.lease;

/** What an observer knows about the holder of a row. */
public enum HolderStatus {
  /** The row has no holder. */
  NONE,
  /** The observer itself holds the row. */
  SELF,
  /** The holder renews its lease, or not enough time has passed to say otherwise. */
  LIVE,
  /** The holder's lease has not been renewed for longer than it lasts. */
  LAPSED,
  /** Another process has started on the holder's own address, so the holder is gone. */
  REPLACED,
  /** The holder's VM is absent from the VM list, so the holder is gone. */
  VM_GONE
}
