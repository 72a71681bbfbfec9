package io.nutmegseam.node.caller;

import io.nutmegseam.core.admission.AdmissionRule;
import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.config.ModelRecord;
import io.nutmegseam.core.config.PolicyRecord;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.placement.PlacementRules;
import io.nutmegseam.node.control.RoutingTable;
import io.nutmegseam.node.control.RoutingTablePublisher;
import io.nutmegseam.node.control.ServerView;
import io.nutmegseam.node.control.WaitingRequestRegistry;
import java.time.Clock;
import java.util.List;
import java.util.Optional;

/**
 * Refuses a request before it is queued if no backend server can run it, its queue is full or its
 * deadline cannot be met.
 */
public final class AdmissionFilter implements Filter {
  private final RoutingTablePublisher tables;
  private final WaitingRequestRegistry waitingRequests;
  private final Clock monotonic;

  /**
   * Creates the filter.
   *
   * @param tables publishes the routing table
   * @param waitingRequests the requests that wait for a model or adapter
   * @param monotonic monotonic clock
   */
  public AdmissionFilter(
      RoutingTablePublisher tables, WaitingRequestRegistry waitingRequests, Clock monotonic) {
    this.tables = tables;
    this.waitingRequests = waitingRequests;
    this.monotonic = monotonic;
  }

  @Override
  public SentResponse apply(CallerRequest request, ResponseSink sink, Next next)
      throws RequestException {
    AdmissionRule.check(admissionInput(request));
    return next.proceed(request, sink);
  }

  private AdmissionRule.Inputs admissionInput(CallerRequest request) {
    RoutingTable table = tables.current();
    PolicyRecord policy = table.catalog().policy();
    return new AdmissionRule.Inputs(
        request.name(),
        waitingRequests.waitingCount(request.name(), request.interactive()),
        policy.queueLimit(),
        request.deadlineMillis() - monotonic.millis(),
        expectedWaitMillis(request, table) + ServiceTimeEstimator.estimateMillis(request, table),
        hasUsableServer(request, table));
  }

  private static boolean hasUsableServer(CallerRequest request, RoutingTable table) {
    if (!request.isCompletion()) {
      return !table.serversOfService(request.name()).isEmpty();
    }
    if (!table.serversWith(request.name()).isEmpty()) {
      return true;
    }
    return PlacementRules.allowedServers(request.name(), table.catalog(), table.placements())
        .stream()
        .anyMatch(server -> isAvailable(server, table));
  }

  private static boolean isAvailable(String server, RoutingTable table) {
    boolean reachable = table.view(server).map(ServerView::reachable).orElse(false);
    return reachable && !table.isLeaving(server);
  }

  private long expectedWaitMillis(CallerRequest request, RoutingTable table) {
    List<BackendServerRecord> loadedServers = table.serversWith(request.name());
    if (!request.isCompletion() || !loadedServers.isEmpty()) {
      return 0;
    }
    Optional<ModelRecord> base = PlacementRules.baseModel(request.name(), table.catalog());
    long loadMillis = base.map(ModelRecord::loadMillis).orElse(0L);
    int loadsAhead = table.loadingCount() + waitingRequests.waitingUnitCount();
    return loadMillis * (1 + loadsAhead / table.catalog().policy().loadsInParallel());
  }
}
