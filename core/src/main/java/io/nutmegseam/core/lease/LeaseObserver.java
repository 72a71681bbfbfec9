package io.nutmegseam.core.lease;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Watches lease rows and tells which holders are live. A lease lapses when its row has not changed
 * for the lease time on the observer's own monotonic clock; wall clocks are never compared.
 * Immutable.
 */
public final class LeaseObserver {
  private static final long UNWATCHED = Long.MAX_VALUE;

  private final long leaseMillis;
  private final Map<String, Seen> seenByNode;
  private final Set<String> vms;
  private final Set<String> vmsEverSeen;
  private final long watchedSinceMillis;

  private record Seen(LeaseRow row, long changedAtMillis) {}

  private LeaseObserver(
      long leaseMillis,
      Map<String, Seen> seenByNode,
      Set<String> vms,
      Set<String> vmsEverSeen,
      long watchedSinceMillis) {
    this.leaseMillis = leaseMillis;
    this.watchedSinceMillis = watchedSinceMillis;
    this.seenByNode = seenByNode;
    this.vms = vms;
    this.vmsEverSeen = vmsEverSeen;
  }

  /**
   * Creates an observer that has seen nothing.
   *
   * @param leaseMillis time without a renewal after which a lease lapses, in milliseconds
   */
  public static LeaseObserver of(long leaseMillis) {
    return new LeaseObserver(leaseMillis, Map.of(), Set.of(), Set.of(), UNWATCHED);
  }

  /**
   * Takes in lease rows.
   *
   * @param rows rows that were read; rows not among them stay as they were
   * @param nowMillis monotonic time of the read
   */
  public LeaseObserver observe(Collection<LeaseRow> rows, long nowMillis) {
    Map<String, Seen> next = new HashMap<>(seenByNode);
    for (LeaseRow row : rows) {
      Seen before = next.get(row.node());
      if (before == null || !before.row().equals(row)) {
        next.put(row.node(), new Seen(row, nowMillis));
      }
    }
    long since = watchedSinceMillis == UNWATCHED ? nowMillis : watchedSinceMillis;
    return new LeaseObserver(leaseMillis, next, vms, vmsEverSeen, since);
  }

  /**
   * Takes in the VM list.
   *
   * @param names the VMs on the list
   */
  public LeaseObserver withVms(Set<String> names) {
    Set<String> ever = new HashSet<>(vmsEverSeen);
    ever.addAll(names);
    return new LeaseObserver(leaseMillis, seenByNode, Set.copyOf(names), ever, watchedSinceMillis);
  }

  /**
   * Forgets how long rows have stood still, since time without reads proves nothing.
   *
   * @param nowMillis monotonic time from which rows are watched again
   */
  public LeaseObserver restartWatch(long nowMillis) {
    Map<String, Seen> next = new HashMap<>();
    seenByNode.forEach((node, seen) -> next.put(node, new Seen(seen.row(), nowMillis)));
    return new LeaseObserver(leaseMillis, next, vms, vmsEverSeen, nowMillis);
  }

  /** Returns the last row seen of a node. */
  public Optional<LeaseRow> row(String node) {
    return Optional.ofNullable(seenByNode.get(node)).map(Seen::row);
  }

  /** Returns every row seen, live or not. */
  public List<LeaseRow> rows() {
    return seenByNode.values().stream().map(Seen::row).toList();
  }

  /**
   * Returns the nodes whose lease has not lapsed and that are not leaving, by name.
   *
   * @param nowMillis monotonic time
   */
  public List<LeaseRow> liveRows(long nowMillis) {
    return recentRows(nowMillis, leaseMillis);
  }

  /**
   * Returns the rows that changed within a time, by name of the node.
   *
   * @param nowMillis monotonic time
   * @param withinMillis the time, in milliseconds
   */
  public List<LeaseRow> recentRows(long nowMillis, long withinMillis) {
    return seenByNode.values().stream()
        .filter(seen -> nowMillis - seen.changedAtMillis() <= withinMillis)
        .map(Seen::row)
        .filter(row -> !row.leaving())
        .sorted(java.util.Comparator.comparing(LeaseRow::node))
        .toList();
  }

  /**
   * Returns whether every row has been watched for a time, so that one that stands still is old.
   *
   * @param millis the time, in milliseconds
   * @param nowMillis monotonic time
   */
  public boolean hasWatchedFor(long millis, long nowMillis) {
    return watchedSinceMillis != UNWATCHED && nowMillis - watchedSinceMillis >= millis;
  }

  /**
   * Returns what is known about a holder.
   *
   * @param node name of the holding node; empty for no holder
   * @param incarnation the incarnation that holds
   * @param nowMillis monotonic time
   */
  public HolderStatus holderStatus(String node, String incarnation, long nowMillis) {
    if (node.isEmpty()) {
      return HolderStatus.NONE;
    }
    Seen seen = seenByNode.get(node);
    if (seen == null) {
      return HolderStatus.LIVE;
    }
    if (!seen.row().incarnation().equals(incarnation)) {
      return HolderStatus.REPLACED;
    }
    if (nowMillis - seen.changedAtMillis() <= leaseMillis) {
      return HolderStatus.LIVE;
    }
    return isVmRemoved(seen.row().vm()) ? HolderStatus.VM_GONE : HolderStatus.LAPSED;
  }

  /** Returns whether a VM was on the VM list once and is absent from it now. */
  public boolean isVmRemoved(String vm) {
    return vmsEverSeen.contains(vm) && !vms.contains(vm);
  }
}
