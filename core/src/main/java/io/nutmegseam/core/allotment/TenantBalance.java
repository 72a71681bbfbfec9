package io.nutmegseam.core.allotment;

import io.nutmegseam.core.tenant.Allotment;
import java.util.Optional;

/** The units of a tenant that a node may use, with its recent use. Confined to one thread. */
public final class TenantBalance {
  /** A burst of requests is covered without a further grant. */
  private static final double RESERVE = 1.3;

  /** A tenant used within this time keeps enough for a request, which then need not wait. */
  private static final long RESERVE_MILLIS = 20_000;

  /** Requests in a horizon from which on a grant is requested before the usual time. */
  private static final double MIN_BUSY_REQUESTS = 4;

  /** Unused units are returned if there are more than this multiple of what is expected. */
  private static final double MAX_RESERVE = 2.5;

  /** Part of the use of a horizon below which a further grant is requested early. */
  private static final double LOW_PART = 0.2;

  private long units;
  private long unitsVoid;
  private long untilMillis = Long.MIN_VALUE;
  private long exhaustedUntilMillis = Long.MIN_VALUE;
  private double recentUnits;
  private long recentMillis;
  private long recentCost;
  private boolean reported;

  /** Charges a cost; returns whether the balance covers it. */
  public boolean charge(long cost, long nowMillis) {
    if (balance(nowMillis) < cost) {
      return false;
    }
    units -= cost;
    return true;
  }

  /** Adds a cost that was charged and not used. */
  public void credit(long cost, long nowMillis) {
    if (nowMillis < untilMillis) {
      units += cost;
    } else {
      unitsVoid += cost;
    }
  }

  /** Records demand, granted or not, by which the next grant is estimated. */
  public void onDemand(long cost, long horizonMillis, long nowMillis) {
    recentUnits = recentUnits(horizonMillis, nowMillis) + cost;
    recentMillis = nowMillis;
    recentCost = cost;
  }

  private double recentUnits(long horizonMillis, long nowMillis) {
    return recentUnits * Math.exp(-(nowMillis - recentMillis) / (double) horizonMillis);
  }

  /** Returns the units left; none once the grants have expired. */
  public long balance(long nowMillis) {
    if (nowMillis >= untilMillis) {
      unitsVoid += units;
      units = 0;
    }
    return units;
  }

  /** Returns whether a further grant should be requested before the usual time. */
  public boolean isLow(long horizonMillis, long nowMillis) {
    double recent = recentUnits(horizonMillis, nowMillis);
    return recent >= MIN_BUSY_REQUESTS * recentCost && balance(nowMillis) < LOW_PART * recent;
  }

  /** Returns for how long requests are refused by what the granting node announced. */
  public long exhaustedMillis(long nowMillis) {
    return nowMillis < exhaustedUntilMillis ? exhaustedUntilMillis - nowMillis : 0;
  }

  /** Forgets grants that the next granting node does not know to be unused. */
  public void onGrantingNodeChanged() {
    unitsVoid = 0;
    exhaustedUntilMillis = Long.MIN_VALUE;
  }

  /** Returns whether the granting node has to be told that nothing is left. */
  public boolean isReported() {
    return reported;
  }

  /**
   * Returns what to request, and gives up the units that it returns.
   *
   * @param tenant key of the tenant
   * @param newer the allotment, if the granting node is known to have an older configuration
   * @param urgent units for which requests wait
   * @param horizonMillis time for which a grant should last
   * @param nowMillis present time
   */
  public GrantRequest.Entry request(
      int tenant, Optional<Allotment> newer, long urgent, long horizonMillis, long nowMillis) {
    long balance = balance(nowMillis);
    double expected = recentUnits(horizonMillis, nowMillis);
    long reserve = nowMillis - recentMillis < RESERVE_MILLIS ? recentCost : 0;
    long kept = Math.max(reserve, (long) (MAX_RESERVE * expected));
    long surplus = urgent > 0 ? 0 : Math.max(0, balance - kept);
    units -= surplus;
    long returned = surplus + unitsVoid;
    reported = false;
    unitsVoid = 0;
    long wanted = Math.max(0, Math.max(reserve, (long) (RESERVE * expected)) + urgent - units);
    long stillUrgent = Math.max(0, urgent - units);
    return new GrantRequest.Entry(
        tenant, units, Math.max(wanted, stillUrgent), stillUrgent, returned, newer);
  }

  /**
   * Applies a grant, which renews the whole balance.
   *
   * @param grant the grant
   * @param nextUntilMillis time at which the balance expires
   * @param nowMillis present time
   */
  public void onGrant(GrantDecision.Grant grant, long nextUntilMillis, long nowMillis) {
    units = balance(nowMillis) + grant.units();
    reported = units > 0;
    untilMillis = nextUntilMillis;
    exhaustedUntilMillis = grant.waitMillis() > 0 ? nowMillis + grant.waitMillis() : Long.MIN_VALUE;
  }
}
