package io.nutmegseam.node.control;

import io.nutmegseam.core.coldstart.Demand;
import io.nutmegseam.core.coldstart.StoreBudget;
import io.nutmegseam.core.config.PolicyRecord;
import io.nutmegseam.node.peer.Outbox;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.peer.generated.PermitAsk;
import io.nutmegseam.node.peer.generated.PermitGrant;
import io.nutmegseam.node.peer.generated.PermitRelease;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * The weight-store budget. The first live node in reach coordinates it; in a network partition each
 * side has a coordinator with the share of its data centres.
 */
final class BudgetControl implements PermitClient.MessageSender {
  private static final long PERMIT_MILLIS = 20_000;

  private final NodeContext context;
  private final Outbox outbox;
  private final Supplier<PolicyRecord> policy;
  private final Reachability reach;
  private final PermitClient client;
  private StoreBudget budget = StoreBudget.empty();

  /** The nodes and data centres in reach. */
  interface Reachability {
    /** Returns the live nodes in reach, this one among them. */
    Set<String> reachableNodes();

    /** Returns the share of all data centres that is in reach, from 0 to 1. */
    double reachableDataCentreShare();
  }

  BudgetControl(
      NodeContext context, Outbox outbox, Supplier<PolicyRecord> policy, Reachability reach) {
    this.context = context;
    this.outbox = outbox;
    this.policy = policy;
    this.reach = reach;
    this.client = new PermitClient(context, this);
  }

  PermitClient permitClient() {
    return client;
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
      outbox.send(coordinator(), PeerFrame.newBuilder().setPermitAsk(message));
    }
  }

  @Override
  public void sendRelease(String id) {
    if (isCoordinator()) {
      onRelease(id);
    } else {
      PermitRelease message = PermitRelease.newBuilder().setId(id).build();
      outbox.send(coordinator(), PeerFrame.newBuilder().setPermitRelease(message));
    }
  }

  void onRequest(String node, PermitAsk ask) {
    long nowMillis = context.nowMillis();
    budget =
        budget.ask(
            new StoreBudget.Request(
                ask.getId(),
                node,
                ask.getAdapter(),
                ask.getInteractive(),
                nowMillis + ask.getDeadlineRemainingMillis(),
                nowMillis));
    grant();
  }

  void onRelease(String id) {
    budget = budget.release(id);
    grant();
  }

  void onGranted(String id) {
    client.onGranted(id);
  }

  /** Grants what has become free by expiry. */
  void tick() {
    grant();
  }

  StoreBudget budget() {
    return budget;
  }

  private void grant() {
    StoreBudget.Step step = budget.grant(limits(), context.nowMillis());
    budget = step.next();
    List<StoreBudget.Request> grants = step.grants();
    for (StoreBudget.Request request : grants) {
      if (request.node().equals(context.node())) {
        client.onGranted(request.id());
      } else {
        PermitGrant message = PermitGrant.newBuilder().setId(request.id()).build();
        outbox.send(request.node(), PeerFrame.newBuilder().setPermitGrant(message));
      }
    }
  }

  private StoreBudget.Limits limits() {
    double share = reach.reachableDataCentreShare();
    int models = (int) Math.floor(policy.get().loadsInParallel() * share);
    int adapters = (int) Math.floor(policy.get().adaptersInTransit() * share);
    return new StoreBudget.Limits(Math.max(1, models), Math.max(1, adapters), PERMIT_MILLIS);
  }

  private boolean isCoordinator() {
    return coordinator().equals(context.node());
  }

  private String coordinator() {
    return new TreeSet<>(reach.reachableNodes()).first();
  }
}
