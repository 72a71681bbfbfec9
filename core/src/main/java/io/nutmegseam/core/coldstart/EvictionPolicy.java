package io.nutmegseam.core.coldstart;

/** Rates the value of keeping a unit loaded; the unit with the lowest value is unloaded first. */
@FunctionalInterface
public interface EvictionPolicy {
  /**
   * Returns the value of keeping a unit loaded. Values are comparable only within one policy.
   *
   * @param usage usage of the unit
   * @param nowMillis monotonic time
   */
  double retentionValue(UnitUsage usage, long nowMillis);

  /** Returns a policy that rates by expected reuse and reload time per occupied accelerator. */
  static EvictionPolicy reuseCost() {
    return UnitUsage::savingPerAccelerator;
  }

  /** Returns a policy that rates by the time of the last use only. */
  static EvictionPolicy leastRecent() {
    return (usage, nowMillis) -> usage.lastUsedMillis();
  }

  /** Returns the policy of a policy record: {@code least-recent}, else by reuse cost. */
  static EvictionPolicy named(String name) {
    return name.equals("least-recent") ? leastRecent() : reuseCost();
  }
}
