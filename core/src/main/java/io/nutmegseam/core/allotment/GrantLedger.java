package io.nutmegseam.core.allotment;

import io.nutmegseam.core.tenant.Allotment;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The granting side: counts the nodes that lend their shares to this one and grants them units. A
 * request counts only from the time that it proves, by a stamp of this process, not to precede: a
 * link that was cut may deliver it much later, when its sender has lent its share elsewhere.
 * Confined to one thread.
 */
public final class GrantLedger {
  private final AllotmentRules rules;
  private final long stampBase;
  private final Map<MemberKey, Member> memberByKey = new HashMap<>();
  private final Map<Integer, TenantBucket> bucketByTenant = new HashMap<>();
  private Map<Integer, Allotment> allotmentByTenant = Map.of();
  private long configVersion;
  private int nodes;

  private record MemberKey(String node, int group, int groups) {}

  private static final class Member {
    private int process;
    private int earlierProcess;
    private long sequence;
    private long joinedMillis;
    private long untilMillis;

    private void onRequest(GrantRequest request, long nowMillis, long nextUntilMillis) {
      if (process != request.process()) {
        earlierProcess = process;
        process = request.process();
      }
      if (nowMillis >= untilMillis) {
        joinedMillis = nowMillis;
      }
      sequence = request.sequence();
      untilMillis = Math.max(untilMillis, nextUntilMillis);
    }
  }

  /**
   * Creates a ledger without members and with empty buckets.
   *
   * @param rules times and amounts
   * @param stampBase random positive number, different for each process
   */
  public GrantLedger(AllotmentRules rules, long stampBase) {
    this.rules = rules;
    this.stampBase = stampBase;
  }

  /** Sets the number of known nodes. */
  public void setNodes(int next) {
    nodes = next;
  }

  /** Applies a configuration; grants stay valid, and buckets are capped anew when next used. */
  public void setAllotments(long version, Map<Integer, Allotment> next) {
    if (version < configVersion) {
      return;
    }
    configVersion = version;
    allotmentByTenant = Map.copyOf(next);
    bucketByTenant.keySet().retainAll(next.keySet());
    bucketByTenant.forEach((tenant, bucket) -> bucket.setAllotment(next.get(tenant)));
  }

  /** Returns the number of nodes that lend this one their shares of a group at present. */
  public int memberCount(int group, int groups, long nowMillis) {
    return members(group, groups, nowMillis).current();
  }

  /** Decides on a request; empty if it is a repetition or older than one that was seen. */
  public Optional<GrantDecision> onRequest(String node, GrantRequest request, long nowMillis) {
    MemberKey key = new MemberKey(node, request.group(), request.groups());
    if (isRepeated(memberByKey.get(key), request)) {
      return Optional.empty();
    }
    long stamp = stampBase + nowMillis;
    long provenMillis = request.echo() - stampBase;
    long untilMillis = provenMillis + rules.membershipMillis(nodes);
    boolean proven = nodes > 0 && provenMillis <= nowMillis && nowMillis < untilMillis;
    if (!proven) {
      return Optional.of(decision(request, stamp, false, List.of()));
    }
    adopt(request);
    refill(request.group(), request.groups(), nowMillis);
    memberByKey
        .computeIfAbsent(key, absent -> new Member())
        .onRequest(request, nowMillis, untilMillis);
    TenantBucket.Members members = members(request.group(), request.groups(), nowMillis);
    long expiryMillis = nowMillis + rules.membershipMillis(nodes);
    List<GrantDecision.Grant> grants =
        request.entries().stream()
            .map(entry -> grant(node, request, entry, members, expiryMillis))
            .toList();
    return Optional.of(decision(request, stamp, true, grants));
  }

  private static boolean isRepeated(Member member, GrantRequest request) {
    return member != null
        && (request.process() == member.process
            ? request.sequence() <= member.sequence
            : request.process() == member.earlierProcess);
  }

  /** Takes over allotments of a newer configuration than this node has. */
  private void adopt(GrantRequest request) {
    if (request.configVersion() <= configVersion) {
      return;
    }
    Map<Integer, Allotment> next = new HashMap<>(allotmentByTenant);
    request
        .entries()
        .forEach(entry -> entry.newer().ifPresent(newer -> next.put(entry.tenant(), newer)));
    allotmentByTenant = next;
    bucketByTenant.forEach((tenant, bucket) -> bucket.setAllotment(next.get(tenant)));
  }

  private GrantDecision decision(
      GrantRequest request, long stamp, boolean member, List<GrantDecision.Grant> grants) {
    return new GrantDecision(request.sequence(), stamp, configVersion, member, grants);
  }

  private GrantDecision.Grant grant(
      String node,
      GrantRequest request,
      GrantRequest.Entry entry,
      TenantBucket.Members members,
      long expiryMillis) {
    TenantBucket bucket = bucketByTenant.get(entry.tenant());
    if (bucket != null && TenantKeys.group(entry.tenant(), request.groups()) == request.group()) {
      return bucket.grant(node, request, entry, members, expiryMillis);
    }
    // A newer configuration without the tenant's allotment has no limit for it.
    boolean unlimited = bucket == null && configVersion > request.configVersion();
    return unlimited ? new GrantDecision.Grant(entry.wanted(), 0) : GrantDecision.Grant.NONE;
  }

  private void refill(int group, int groups, long nowMillis) {
    TenantBucket.Members members = members(group, groups, nowMillis);
    allotmentByTenant.forEach(
        (tenant, allotment) -> {
          if (TenantKeys.group(tenant, groups) == group) {
            bucketByTenant
                .computeIfAbsent(tenant, key -> new TenantBucket(rules, allotment, nowMillis))
                .refill(members, nowMillis);
          }
        });
  }

  /** Members that have left stay settled until their last grants have expired. */
  private TenantBucket.Members members(int group, int groups, long nowMillis) {
    long expiryMillis = rules.membershipMillis(nodes);
    int current = 0;
    int settled = 0;
    int joining = 0;
    Iterator<Map.Entry<MemberKey, Member>> all = memberByKey.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<MemberKey, Member> entry = all.next();
      Member member = entry.getValue();
      if (nowMillis >= member.untilMillis + 2 * expiryMillis) {
        all.remove();
      } else if (entry.getKey().group() == group && entry.getKey().groups() == groups) {
        boolean isCurrent = nowMillis < member.untilMillis;
        boolean isSettled = nowMillis - member.joinedMillis >= expiryMillis;
        current += isCurrent ? 1 : 0;
        joining += isCurrent && !isSettled ? 1 : 0;
        settled += isSettled && nowMillis < member.untilMillis + expiryMillis ? 1 : 0;
      }
    }
    return new TenantBucket.Members(current, settled, joining, Math.max(1, nodes));
  }
}
