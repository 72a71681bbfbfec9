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

/** Renews this node's lease and watches those of the others, and the VM list. */
public final class MembershipControl {
  private static final int MAX_ROWS = 2_000;

  /** Leases of other data centres are read once in this many reads of the own one. */
  private static final int FAR_READ_INTERVAL = 10;

  /** The first reads are of all data centres, so that a new node finds its peers. */
  private static final int FIRST_FAR_READS = 5;

  private final NodeContext context;
  private final VmList vmList;
  private final LongSupplier revision;
  private volatile LeaseObserver observer;
  private Set<String> leavingVms = Set.of();
  private long renewal;
  private long rowVersion = Transaction.ABSENT;
  private boolean rowKnown;
  private boolean leaving;
  private boolean renewing;
  private volatile boolean superseded;
  private boolean held;
  private volatile boolean everHeld;
  private long lastReadMillis;
  private int reads;

  /**
   * Creates the part.
   *
   * @param context what it works with
   * @param vmList the platform's VM list
   * @param revision returns the configuration revision in force
   */
  public MembershipControl(NodeContext context, VmList vmList, LongSupplier revision) {
    this.context = context;
    this.vmList = vmList;
    this.revision = revision;
    this.observer = LeaseObserver.of(context.settings().timing().leaseMillis());
    this.lastReadMillis = context.nowMillis();
  }

  /** Renews the lease and reads the others' leases and the VM list. */
  public void renew() {
    if (superseded || renewing) {
      return;
    }
    renewing = true;
    boolean known = rowKnown;
    long expected = rowVersion;
    LeaseRow row = ownRow();
    boolean heldBefore = everHeld;
    context
        .thread()
        .call(() -> write(known, expected, heldBefore, row), (done, e) -> onRenewed(done));
    read();
    context.thread().call(vmList::listVms, this::onVms);
  }

  /** Marks the lease as leaving, so that others take over at once. */
  public void leave() {
    leaving = true;
    renewing = false;
    renew();
  }

  /** Returns whether another process runs under this node's name. */
  public boolean isSuperseded() {
    return superseded;
  }

  /** Returns whether this node has held its lease. */
  public boolean hasJoined() {
    return everHeld && observer.row(context.node()).isPresent();
  }

  /** Returns the leases as last read. */
  public LeaseObserver observer() {
    return observer;
  }

  /** Returns the VMs that are about to be reclaimed. */
  public Set<String> leavingVms() {
    return leavingVms;
  }

  /** Returns whether a VM was on the list and is no more. */
  public boolean isVmGone(String vm) {
    return observer.isVmGone(vm);
  }

  /** Returns what is known about a holder. */
  public HolderStatus status(String node, String incarnation) {
    boolean self = node.equals(context.node()) && incarnation.equals(context.incarnation());
    return self ? HolderStatus.SELF : observer.status(node, incarnation, context.nowMillis());
  }

  /** Returns the live nodes of a data centre, by name; this node is always among its own. */
  public List<String> liveNodes(String dataCentre) {
    Set<String> names = new java.util.TreeSet<>();
    for (LeaseRow row : observer.live(context.nowMillis())) {
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

  /** The outcome of a renewal: the row's version, or that another incarnation has the row. */
  private record Written(Optional<Long> version, boolean otherIncarnation) {}

  private Written write(boolean known, long expected, boolean everHeld, LeaseRow row)
      throws PlatformException {
    long version = expected;
    if (!known) {
      Optional<Row> found = readOwnRow(row.key());
      boolean other =
          found
              .flatMap(r -> RowCodec.decode(r.value(), LeaseRow.class))
              .filter(r -> !r.incarnation().equals(context.incarnation()))
              .isPresent();
      if (other && everHeld) {
        return new Written(Optional.empty(), true);
      }
      version = found.map(Row::version).orElse(Transaction.ABSENT);
    }
    Transaction renew = Transaction.compareAndSet(row.key(), version, RowCodec.encode(row));
    CommitResult result = context.table().commit(renew);
    Optional<Long> written = Optional.of(result.version()).filter(v -> result.committed());
    return new Written(written, false);
  }

  private Optional<Row> readOwnRow(String key) throws PlatformException {
    return context.table().range(key, 0, MAX_ROWS).stream()
        .filter(row -> row.key().equals(key))
        .findFirst();
  }

  private void onRenewed(Written written) {
    renewing = false;
    if (written == null || written.version().isEmpty()) {
      rowKnown = false;
      superseded = superseded || (written != null && written.otherIncarnation());
      noteHeld(false);
      return;
    }
    rowVersion = written.version().get();
    rowKnown = true;
    noteHeld(true);
    if (!everHeld) {
      everHeld = true;
      read();
    }
  }

  private void noteHeld(boolean now) {
    if (now != held) {
      held = now;
      EventKind kind = now ? EventKind.LEASE_ACQUIRED : EventKind.LEASE_LOST;
      context.events().record(kind, context.node(), "renewal " + renewal);
    }
  }

  private void read() {
    boolean far = reads < FIRST_FAR_READS || reads % FAR_READ_INTERVAL == 0;
    reads++;
    String prefix = far ? LeaseRow.PREFIX : LeaseRow.PREFIX + context.dataCentre() + "/";
    context.thread().call(() -> context.table().range(prefix, 0, MAX_ROWS), this::onRead);
  }

  private void onRead(List<Row> rows, Exception error) {
    if (error != null) {
      context.health().failed(String.valueOf(error.getMessage()));
      return;
    }
    context.health().answered();
    long nowMillis = context.nowMillis();
    List<LeaseRow> leases = new ArrayList<>();
    rows.forEach(row -> RowCodec.decode(row.value(), LeaseRow.class).ifPresent(leases::add));
    if (nowMillis - lastReadMillis > context.settings().timing().leaseMillis()) {
      observer = observer.restartWatch(nowMillis);
    }
    lastReadMillis = nowMillis;
    observer = observer.observe(leases, nowMillis);
  }

  private void onVms(List<VmList.Vm> vms, Exception error) {
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
