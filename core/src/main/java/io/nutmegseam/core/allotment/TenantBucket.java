package io.nutmegseam.core.allotment;

import io.nutmegseam.core.tenant.Allotment;
import java.util.HashMap;
import java.util.Map;

/**
 * The part of a tenant's allotment that members have lent to a granting node. What is available and
 * what is granted and may be unused are together never more than the members' part of the burst and
 * of the units that may be outstanding.
 */
final class TenantBucket {
  /** Part of the burst and the outstanding units that is granted before requests wait for it. */
  private static final double SPECULATIVE_PART = 0.7;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final AllotmentRules rules;
  private final Map<String, Account> accountByNode = new HashMap<>();
  private Allotment allotment;
  private double units;
  private long refilledMillis;
  private double largestCost;

  /** What a node has of the tenant: its balance as last reported and granted. */
  private record Account(
      int process, long sequence, long balance, long granted, long unmet, long untilMillis) {}

  /**
   * Members of a granting node at one moment.
   *
   * @param current members whose shares are lent
   * @param settled members, and such that have left, whose earlier grants all come from here
   * @param joining current members that others may have made grants to
   * @param nodes all known nodes
   */
  record Members(int current, int settled, int joining, int nodes) {}

  TenantBucket(AllotmentRules rules, Allotment allotment, long nowMillis) {
    this.rules = rules;
    this.allotment = allotment;
    this.refilledMillis = nowMillis;
  }

  void setAllotment(Allotment next) {
    allotment = next;
  }

  void refill(Members members, long nowMillis) {
    double seconds = Math.max(0, nowMillis - refilledMillis) / MILLIS_PER_SECOND;
    refilledMillis = nowMillis;
    accountByNode.values().removeIf(account -> account.untilMillis() <= nowMillis);
    units += seconds * ratePerSecond(members);
    cap(members);
  }

  private double ratePerSecond(Members members) {
    return allotment.ratePerSecond() * members.current() / members.nodes();
  }

  private void cap(Members members) {
    double joining = rules.joiningUnits(allotment, largestCost);
    double settledShare = (double) members.settled() / members.nodes();
    double joiningShare = (double) members.joining() / members.nodes();
    double bucketCap = (allotment.burst() + joining) * settledShare + joining * joiningShare;
    units = Math.max(0, Math.min(units, Math.min(bucketCap, totalCap(members) - outstanding())));
  }

  private double totalCap(Members members) {
    double joining = rules.joiningUnits(allotment, largestCost);
    return ((allotment.burst() + outstandingCap(members)) * members.settled()
            + joining * members.joining())
        / members.nodes();
  }

  private double outstandingCap(Members members) {
    return rules.outstandingUnits(allotment, members.nodes());
  }

  private long outstanding() {
    return accountByNode.values().stream().mapToLong(a -> a.balance() + a.granted()).sum();
  }

  /** Decides on a request of a member; the bucket has just been refilled. */
  GrantDecision.Grant grant(
      String node, GrantRequest request, GrantRequest.Entry entry, Members members, long until) {
    Account before = accountByNode.get(node);
    if (before != null && before.process() == request.process()) {
      boolean isVoid = before.sequence() > request.answered();
      units += entry.returned() + (isVoid ? before.granted() : 0);
    }
    largestCost = Math.max(largestCost, (double) entry.urgent());
    put(node, request, entry.balance(), 0, 0, until);
    cap(members);
    double speculative = SPECULATIVE_PART * totalCap(members) - outstanding();
    double limit = Math.max((double) entry.urgent(), speculative);
    long granted = (long) Math.max(0, Math.min(units, Math.min((double) entry.wanted(), limit)));
    units -= granted;
    long unmet = Math.max(0, entry.urgent() - granted);
    put(node, request, entry.balance(), granted, unmet, until);
    return new GrantDecision.Grant(granted, unmet == 0 ? 0 : waitMillis(members));
  }

  /** Returns the time until the members' waiting requests can all be granted, in milliseconds. */
  private long waitMillis(Members members) {
    long unmet = accountByNode.values().stream().mapToLong(Account::unmet).sum();
    double millis = Math.max(1, unmet - units) * MILLIS_PER_SECOND / ratePerSecond(members);
    // Members that ask again sooner than at their interval would send too many bytes.
    return Math.max(rules.intervalMillis(members.nodes()), (long) Math.ceil(millis));
  }

  private void put(
      String node, GrantRequest request, long balance, long granted, long unmet, long until) {
    accountByNode.put(
        node, new Account(request.process(), request.sequence(), balance, granted, unmet, until));
  }
}
