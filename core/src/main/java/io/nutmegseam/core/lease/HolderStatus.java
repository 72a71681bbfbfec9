package io.nutmegseam.core.lease;

/** What an observer knows about the holder of a row. */
public enum HolderStatus {
  /** The row has no holder. */
  NONE,
  /** The observer itself holds the row. */
  SELF,
  /** The holder renews its lease, or its row has not been observed for long enough to tell. */
  LIVE,
  /** The holder's lease has not been renewed for longer than the lease time. */
  LAPSED,
  /**
   * The lease row of the holder's node is written by another process. That process uses the
   * holder's address, so the holder has exited.
   */
  REPLACED,
  /** The holder's VM was removed from the VM list, so the holder has exited. */
  VM_GONE
}
