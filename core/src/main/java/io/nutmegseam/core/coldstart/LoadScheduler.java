package io.nutmegseam.core.coldstart;

import io.nutmegseam.core.memory.MemoryLedger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Selects the loads and unloads of one backend server. Immutable. */
public final class LoadScheduler {
  /** Shortest time that a unit stays loaded before it may be evicted or unloaded as idle. */
  private static final long MIN_RESIDENCY_MILLIS = 1_500;

  private final LoadOrderPolicy loadOrder;
  private final EvictionPolicy eviction;
  private final double idleSecondsPerColdStartSecond;
  private final boolean unloadsIdle;
  private final long starvationMillis;

  /**
   * Creates a scheduler.
   *
   * @param loadOrder order in which units are loaded
   * @param eviction value of keeping units loaded
   * @param idleSecondsPerColdStartSecond idle accelerator seconds that are accepted to save one
   *     second of cold start
   * @param unloadsIdle whether units are unloaded whose expected saving does not justify their idle
   *     accelerators
   * @param starvationMillis wait, in milliseconds, after which a unit is starving: units that run
   *     requests, that other requests wait for or that were just loaded may then be evicted for it
   */
  public LoadScheduler(
      LoadOrderPolicy loadOrder,
      EvictionPolicy eviction,
      double idleSecondsPerColdStartSecond,
      boolean unloadsIdle,
      long starvationMillis) {
    this.loadOrder = loadOrder;
    this.eviction = eviction;
    this.idleSecondsPerColdStartSecond = idleSecondsPerColdStartSecond;
    this.unloadsIdle = unloadsIdle;
    this.starvationMillis = starvationMillis;
  }

  /**
   * A unit that may be loaded, and what its load requires.
   *
   * @param demand the requests that wait for the unit
   * @param memoryBytes memory that the unit needs, in bytes
   * @param loadMillis expected duration of the load, in milliseconds
   * @param base model that an adapter needs to be loaded first; empty for a model
   */
  public record LoadCandidate(Demand demand, long memoryBytes, long loadMillis, String base) {}

  /**
   * Returns the loads to request permits for, most urgent first. Leaves out units that are already
   * in the ledger, adapters whose model is not loaded, and loads that are expected to finish after
   * the deadline of every waiting request.
   *
   * @param candidates the units that requests wait for and that this server may load
   * @param ledger the server's memory
   * @param nowMillis monotonic time
   */
  public List<SchedulingDecision.Load> selectLoads(
      Collection<LoadCandidate> candidates, MemoryLedger ledger, long nowMillis) {
    return candidates.stream()
        .filter(candidate -> ledger.entry(candidate.demand().unit()).isEmpty())
        .filter(candidate -> candidate.base().isEmpty() || isLoaded(ledger, candidate.base()))
        .filter(
            candidate ->
                nowMillis + candidate.loadMillis() <= candidate.demand().latestDeadlineMillis())
        .map(LoadCandidate::demand)
        .sorted(loadOrder.comparator())
        .map(SchedulingDecision.Load::new)
        .toList();
  }

  /**
   * Returns the unloads that free the memory for a load. Returns an empty list if the unit fits
   * once the unloads in flight are done, or if not enough memory can be freed.
   *
   * @param candidate the unit to load
   * @param ledger the server's memory
   * @param usages usage of each loaded unit
   * @param demanded units that requests wait for
   * @param nowMillis monotonic time
   */
  public List<SchedulingDecision.Unload> selectEvictions(
      LoadCandidate candidate,
      MemoryLedger ledger,
      Map<String, UnitUsage> usages,
      Set<String> demanded,
      long nowMillis) {
    long missingBytes = candidate.memoryBytes() - ledger.freeBytes() - unloadingBytes(ledger);
    if (missingBytes <= 0) {
      return List.of();
    }
    boolean starving = nowMillis - candidate.demand().waitingSinceMillis() > starvationMillis;
    List<SchedulingDecision.Unload> unloads = new ArrayList<>();
    for (String evicted :
        evictionCandidates(candidate, ledger, usages, demanded, starving, nowMillis)) {
      unloads.add(
          new SchedulingDecision.Unload(evicted, "frees memory for " + candidate.demand().unit()));
      missingBytes -= ledger.entry(evicted).map(MemoryLedger.Entry::memoryBytes).orElse(0L);
      if (missingBytes <= 0) {
        return unloads;
      }
    }
    return List.of();
  }

  /**
   * Returns the unloads of idle units whose expected saving does not justify the accelerators that
   * they occupy.
   *
   * @param ledger the server's memory
   * @param usages usage of each loaded unit
   * @param demanded units that requests wait for
   * @param nowMillis monotonic time
   */
  public List<SchedulingDecision.Unload> selectIdleUnloads(
      MemoryLedger ledger, Map<String, UnitUsage> usages, Set<String> demanded, long nowMillis) {
    if (!unloadsIdle) {
      return List.of();
    }
    List<SchedulingDecision.Unload> unloads = new ArrayList<>();
    for (String unit : ledger.units(MemoryLedger.State.LOADED)) {
      Optional<UnitUsage> usage = Optional.ofNullable(usages.get(unit));
      boolean evictable = usage.isPresent() && isEvictable(usage.get(), nowMillis);
      if (evictable && !demanded.contains(unit) && !isWorthKeeping(usage.get(), nowMillis)) {
        unloads.add(new SchedulingDecision.Unload(unit, "idle"));
      }
    }
    return unloads;
  }

  private boolean isWorthKeeping(UnitUsage usage, long nowMillis) {
    return usage.savingPerAccelerator(nowMillis) * idleSecondsPerColdStartSecond >= 1;
  }

  private List<String> evictionCandidates(
      LoadCandidate candidate,
      MemoryLedger ledger,
      Map<String, UnitUsage> usages,
      Set<String> demanded,
      boolean starving,
      long nowMillis) {
    Comparator<String> idleFirst = Comparator.comparing(unit -> usages.get(unit).running() > 0);
    return ledger.units(MemoryLedger.State.LOADED).stream()
        .filter(unit -> !unit.equals(candidate.base()) && usages.containsKey(unit))
        .filter(unit -> !demanded.contains(unit) || starving)
        .filter(unit -> isEvictable(usages.get(unit), nowMillis) || starving)
        .sorted(
            idleFirst
                .thenComparingDouble(unit -> eviction.retentionValue(usages.get(unit), nowMillis))
                .thenComparing(unit -> unit))
        .toList();
  }

  private static boolean isEvictable(UnitUsage usage, long nowMillis) {
    return usage.running() == 0 && nowMillis - usage.loadedAtMillis() >= MIN_RESIDENCY_MILLIS;
  }

  private static boolean isLoaded(MemoryLedger ledger, String unit) {
    return ledger
        .entry(unit)
        .filter(entry -> entry.state() == MemoryLedger.State.LOADED)
        .isPresent();
  }

  private static long unloadingBytes(MemoryLedger ledger) {
    return ledger.entries().values().stream()
        .filter(entry -> entry.state() == MemoryLedger.State.UNLOADING)
        .mapToLong(MemoryLedger.Entry::memoryBytes)
        .sum();
  }
}
