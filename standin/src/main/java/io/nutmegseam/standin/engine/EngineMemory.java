package io.nutmegseam.standin.engine;

import io.nutmegseam.core.backend.Inventory;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Tracks the units in the memory of an engine, their running requests, and the accelerator time
 * that they occupy.
 */
final class EngineMemory {
  private final EngineProfile profile;
  private final Map<String, ResidentUnit> residentUnits = new LinkedHashMap<>();
  private final Set<String> cachedUnits = new TreeSet<>();
  private final Map<String, Long> startedByUnit = new LinkedHashMap<>();
  private long accruedUntilMillis;
  private double busyAcceleratorMillis;
  private double idleAcceleratorMillis;
  private int loads;
  private int unusedLoads;
  private long peakBytes;
  private int overcommits;

  private static final class ResidentUnit {
    private final long memoryBytes;
    private Inventory.ItemState state = Inventory.ItemState.LOADING;
    private int running;
    private boolean used;

    private ResidentUnit(long memoryBytes) {
      this.memoryBytes = memoryBytes;
    }
  }

  EngineMemory(EngineProfile profile, long nowMillis) {
    this.profile = profile;
    this.accruedUntilMillis = nowMillis;
    this.cachedUnits.addAll(profile.cachedUnits());
  }

  /** Begins a load; returns false if the unit is already loading, loaded or unloading. */
  synchronized boolean beginLoad(String unit, long memoryBytes, long nowMillis) {
    accrueAcceleratorTime(nowMillis);
    if (residentUnits.containsKey(unit)) {
      return false;
    }
    residentUnits.put(unit, new ResidentUnit(memoryBytes));
    loads++;
    peakBytes = Math.max(peakBytes, usedBytes());
    if (usedBytes() > profile.memoryBytes()) {
      overcommits++;
    }
    return true;
  }

  synchronized void finishLoad(String unit, long nowMillis) {
    accrueAcceleratorTime(nowMillis);
    cachedUnits.add(unit);
    ResidentUnit resident = residentUnits.get(unit);
    if (resident != null && resident.state == Inventory.ItemState.LOADING) {
      resident.state = Inventory.ItemState.LOADED;
    }
  }

  synchronized void failLoad(String unit, long nowMillis) {
    accrueAcceleratorTime(nowMillis);
    residentUnits.remove(unit);
  }

  synchronized void beginUnload(String unit, long nowMillis) {
    accrueAcceleratorTime(nowMillis);
    ResidentUnit resident = residentUnits.get(unit);
    if (resident != null) {
      resident.state = Inventory.ItemState.UNLOADING;
      removeIfUnloaded(unit, resident);
    }
  }

  /** Begins a request; returns false if the unit or its base model is not loaded. */
  synchronized boolean beginRequest(String unit, String base, long nowMillis) {
    accrueAcceleratorTime(nowMillis);
    ResidentUnit resident = residentUnits.get(unit);
    ResidentUnit baseResident = base.isEmpty() ? resident : residentUnits.get(base);
    if (!isLoaded(resident) || !isLoaded(baseResident)) {
      return false;
    }
    addRunningRequest(resident);
    if (baseResident != resident) {
      addRunningRequest(baseResident);
    }
    startedByUnit.merge(unit, 1L, Long::sum);
    return true;
  }

  synchronized void endRequest(String unit, String base, long nowMillis) {
    accrueAcceleratorTime(nowMillis);
    removeRunningRequest(unit);
    if (!base.isEmpty()) {
      removeRunningRequest(base);
    }
  }

  synchronized boolean isCached(String unit) {
    return cachedUnits.contains(unit);
  }

  synchronized Set<String> cachedUnits() {
    return Set.copyOf(cachedUnits);
  }

  synchronized List<Inventory.Item> items() {
    List<Inventory.Item> items = new ArrayList<>();
    residentUnits.forEach(
        (unit, resident) ->
            items.add(new Inventory.Item(unit, resident.state, resident.memoryBytes)));
    return items;
  }

  synchronized Map<String, Integer> runningByUnit() {
    Map<String, Integer> running = new LinkedHashMap<>();
    residentUnits.forEach(
        (unit, resident) -> {
          if (resident.running > 0) {
            running.put(unit, resident.running);
          }
        });
    return running;
  }

  synchronized Map<String, Long> startedByUnit() {
    return new LinkedHashMap<>(startedByUnit);
  }

  /** Removes all units from memory, as a crash does; cached weights and counters stay. */
  synchronized void clear(long nowMillis) {
    accrueAcceleratorTime(nowMillis);
    residentUnits.clear();
    startedByUnit.clear();
  }

  synchronized EngineStats stats(long nowMillis) {
    accrueAcceleratorTime(nowMillis);
    int unused =
        unusedLoads
            + (int) residentUnits.values().stream().filter(resident -> !resident.used).count();
    return new EngineStats(
        profile.name(),
        busyAcceleratorMillis,
        idleAcceleratorMillis,
        loads,
        unused,
        peakBytes,
        overcommits);
  }

  /**
   * Adds the time since the last call to the busy or the idle accelerator time. Each unit counts
   * with its share of the memory.
   */
  private void accrueAcceleratorTime(long nowMillis) {
    long elapsedMillis = nowMillis - accruedUntilMillis;
    accruedUntilMillis = nowMillis;
    for (ResidentUnit resident : residentUnits.values()) {
      double acceleratorShare =
          (double) resident.memoryBytes / profile.memoryBytes() * profile.accelerators();
      if (resident.running > 0) {
        busyAcceleratorMillis += acceleratorShare * elapsedMillis;
      } else if (resident.state == Inventory.ItemState.LOADED) {
        idleAcceleratorMillis += acceleratorShare * elapsedMillis;
      }
    }
  }

  private static boolean isLoaded(ResidentUnit resident) {
    return resident != null && resident.state == Inventory.ItemState.LOADED;
  }

  private static void addRunningRequest(ResidentUnit resident) {
    resident.running++;
    resident.used = true;
  }

  private void removeRunningRequest(String unit) {
    ResidentUnit resident = residentUnits.get(unit);
    if (resident != null && resident.running > 0) {
      resident.running--;
      removeIfUnloaded(unit, resident);
    }
  }

  private void removeIfUnloaded(String unit, ResidentUnit resident) {
    if (resident.state == Inventory.ItemState.UNLOADING && resident.running == 0) {
      residentUnits.remove(unit);
      unusedLoads += resident.used ? 0 : 1;
    }
  }

  private long usedBytes() {
    return residentUnits.values().stream().mapToLong(resident -> resident.memoryBytes).sum();
  }
}
