package io.nutmegseam.core.coldstart;

/** The worth of keeping a loaded unit; the unit with the lowest worth is unloaded first. */
@FunctionalInterface
public interface EvictionPolicy {
  /**
   * Returns the worth of keeping a unit.
   *
   * @param use how the unit is used
   * @param nowMillis monotonic time
   */
  double retentionValue(UnitUsage use, long nowMillis);

  /** Worth by expected reuse and reload time for the memory held. */
  static EvictionPolicy reuseCost() {
    return UnitUsage::savingPerAccelerator;
  }

  /** Worth by last use only. */
  static EvictionPolicy leastRecent() {
    return (use, nowMillis) -> use.lastUsedMillis();
  }

  /** Returns the policy with a name of the policy record. */
  static EvictionPolicy named(String name) {
    return name.equals("least-recent") ? leastRecent() : reuseCost();
  }
}
