package io.nutmegseam.standin.engine;

import io.nutmegseam.core.backend.Inventory;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** The units in an engine's memory, their running requests, and the accelerator time they hold. */
final class EngineMemory {
  private final EngineProfile profile;
  private final Map<String, Slot> slots = new LinkedHashMap<>();
  private final Set<String> cached = new TreeSet<>();
  private final Map<String, Long> startedByUnit = new LinkedHashMap<>();
  private long lastMillis;
  private double busyAcceleratorMillis;
  private double idleAcceleratorMillis;
  private int loads;
  private int unusedLoads;
  private long peakBytes;
  private int overcommits;

  private static final class Slot {
    private final long memoryBytes;
    private Inventory.ItemState state = Inventory.ItemState.LOADING;
    private int running;
    private boolean used;

    private Slot(long memoryBytes) {
      this.memoryBytes = memoryBytes;
    }
  }

  EngineMemory(EngineProfile profile, long nowMillis) {
    this.profile = profile;
    this.lastMillis = nowMillis;
    this.cached.addAll(profile.cachedUnits());
  }

  /** Begins a load; returns false if the unit is there already. */
  synchronized boolean beginLoad(String unit, long memoryBytes, long nowMillis) {
    account(nowMillis);
    if (slots.containsKey(unit)) {
      return false;
    }
    slots.put(unit, new Slot(memoryBytes));
    loads++;
    peakBytes = Math.max(peakBytes, usedBytes());
    if (usedBytes() > profile.memoryBytes()) {
      overcommits++;
    }
    return true;
  }

  synchronized void finishLoad(String unit, long nowMillis) {
    account(nowMillis);
    cached.add(unit);
    Slot slot = slots.get(unit);
    if (slot != null && slot.state == Inventory.ItemState.LOADING) {
      slot.state = Inventory.ItemState.LOADED;
    }
  }

  synchronized void failLoad(String unit, long nowMillis) {
    account(nowMillis);
    slots.remove(unit);
  }

  synchronized void beginUnload(String unit, long nowMillis) {
    account(nowMillis);
    Slot slot = slots.get(unit);
    if (slot != null) {
      slot.state = Inventory.ItemState.UNLOADING;
      dropIfDone(unit, slot);
    }
  }

  /** Begins a request; returns false if the unit does not take requests. */
  synchronized boolean beginRequest(String unit, String base, long nowMillis) {
    account(nowMillis);
    Slot slot = slots.get(unit);
    Slot baseSlot = base.isEmpty() ? slot : slots.get(base);
    if (!isLoaded(slot) || !isLoaded(baseSlot)) {
      return false;
    }
    hold(slot);
    if (baseSlot != slot) {
      hold(baseSlot);
    }
    startedByUnit.merge(unit, 1L, Long::sum);
    return true;
  }

  synchronized void endRequest(String unit, String base, long nowMillis) {
    account(nowMillis);
    release(unit);
    if (!base.isEmpty()) {
      release(base);
    }
  }

  synchronized boolean isCached(String unit) {
    return cached.contains(unit);
  }

  synchronized Set<String> cachedUnits() {
    return Set.copyOf(cached);
  }

  synchronized List<Inventory.Item> items() {
    List<Inventory.Item> items = new ArrayList<>();
    slots.forEach(
        (unit, slot) -> items.add(new Inventory.Item(unit, slot.state, slot.memoryBytes)));
    return items;
  }

  synchronized Map<String, Integer> runningByUnit() {
    Map<String, Integer> running = new LinkedHashMap<>();
    slots.forEach(
        (unit, slot) -> {
          if (slot.running > 0) {
            running.put(unit, slot.running);
          }
        });
    return running;
  }

  synchronized Map<String, Long> startedByUnit() {
    return new LinkedHashMap<>(startedByUnit);
  }

  /** Forgets all that is in memory, as a crash does. */
  synchronized void clear(long nowMillis) {
    account(nowMillis);
    slots.clear();
    startedByUnit.clear();
  }

  synchronized EngineStats stats(long nowMillis) {
    account(nowMillis);
    int unused = unusedLoads + (int) slots.values().stream().filter(s -> !s.used).count();
    return new EngineStats(
        profile.name(),
        busyAcceleratorMillis,
        idleAcceleratorMillis,
        loads,
        unused,
        peakBytes,
        overcommits);
  }

  private void account(long nowMillis) {
    long passedMillis = nowMillis - lastMillis;
    lastMillis = nowMillis;
    for (Slot slot : slots.values()) {
      double share = (double) slot.memoryBytes / profile.memoryBytes() * profile.accelerators();
      if (slot.running > 0) {
        busyAcceleratorMillis += share * passedMillis;
      } else if (slot.state == Inventory.ItemState.LOADED) {
        idleAcceleratorMillis += share * passedMillis;
      }
    }
  }

  private static boolean isLoaded(Slot slot) {
    return slot != null && slot.state == Inventory.ItemState.LOADED;
  }

  private static void hold(Slot slot) {
    slot.running++;
    slot.used = true;
  }

  private void release(String unit) {
    Slot slot = slots.get(unit);
    if (slot != null && slot.running > 0) {
      slot.running--;
      dropIfDone(unit, slot);
    }
  }

  private void dropIfDone(String unit, Slot slot) {
    if (slot.state == Inventory.ItemState.UNLOADING && slot.running == 0) {
      slots.remove(unit);
      unusedLoads += slot.used ? 0 : 1;
    }
  }

  private long usedBytes() {
    return slots.values().stream().mapToLong(slot -> slot.memoryBytes).sum();
  }
}
