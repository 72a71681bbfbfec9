package io.nutmegseam.core.allotment;

import java.util.List;

/**
 * The answer to a grant request.
 *
 * @param sequence sequence of the request
 * @param stamp proves in the next request that it is not older than this answer
 * @param configVersion configuration of the granting node
 * @param member whether the request is proven recent, so that its sender counts as a member
 * @param grants the grants, in the order of the tenants of the request
 */
public record GrantDecision(
    long sequence, long stamp, long configVersion, boolean member, List<Grant> grants) {
  /**
   * The grant for a tenant.
   *
   * @param units units granted in addition
   * @param waitMillis time after which more may be available, if the tenant is exhausted
   */
  public record Grant(long units, long waitMillis) {
    static final Grant NONE = new Grant(0, 0);
  }
}
