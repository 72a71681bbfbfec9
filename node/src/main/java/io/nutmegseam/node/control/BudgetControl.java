package io.nutmegseam.node.control;

import io.nutmegseam.core.coldstart.Demand;
import io.nutmegseam.core.coldstart.StoreBudget;
import io.nutmegseam.core.config.PolicyRecord;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.peer.generated.PermitAsk;
import io.nutmegseam.node.peer.generated.PermitGrant;
import io.nutmegseam.node.peer.generated.PermitRelease;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * Requests permits of the weight-store budget, and grants them if this node is the coordinator.
 * Each node takes the first reachable node, by name, as the coordinator. In a network partition,
 * each side has a coordinator that grants a part of the budget: the share of its data centres.
 */
final class BudgetControl implements PermitClient.MessageSender {
  private static final long PERMIT_EXPIRY_MILLIS = 20_000;

  private final NodeContext context;
  private final PeerTransport transport;
  private final Supplier<PolicyRecord> policy;
  private final Reachability reachability;
  private final PermitClient permitClient;
  private StoreBudget budget = StoreBudget.empty();

  /** Determines which nodes and data centres this node can reach. */
  interface Reachability {
    /** Returns the names of the connected nodes that are responsive, and of this node. */
    Set<String> reachableNodes();

    /** Returns the share of all data centres that are reachable, from 0 to 1. */
    double reachableDataCentreShare();
  }

  BudgetControl(
      NodeContext context,
      PeerTransport transport,
      Supplier<PolicyRecord> policy,
      Reachability reachability) {
    this.context = context;
    this.transport = transport;
    this.policy = policy;
    this.reachability = reachability;
    this.permitClient = new PermitClient(context, this);
  }

  PermitClient permitClient() {
    return permitClient;
  }

  @Override
  public void sendRequest(String id, boolean adapter, Demand demand) {
    long remainingMillis = demand.earliestDeadlineMillis() - context.nowMillis();
    PermitAsk message =
        PermitAsk.newBuilder()
            .setId(id)
            .setAdapter(adapter)
            .setInteractive(demand.interactive())
            .setDeadlineRemainingMillis(remainingMillis)
            .build();
    if (isCoordinator()) {
      onRequest(context.node(), message);
    } else {
      transport.send(coordinator(), PeerFrame.newBuilder().setPermitAsk(message));
    }
  }

  @Override
  public void sendRelease(String id) {
    if (isCoordinator()) {
      onRelease(id);
    } else {
      PermitRelease message = PermitRelease.newBuilder().setId(id).build();
      transport.send(coordinator(), PeerFrame.newBuilder().setPermitRelease(message));
    }
  }

  /** As the coordinator, handles a permit request of a node, which may be this one. */
  void onRequest(String node, PermitAsk request) {
    long nowMillis = context.nowMillis();
    budget =
        budget.addRequest(
            new StoreBudget.Request(
                request.getId(),
                node,
                request.getAdapter(),
                request.getInteractive(),
                nowMillis + request.getDeadlineRemainingMillis(),
                nowMillis));
    grantPermits();
  }

  /** As the coordinator, handles a released permit or a withdrawn request. */
  void onRelease(String id) {
    budget = budget.release(id);
    grantPermits();
  }

  /** Handles a permit that another node, the coordinator, has granted to this one. */
  void onGranted(String id) {
    permitClient.onGranted(id);
  }

  /** Grants permits that have become available because others expired. */
  void tick() {
    grantPermits();
  }

  StoreBudget budget() {
    return budget;
  }

  private void grantPermits() {
    StoreBudget.GrantResult result = budget.grant(limits(), context.nowMillis());
    budget = result.next();
    List<StoreBudget.Request> grants = result.grants();
    for (StoreBudget.Request request : grants) {
      if (request.node().equals(context.node())) {
        permitClient.onGranted(request.id());
      } else {
        PermitGrant message = PermitGrant.newBuilder().setId(request.id()).build();
        transport.send(request.node(), PeerFrame.newBuilder().setPermitGrant(message));
      }
    }
  }

  private StoreBudget.Limits limits() {
    double share = reachability.reachableDataCentreShare();
    int models = (int) Math.floor(policy.get().loadsInParallel() * share);
    int adapters = (int) Math.floor(policy.get().adaptersInTransit() * share);
    return new StoreBudget.Limits(Math.max(1, models), Math.max(1, adapters), PERMIT_EXPIRY_MILLIS);
  }

  private boolean isCoordinator() {
    return coordinator().equals(context.node());
  }

  private String coordinator() {
    return new TreeSet<>(reachability.reachableNodes()).first();
  }
}
