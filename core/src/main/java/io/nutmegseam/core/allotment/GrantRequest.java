package io.nutmegseam.core.allotment;

import io.nutmegseam.core.tenant.Allotment;
import java.util.List;
import java.util.Optional;

/**
 * A request of a node for grants of a group of tenants. It lends the node's shares of all tenants
 * of the group.
 *
 * @param process random number of the sender's process
 * @param sequence rises with each request of a process
 * @param answered sequence of the last request whose answer was applied; later grants are void
 * @param echo stamp of the last answer of the granting node; 0 if there is none
 * @param group number of the group
 * @param groups number of groups
 * @param configVersion configuration of the sender
 * @param entries the tenants that have a balance or are used
 */
public record GrantRequest(
    int process,
    long sequence,
    long answered,
    long echo,
    int group,
    int groups,
    long configVersion,
    List<Entry> entries) {
  /**
   * What a node requests for a tenant.
   *
   * @param tenant hash of the tenant's name
   * @param balance units that the node has left
   * @param wanted units that it wants in addition
   * @param urgent units of these for which requests wait
   * @param returned units that it has not used and won't use
   * @param newer the allotment, if the granting node is known to have an older configuration
   */
  public record Entry(
      int tenant,
      long balance,
      long wanted,
      long urgent,
      long returned,
      Optional<Allotment> newer) {}
}
