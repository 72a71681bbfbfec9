package io.nutmegseam.core.coldstart;

import io.nutmegseam.core.memory.MemoryLedger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Decides the loads and unloads of one backend server. Pure. */
public final class LoadScheduler {
  /** A unit is not unloaded for another one within this time after its load. */
  private static final long MIN_RESIDENCY_MILLIS = 1_500;

  private final LoadOrderPolicy loadOrder;
  private final EvictionPolicy eviction;
  private final double idleSecondsPerColdStartSecond;
  private final boolean unloadsIdle;
  private final long starvationMillis;

  /**
   * Creates a scheduler.
   *
   * @param loadOrder order of the waiting units
   * @param eviction worth of loaded units
   * @param idleSecondsPerColdStartSecond idle accelerator seconds worth one cold-start second
   * @param unloadsIdle whether units that are not worth their idle time are unloaded
   * @param starvationMillis wait after which a busy unit may be drained for a waiting one
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
   * What a waiting unit needs.
   *
   * @param demand the waiting requests
   * @param memoryBytes memory that the unit needs, in bytes
   * @param loadMillis expected time of the load, in milliseconds
   * @param base model that must be loaded first; empty for a model
   */
  public record LoadCandidate(Demand demand, long memoryBytes, long loadMillis, String base) {}

  /**
   * Returns the loads to ask permits for, most urgent first. A load that none of its waiting
   * requests can use in time is left out.
   *
   * @param wanted the waiting units that this server may load
   * @param ledger the server's memory
   * @param nowMillis monotonic time
   */
  public List<SchedulingDecision.Load> selectLoads(
      Collection<LoadCandidate> wanted, MemoryLedger ledger, long nowMillis) {
    return wanted.stream()
        .filter(w -> ledger.entry(w.demand().unit()).isEmpty())
        .filter(w -> w.base().isEmpty() || isLoaded(ledger, w.base()))
        .filter(w -> nowMillis + w.loadMillis() <= w.demand().latestDeadlineMillis())
        .map(LoadCandidate::demand)
        .sorted(loadOrder.comparator())
        .map(SchedulingDecision.Load::new)
        .toList();
  }

  /**
   * Returns the unloads that make room for a unit; empty if it fits already or no room can be made.
   *
   * @param wanted the unit to make room for
   * @param ledger the server's memory
   * @param uses the use of each loaded unit
   * @param demanded units that requests wait for
   * @param nowMillis monotonic time
   */
  public List<SchedulingDecision.Unload> selectEvictions(
      LoadCandidate wanted,
      MemoryLedger ledger,
      Map<String, UnitUsage> uses,
      Set<String> demanded,
      long nowMillis) {
    long missingBytes = wanted.memoryBytes() - ledger.freeBytes() - leavingBytes(ledger);
    if (missingBytes <= 0) {
      return List.of();
    }
    boolean starving = nowMillis - wanted.demand().waitingSinceMillis() > starvationMillis;
    List<SchedulingDecision.Unload> unloads = new ArrayList<>();
    for (String victim : victims(wanted, ledger, uses, demanded, starving, nowMillis)) {
      unloads.add(new SchedulingDecision.Unload(victim, "room for " + wanted.demand().unit()));
      missingBytes -= ledger.entry(victim).map(MemoryLedger.Entry::memoryBytes).orElse(0L);
      if (missingBytes <= 0) {
        return unloads;
      }
    }
    return List.of();
  }

  /**
   * Returns the unloads of units whose expected saving is not worth their idle accelerators.
   *
   * @param ledger the server's memory
   * @param uses the use of each loaded unit
   * @param demanded units that requests wait for
   * @param nowMillis monotonic time
   */
  public List<SchedulingDecision.Unload> selectIdleUnloads(
      MemoryLedger ledger, Map<String, UnitUsage> uses, Set<String> demanded, long nowMillis) {
    if (!unloadsIdle) {
      return List.of();
    }
    List<SchedulingDecision.Unload> unloads = new ArrayList<>();
    for (String unit : ledger.units(MemoryLedger.State.LOADED)) {
      Optional<UnitUsage> use = Optional.ofNullable(uses.get(unit));
      boolean free = use.isPresent() && isEvictable(use.get(), nowMillis);
      if (free && !demanded.contains(unit) && !isWorthKeeping(use.get(), nowMillis)) {
        unloads.add(new SchedulingDecision.Unload(unit, "idle"));
      }
    }
    return unloads;
  }

  private boolean isWorthKeeping(UnitUsage use, long nowMillis) {
    return use.savingPerAccelerator(nowMillis) * idleSecondsPerColdStartSecond >= 1;
  }

  private List<String> victims(
      LoadCandidate wanted,
      MemoryLedger ledger,
      Map<String, UnitUsage> uses,
      Set<String> demanded,
      boolean starving,
      long nowMillis) {
    Comparator<String> idleFirst = Comparator.comparing(unit -> uses.get(unit).running() > 0);
    return ledger.units(MemoryLedger.State.LOADED).stream()
        .filter(unit -> !unit.equals(wanted.base()) && uses.containsKey(unit))
        .filter(unit -> !demanded.contains(unit) || starving)
        .filter(unit -> isEvictable(uses.get(unit), nowMillis) || starving)
        .sorted(
            idleFirst
                .thenComparingDouble(unit -> eviction.retentionValue(uses.get(unit), nowMillis))
                .thenComparing(unit -> unit))
        .toList();
  }

  private static boolean isEvictable(UnitUsage use, long nowMillis) {
    return use.running() == 0 && nowMillis - use.loadedAtMillis() >= MIN_RESIDENCY_MILLIS;
  }

  private static boolean isLoaded(MemoryLedger ledger, String unit) {
    return ledger
        .entry(unit)
        .filter(entry -> entry.state() == MemoryLedger.State.LOADED)
        .isPresent();
  }

  private static long leavingBytes(MemoryLedger ledger) {
    return ledger.entries().values().stream()
        .filter(entry -> entry.state() == MemoryLedger.State.UNLOADING)
        .mapToLong(MemoryLedger.Entry::memoryBytes)
        .sum();
  }
}
