package io.nutmegseam.core.lease;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Observes lease rows and determines which lease holders are live. A lease lapses when its row has
 * not changed for the lease time on the observer's own monotonic clock; wall clocks are never
 * compared. Immutable.
 */
public final class LeaseObserver {
  private static final long NOT_OBSERVED = Long.MAX_VALUE;

  private final long leaseMillis;
  private final Map<String, ObservedRow> observedByNode;
  private final Set<String> vms;
  private final Set<String> vmsEverSeen;
  private final long observedSinceMillis;

  private record ObservedRow(LeaseRow row, long changedAtMillis) {}

  private LeaseObserver(
      long leaseMillis,
      Map<String, ObservedRow> observedByNode,
      Set<String> vms,
      Set<String> vmsEverSeen,
      long observedSinceMillis) {
    this.leaseMillis = leaseMillis;
    this.observedSinceMillis = observedSinceMillis;
    this.observedByNode = observedByNode;
    this.vms = vms;
    this.vmsEverSeen = vmsEverSeen;
  }

  /**
   * Returns an observer that has seen no rows and no VMs.
   *
   * @param leaseMillis time without a renewal after which a lease lapses, in milliseconds
   */
  public static LeaseObserver of(long leaseMillis) {
    return new LeaseObserver(leaseMillis, Map.of(), Set.of(), Set.of(), NOT_OBSERVED);
  }

  /**
   * Returns the observer after a read of lease rows.
   *
   * @param rows the rows that were read; the rows of other nodes are kept as last read
   * @param nowMillis monotonic time of the read
   */
  public LeaseObserver observe(Collection<LeaseRow> rows, long nowMillis) {
    Map<String, ObservedRow> next = new HashMap<>(observedByNode);
    for (LeaseRow row : rows) {
      ObservedRow previous = next.get(row.node());
      if (previous == null || !previous.row().equals(row)) {
        next.put(row.node(), new ObservedRow(row, nowMillis));
      }
    }
    long since = observedSinceMillis == NOT_OBSERVED ? nowMillis : observedSinceMillis;
    return new LeaseObserver(leaseMillis, next, vms, vmsEverSeen, since);
  }

  /**
   * Returns the observer after a read of the VM list.
   *
   * @param names names of the VMs on the list
   */
  public LeaseObserver withVms(Set<String> names) {
    Set<String> everSeen = new HashSet<>(vmsEverSeen);
    everSeen.addAll(names);
    return new LeaseObserver(
        leaseMillis, observedByNode, Set.copyOf(names), everSeen, observedSinceMillis);
  }

  /**
   * Returns the observer with the lease times of all rows restarted, for use after a time without
   * reads, which does not show whether leases were renewed.
   *
   * @param nowMillis monotonic time from which the lease times count again
   */
  public LeaseObserver restartObservation(long nowMillis) {
    Map<String, ObservedRow> next = new HashMap<>();
    observedByNode.forEach(
        (node, observed) -> next.put(node, new ObservedRow(observed.row(), nowMillis)));
    return new LeaseObserver(leaseMillis, next, vms, vmsEverSeen, nowMillis);
  }

  /** Returns the row of a node as last read; empty if it was never read. */
  public Optional<LeaseRow> row(String node) {
    return Optional.ofNullable(observedByNode.get(node)).map(ObservedRow::row);
  }

  /** Returns the rows of all nodes as last read, whether the nodes are live or not. */
  public List<LeaseRow> rows() {
    return observedByNode.values().stream().map(ObservedRow::row).toList();
  }

  /**
   * Returns the rows of the nodes whose lease has not lapsed and that are not leaving, sorted by
   * node name.
   *
   * @param nowMillis monotonic time
   */
  public List<LeaseRow> liveRows(long nowMillis) {
    return recentRows(nowMillis, leaseMillis);
  }

  /**
   * Returns the rows that changed recently and whose node is not leaving, sorted by node name.
   *
   * @param nowMillis monotonic time
   * @param withinMillis longest time since the change, in milliseconds
   */
  public List<LeaseRow> recentRows(long nowMillis, long withinMillis) {
    return observedByNode.values().stream()
        .filter(observed -> nowMillis - observed.changedAtMillis() <= withinMillis)
        .map(ObservedRow::row)
        .filter(row -> !row.leaving())
        .sorted(java.util.Comparator.comparing(LeaseRow::node))
        .toList();
  }

  /**
   * Returns whether rows have been observed for a time without a restart, so that a row that did
   * not change within this time is at least that old.
   *
   * @param millis the time, in milliseconds
   * @param nowMillis monotonic time
   */
  public boolean hasObservedFor(long millis, long nowMillis) {
    return observedSinceMillis != NOT_OBSERVED && nowMillis - observedSinceMillis >= millis;
  }

  /**
   * Returns what is known about the holder of a row.
   *
   * @param node name of the holding node; empty for no holder
   * @param incarnation incarnation of the holding node
   * @param nowMillis monotonic time
   */
  public HolderStatus holderStatus(String node, String incarnation, long nowMillis) {
    if (node.isEmpty()) {
      return HolderStatus.NONE;
    }
    ObservedRow observed = observedByNode.get(node);
    if (observed == null) {
      return HolderStatus.LIVE;
    }
    if (!observed.row().incarnation().equals(incarnation)) {
      return HolderStatus.REPLACED;
    }
    if (nowMillis - observed.changedAtMillis() <= leaseMillis) {
      return HolderStatus.LIVE;
    }
    return isVmRemoved(observed.row().vm()) ? HolderStatus.VM_GONE : HolderStatus.LAPSED;
  }

  /** Returns whether a VM was on the VM list before and is absent from it now. */
  public boolean isVmRemoved(String vm) {
    return vmsEverSeen.contains(vm) && !vms.contains(vm);
  }
}
