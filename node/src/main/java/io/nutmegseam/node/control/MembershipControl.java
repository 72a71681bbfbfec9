package io.nutmegseam.node.control;

import io.nutmegseam.core.config.RecordSchemas;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.lease.HolderStatus;
import io.nutmegseam.core.lease.LeaseObserver;
import io.nutmegseam.core.lease.LeaseRow;
import io.nutmegseam.core.platform.CommitResult;
import io.nutmegseam.core.platform.PlatformException;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.RowCodec;
import io.nutmegseam.core.platform.Transaction;
import io.nutmegseam.core.platform.VmList;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/** Renews this node's lease, and reads the leases of the other nodes and the platform's VM list. */
public final class MembershipControl {
  private static final int MAX_ROWS = 2_000;

  /** One in this many reads covers all data centres; the others cover only this data centre. */
  private static final int FULL_READ_INTERVAL = 10;

  /** The first reads cover all data centres, so that a new node finds its peers. */
  private static final int INITIAL_FULL_READS = 5;

  private final NodeContext context;
  private final VmList vmList;
  private final LongSupplier revision;
  private volatile LeaseObserver observer;
  private Set<String> leavingVms = Set.of();
  private long renewal;
  private long rowVersion = Transaction.ABSENT;
  private boolean rowVersionKnown;
  private boolean leaving;
  private boolean renewing;
  private volatile boolean superseded;
  private boolean leaseHeld;
  private volatile boolean leaseEverHeld;
  private long lastReadMillis;
  private int leaseReads;

  /**
   * Creates the component; {@link #renew} acquires the lease.
   *
   * @param context settings and services of the node
   * @param vmList the platform's VM list
   * @param revision returns the active configuration revision, which the lease row reports
   */
  public MembershipControl(NodeContext context, VmList vmList, LongSupplier revision) {
    this.context = context;
    this.vmList = vmList;
    this.revision = revision;
    this.observer = LeaseObserver.of(context.settings().timing().leaseMillis());
    this.lastReadMillis = context.nowMillis();
  }

  /**
   * Starts to renew the lease and to read the other nodes' leases and the VM list, unless a renewal
   * is in flight or another process runs under this node's name.
   */
  public void renew() {
    if (superseded || renewing) {
      return;
    }
    renewing = true;
    boolean versionKnown = rowVersionKnown;
    long expectedVersion = rowVersion;
    LeaseRow row = ownRow();
    boolean heldBefore = leaseEverHeld;
    context
        .thread()
        .callAsync(
            () -> writeLease(versionKnown, expectedVersion, heldBefore, row),
            (result, e) -> onRenewed(result));
    readLeases();
    context.thread().callAsync(vmList::listVms, this::onVmsRead);
  }

  /** Renews the lease, marked as leaving, so that other nodes take over the servers at once. */
  public void leave() {
    leaving = true;
    renewing = false;
    renew();
  }

  /** Returns whether another process runs under this node's name. */
  public boolean isSuperseded() {
    return superseded;
  }

  /** Returns whether this node has held its lease and has read its own lease row. */
  public boolean hasJoined() {
    return leaseEverHeld && observer.row(context.node()).isPresent();
  }

  /** Returns the observer of the leases as last read. */
  public LeaseObserver observer() {
    return observer;
  }

  /** Returns the names of the VMs that are about to be reclaimed. */
  public Set<String> leavingVms() {
    return leavingVms;
  }

  /** Returns whether a VM was on the VM list and is absent from it now. */
  public boolean isVmRemoved(String vm) {
    return observer.isVmRemoved(vm);
  }

  /** Returns the status of a lease holder; {@code SELF} for this process. */
  public HolderStatus holderStatus(String node, String incarnation) {
    boolean self = node.equals(context.node()) && incarnation.equals(context.incarnation());
    return self ? HolderStatus.SELF : observer.holderStatus(node, incarnation, context.nowMillis());
  }

  /**
   * Returns the names of the live nodes of a data centre in alphabetical order. Unless this node is
   * leaving, the list of its own data centre always includes it.
   */
  public List<String> liveNodes(String dataCentre) {
    Set<String> names = new java.util.TreeSet<>();
    for (LeaseRow row : observer.liveRows(context.nowMillis())) {
      if (row.dataCentre().equals(dataCentre)) {
        names.add(row.node());
      }
    }
    if (dataCentre.equals(context.dataCentre()) && !leaving) {
      names.add(context.node());
    }
    return new ArrayList<>(names);
  }

  private LeaseRow ownRow() {
    renewal++;
    return new LeaseRow(
        context.node(),
        context.incarnation(),
        context.dataCentre(),
        context.settings().vm(),
        context.settings().peerAdvertisedAddress().toString(),
        "http://" + context.settings().operatorAddress(),
        renewal,
        leaving,
        RecordSchemas.NEWEST_VERSION,
        revision.getAsLong());
  }

  /**
   * The new version of the lease row, empty if the row was not written, and whether another
   * incarnation of this node owns the row.
   */
  private record RenewalResult(Optional<Long> version, boolean otherIncarnation) {}

  private RenewalResult writeLease(
      boolean versionKnown, long expectedVersion, boolean heldBefore, LeaseRow row)
      throws PlatformException {
    long version = expectedVersion;
    if (!versionKnown) {
      Optional<Row> found = readOwnRow(row.key());
      boolean other =
          found
              .flatMap(r -> RowCodec.decode(r.value(), LeaseRow.class))
              .filter(r -> !r.incarnation().equals(context.incarnation()))
              .isPresent();
      if (other && heldBefore) {
        return new RenewalResult(Optional.empty(), true);
      }
      version = found.map(Row::version).orElse(Transaction.ABSENT);
    }
    Transaction renew = Transaction.compareAndSet(row.key(), version, RowCodec.encode(row));
    CommitResult result = context.table().commit(renew);
    Optional<Long> written = Optional.of(result.version()).filter(v -> result.committed());
    return new RenewalResult(written, false);
  }

  private Optional<Row> readOwnRow(String key) throws PlatformException {
    return context.table().range(key, 0, MAX_ROWS).stream()
        .filter(row -> row.key().equals(key))
        .findFirst();
  }

  private void onRenewed(RenewalResult result) {
    renewing = false;
    if (result == null || result.version().isEmpty()) {
      rowVersionKnown = false;
      superseded = superseded || (result != null && result.otherIncarnation());
      updateLeaseHeld(false);
      return;
    }
    rowVersion = result.version().get();
    rowVersionKnown = true;
    updateLeaseHeld(true);
    if (!leaseEverHeld) {
      leaseEverHeld = true;
      readLeases();
    }
  }

  private void updateLeaseHeld(boolean heldNow) {
    if (heldNow != leaseHeld) {
      leaseHeld = heldNow;
      EventKind kind = heldNow ? EventKind.LEASE_ACQUIRED : EventKind.LEASE_LOST;
      context.events().record(kind, context.node(), "renewal " + renewal);
    }
  }

  private void readLeases() {
    boolean allDataCentres =
        leaseReads < INITIAL_FULL_READS || leaseReads % FULL_READ_INTERVAL == 0;
    leaseReads++;
    String prefix = allDataCentres ? LeaseRow.PREFIX : LeaseRow.PREFIX + context.dataCentre() + "/";
    context
        .thread()
        .callAsync(() -> context.table().range(prefix, 0, MAX_ROWS), this::onLeasesRead);
  }

  private void onLeasesRead(List<Row> rows, Exception error) {
    if (error != null) {
      context.health().recordFailure(String.valueOf(error.getMessage()));
      return;
    }
    context.health().recordSuccess();
    long nowMillis = context.nowMillis();
    List<LeaseRow> leases = new ArrayList<>();
    rows.forEach(row -> RowCodec.decode(row.value(), LeaseRow.class).ifPresent(leases::add));
    if (nowMillis - lastReadMillis > context.settings().timing().leaseMillis()) {
      observer = observer.restartObservation(nowMillis);
    }
    lastReadMillis = nowMillis;
    observer = observer.observe(leases, nowMillis);
  }

  private void onVmsRead(List<VmList.Vm> vms, Exception error) {
    if (error != null) {
      return;
    }
    Set<String> names = new HashSet<>();
    Set<String> nextLeaving = new HashSet<>();
    for (VmList.Vm vm : vms) {
      names.add(vm.name());
      if (vm.state() == VmList.VmState.LEAVING) {
        nextLeaving.add(vm.name());
      }
    }
    leavingVms = Set.copyOf(nextLeaving);
    observer = observer.withVms(names);
  }
}
