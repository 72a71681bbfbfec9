package io.nutmegseam.core.ownership;

import io.nutmegseam.core.lease.HolderStatus;

/**
 * Decides when a node may take over a server from its holder. A lapsed lease is sufficient only for
 * a server that refuses outdated fencing numbers: at any other server, a paused holder could still
 * send orders after it resumes.
 */
@FunctionalInterface
public interface TakeoverRule {
  /**
   * Decides whether a server may be taken over.
   *
   * @param holder what is known about the holder
   * @param checksFencing whether the server refuses outdated fencing numbers
   * @return whether the server may be taken over
   */
  boolean mayTakeOver(HolderStatus holder, boolean checksFencing);

  /** Returns the rule that nodes follow. */
  static TakeoverRule standard() {
    return (holder, checksFencing) ->
        switch (holder) {
          case NONE, REPLACED, VM_GONE -> true;
          case LAPSED -> checksFencing;
          case LIVE, SELF -> false;
        };
  }
}
