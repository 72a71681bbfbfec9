package io.nutmegseam.node.allotment;

import io.nutmegseam.core.allotment.AllotmentRules;
import io.nutmegseam.core.allotment.GrantDecision;
import io.nutmegseam.core.allotment.GrantRequest;
import io.nutmegseam.core.allotment.ShareLending;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.node.quota.ReachableNodeSelector;
import io.nutmegseam.node.rows.NodeRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Requests grants for a group of tenants from one granting node. Confined to the traffic thread.
 */
final class GroupLending {
  private static final long ANSWER_TIMEOUT_MILLIS = 200;

  /** A granting node that does not answer so many requests is passed over. */
  private static final int MAX_UNANSWERED = 3;

  /** The time of a request's sending and that of its arrival may differ a little in rate. */
  private static final double LOCK_MARGIN = 1.1;

  private static final long RETRY_MILLIS = 50;

  private final int group;
  private final Context context;
  private final ShareLending lending;
  private boolean justStarted;
  private Fleet fleet;
  private List<TenantAccount> accounts = List.of();
  private Optional<String> holder = Optional.empty();
  private List<TenantAccount> requested = List.of();
  private boolean pending;
  private long sequence;
  private long answered;
  private long echo;
  private long holderVersion = Long.MAX_VALUE;
  private long sentMillis;
  private long answeredMillis;
  private long nextMillis;
  private int unanswered;

  /**
   * What the groups have in common.
   *
   * @param process random number of this process
   * @param sequences supplies rising numbers of requests
   * @param sender delivers a request to a node
   * @param selector selects reachable nodes
   * @param rules times and amounts
   * @param events the log
   */
  record Context(
      int process,
      LongSupplier sequences,
      Sender sender,
      ReachableNodeSelector selector,
      AllotmentRules rules,
      EventSink events) {}

  /** Delivers a request to a node, which may be this one. */
  @FunctionalInterface
  interface Sender {
    void send(String node, GrantRequest request);
  }

  /**
   * The granting nodes of the group.
   *
   * @param order the order in which they are tried
   * @param groups number of groups
   * @param nodes number of known nodes
   */
  record Fleet(List<NodeRecord> order, int groups, int nodes) {}

  GroupLending(int group, Context context, long freeMillis, boolean justStarted, Fleet fleet) {
    this.group = group;
    this.context = context;
    this.lending = new ShareLending(freeMillis);
    this.justStarted = justStarted;
    this.fleet = fleet;
  }

  void setFleet(Fleet next) {
    fleet = next;
  }

  void setAccounts(List<TenantAccount> next) {
    accounts = next;
  }

  List<TenantAccount> accounts() {
    return accounts;
  }

  long freeMillis() {
    return lending.freeMillis();
  }

  long intervalMillis() {
    return context.rules().intervalMillis(fleet.nodes());
  }

  private long membershipMillis() {
    return context.rules().membershipMillis(fleet.nodes());
  }

  /** Returns the granting node and the age of its last answer, for the log. */
  String description(long nowMillis) {
    return "granting node %s, last answer %d ms ago, group %d of %d, %d nodes"
        .formatted(
            holder.orElse("none"),
            nowMillis - answeredMillis,
            group,
            fleet.groups(),
            fleet.nodes());
  }

  /** Sends a request if one is due. */
  void tick(long nowMillis, long configVersion) {
    if (pending && nowMillis - sentMillis >= ANSWER_TIMEOUT_MILLIS) {
      pending = false;
      nextMillis = nowMillis;
      unanswered++;
      if (unanswered >= MAX_UNANSWERED) {
        unanswered = 0;
        holder.ifPresent(context.selector()::onSilent);
      }
    }
    boolean lost = holder.filter(node -> !context.selector().isReachable(node)).isPresent();
    if (lost || (!pending && nowMillis >= nextMillis)) {
      request(nowMillis, configVersion);
    }
  }

  /** Requests at once what waiting requests need, unless an answer is expected. */
  void requestNow(long nowMillis, long configVersion) {
    if (!pending) {
      request(nowMillis, configVersion);
    }
  }

  /** Requests a further grant early if the balance of a tenant is low. */
  void requestIfLow(TenantAccount account, long nowMillis, long configVersion) {
    boolean recent = nowMillis - sentMillis < intervalMillis() / 2;
    if (!pending && !recent && account.balance().isLow(intervalMillis(), nowMillis)) {
      request(nowMillis, configVersion);
    }
  }

  private void request(long nowMillis, long configVersion) {
    ReachableNodeSelector.Selection selection = context.selector().select(fleet.order());
    Optional<String> wanted = selection.connecting() ? Optional.empty() : selection.node();
    boolean reachable = holder.filter(context.selector()::isReachable).isPresent();
    Optional<String> next =
        lending.select(wanted, !selection.substitute(), reachable, justStarted, nowMillis);
    pending = false;
    nextMillis = nowMillis + RETRY_MILLIS;
    if (!next.equals(holder)) {
      onHolderChanged(next, nowMillis);
    }
    if (next.isEmpty()) {
      return;
    }
    sequence = context.sequences().getAsLong();
    sentMillis = nowMillis;
    pending = true;
    if (echo == 0) {
      requested = List.of();
    } else {
      // Only a request with a stamp can make this node a member.
      justStarted = false;
      lending.onSent(nowMillis, (long) (LOCK_MARGIN * membershipMillis()));
      requested = new ArrayList<>(accounts);
    }
    context.sender().send(next.get(), message(nowMillis, configVersion));
  }

  private GrantRequest message(long nowMillis, long configVersion) {
    List<TenantAccount> used = new ArrayList<>();
    List<GrantRequest.Entry> entries = new ArrayList<>();
    for (TenantAccount account : requested) {
      boolean reported = account.balance().isReported();
      GrantRequest.Entry entry =
          account
              .balance()
              .request(
                  account.key(),
                  holderVersion < configVersion
                      ? Optional.of(account.allotment())
                      : Optional.empty(),
                  account.urgent(),
                  intervalMillis(),
                  nowMillis);
      if (reported || entry.balance() + entry.wanted() + entry.returned() > 0) {
        used.add(account);
        entries.add(entry);
      }
    }
    requested = used;
    return new GrantRequest(
        context.process(), sequence, answered, echo, group, fleet.groups(), configVersion, entries);
  }

  private void onHolderChanged(Optional<String> next, long nowMillis) {
    context
        .events()
        .record(
            EventKind.GRANTING_NODE_CHANGED,
            next.orElse("none"),
            description(nowMillis) + " before");
    holder = next;
    echo = 0;
    holderVersion = Long.MAX_VALUE;
    unanswered = 0;
    accounts.forEach(account -> account.balance().onGrantingNodeChanged());
  }

  /** Applies an answer; returns whether it is that to the last request. */
  boolean onDecision(String node, GrantDecision decision, long nowMillis, long configVersion) {
    if (!pending || decision.sequence() != sequence || !holder.equals(Optional.of(node))) {
      return false;
    }
    pending = false;
    unanswered = 0;
    answeredMillis = nowMillis;
    boolean first = echo == 0;
    echo = decision.stamp();
    holderVersion = decision.configVersion();
    context.selector().onAnswer(node);
    if (!decision.member()) {
      nextMillis = nowMillis + (first ? 0 : RETRY_MILLIS);
      if (first) {
        request(nowMillis, configVersion);
      }
      return true;
    }
    answered = sequence;
    nextMillis = sentMillis + intervalMillis();
    long untilMillis = sentMillis + membershipMillis();
    for (int i = 0; i < Math.min(requested.size(), decision.grants().size()); i++) {
      requested.get(i).balance().onGrant(decision.grants().get(i), untilMillis, nowMillis);
    }
    return true;
  }
}
