package io.nutmegseam.core.ownership;

import io.nutmegseam.core.lease.HolderStatus;

/**
 * Says when a server may be taken from its holder. A lapsed lease is enough only for a server that
 * refuses old fencing numbers: elsewhere a paused holder may still give orders when it wakes.
 */
@FunctionalInterface
public interface TakeoverRule {
  /**
   * Decides.
   *
   * @param holder what is known about the holder
   * @param checksFencing whether the server refuses old fencing numbers
   * @return whether the server may be taken
   */
  boolean mayTakeOver(HolderStatus holder, boolean checksFencing);

  /** Returns the rule of the system. */
  static TakeoverRule standard() {
    return (holder, checksFencing) ->
        switch (holder) {
          case NONE, REPLACED, VM_GONE -> true;
          case LAPSED -> checksFencing;
          case LIVE, SELF -> false;
        };
  }
}
