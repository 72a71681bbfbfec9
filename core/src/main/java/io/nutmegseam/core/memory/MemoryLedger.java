package io.nutmegseam.core.memory;

import io.nutmegseam.core.backend.Inventory;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Tracks the units that occupy or may occupy a backend server's accelerator memory. Memory is
 * reserved before a load is ordered. It is freed only if the load was certainly not accepted or the
 * engine's inventory proves that the unit is not in memory. Immutable.
 */
public final class MemoryLedger {
  private final long capacityBytes;
  private final Map<String, Entry> entries;

  /** What is known about a unit. */
  public enum State {
    /** A load is in flight, or its outcome is unknown. */
    RESERVED,
    /** The inventory lists the unit as loaded. */
    LOADED,
    /** An unload is in flight; the unit may still be in memory. */
    UNLOADING
  }

  /**
   * The entry of one unit.
   *
   * @param memoryBytes memory that the unit occupies or may occupy, in bytes
   * @param state what is known about it
   * @param orderedAtMillis monotonic time of the last order for the unit
   */
  public record Entry(long memoryBytes, State state, long orderedAtMillis) {}

  private MemoryLedger(long capacityBytes, Map<String, Entry> entries) {
    this.capacityBytes = capacityBytes;
    this.entries = entries;
  }

  /**
   * Creates an empty ledger.
   *
   * @param capacityBytes accelerator memory of the server, in bytes
   */
  public static MemoryLedger of(long capacityBytes) {
    return new MemoryLedger(capacityBytes, Map.of());
  }

  /** Returns the ledger with another capacity. */
  public MemoryLedger withCapacity(long newCapacityBytes) {
    return new MemoryLedger(newCapacityBytes, entries);
  }

  /**
   * Reserves memory for a load.
   *
   * @param unit the model or adapter
   * @param memoryBytes memory that it needs, in bytes
   * @param nowMillis monotonic time of the order
   * @return the ledger with the reservation, or empty if the unit has an entry already or does not
   *     fit
   */
  public Optional<MemoryLedger> reserve(String unit, long memoryBytes, long nowMillis) {
    if (entries.containsKey(unit) || memoryBytes > freeBytes()) {
      return Optional.empty();
    }
    return Optional.of(with(unit, new Entry(memoryBytes, State.RESERVED, nowMillis)));
  }

  /**
   * Marks a unit as being unloaded. Its memory stays occupied. A unit whose load may still arrive
   * stays reserved, because its load could arrive after its unload.
   *
   * @param unit the model or adapter
   * @param nowMillis monotonic time of the unload order
   */
  public MemoryLedger markUnloading(String unit, long nowMillis) {
    Entry entry = entries.get(unit);
    if (entry == null || entry.state() == State.RESERVED) {
      return this;
    }
    return with(unit, new Entry(entry.memoryBytes(), State.UNLOADING, nowMillis));
  }

  /**
   * Frees the reservation of a load that was certainly not accepted.
   *
   * @param unit the model or adapter
   */
  public MemoryLedger cancelReservation(String unit) {
    Entry entry = entries.get(unit);
    return entry != null && entry.state() == State.RESERVED ? without(unit) : this;
  }

  /**
   * Returns the ledger after a read of the inventory. An entry that the inventory does not list is
   * freed unless a load of its unit may still arrive. Unloads are ordered only for units that an
   * inventory has listed, so no load of these units can still arrive.
   *
   * @param inventory the contents of the engine's memory
   * @param requestedAtMillis monotonic time at which the inventory was requested
   * @param settleMillis time within which an order arrives or is lost, in milliseconds
   */
  public MemoryLedger reconcile(Inventory inventory, long requestedAtMillis, long settleMillis) {
    Map<String, Entry> next = new HashMap<>();
    for (Inventory.Item item : inventory.items()) {
      next.put(item.unit(), reconciled(item, entries.get(item.unit()), requestedAtMillis));
    }
    entries.forEach(
        (unit, entry) -> {
          boolean loadMayArrive =
              entry.state() == State.RESERVED
                  && requestedAtMillis < entry.orderedAtMillis() + settleMillis;
          if (loadMayArrive) {
            next.putIfAbsent(unit, entry);
          }
        });
    return new MemoryLedger(capacityBytes, next);
  }

  private static Entry reconciled(Inventory.Item item, Entry previous, long requestedAtMillis) {
    long memoryBytes =
        previous == null
            ? item.memoryBytes()
            : Math.max(previous.memoryBytes(), item.memoryBytes());
    long orderedAtMillis = previous == null ? requestedAtMillis : previous.orderedAtMillis();
    boolean unloading =
        item.state() == Inventory.ItemState.UNLOADING
            || (previous != null && previous.state() == State.UNLOADING);
    if (unloading) {
      return new Entry(memoryBytes, State.UNLOADING, orderedAtMillis);
    }
    State state = item.state() == Inventory.ItemState.LOADED ? State.LOADED : State.RESERVED;
    return new Entry(memoryBytes, state, orderedAtMillis);
  }

  /** Returns the server's accelerator memory, in bytes. */
  public long capacityBytes() {
    return capacityBytes;
  }

  /** Returns the memory that no unit occupies or may occupy, in bytes. */
  public long freeBytes() {
    return capacityBytes - entries.values().stream().mapToLong(Entry::memoryBytes).sum();
  }

  /** Returns the entry of a unit, if the unit has one. */
  public Optional<Entry> entry(String unit) {
    return Optional.ofNullable(entries.get(unit));
  }

  /** Returns the entries of all units, sorted by name. */
  public Map<String, Entry> entries() {
    return new TreeMap<>(entries);
  }

  /** Returns the units in a state. */
  public Set<String> units(State state) {
    return entries.entrySet().stream()
        .filter(e -> e.getValue().state() == state)
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  private MemoryLedger with(String unit, Entry entry) {
    Map<String, Entry> next = new HashMap<>(entries);
    next.put(unit, entry);
    return new MemoryLedger(capacityBytes, next);
  }

  private MemoryLedger without(String unit) {
    Map<String, Entry> next = new HashMap<>(entries);
    next.remove(unit);
    return new MemoryLedger(capacityBytes, next);
  }
}
