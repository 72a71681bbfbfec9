package io.nutmegseam.node.caller;

import io.nutmegseam.core.admission.AdmissionRule;
import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.config.ModelRecord;
import io.nutmegseam.core.config.PolicyRecord;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.placement.PlacementRules;
import io.nutmegseam.node.control.RoutingTable;
import io.nutmegseam.node.control.ServerView;
import io.nutmegseam.node.control.TableHolder;
import io.nutmegseam.node.control.WaitBoard;
import java.time.Clock;
import java.util.List;
import java.util.Optional;

/** Refuses a request at once if its queue is full or its deadline cannot be met. */
public final class AdmitFilter implements Filter {
  private final TableHolder tables;
  private final WaitBoard waits;
  private final Clock monotonic;

  /**
   * Creates the filter.
   *
   * @param tables holds the routing table
   * @param waits the waiting requests
   * @param monotonic monotonic clock
   */
  public AdmitFilter(TableHolder tables, WaitBoard waits, Clock monotonic) {
    this.tables = tables;
    this.waits = waits;
    this.monotonic = monotonic;
  }

  @Override
  public Answered apply(Call call, AnswerSink sink, Next next) throws RequestException {
    AdmissionRule.check(situation(call));
    return next.proceed(call);
  }

  private AdmissionRule.Situation situation(Call call) {
    RoutingTable table = tables.current();
    PolicyRecord policy = table.catalog().policy();
    return new AdmissionRule.Situation(
        call.name(),
        waits.waiting(call.name(), call.interactive()),
        policy.queueLimit(),
        call.deadlineMillis() - monotonic.millis(),
        expectedWaitMillis(call, table) + ServiceTime.millis(call, table),
        isPossible(call, table));
  }

  private static boolean isPossible(Call call, RoutingTable table) {
    if (!call.isCompletion()) {
      return !table.serversOfService(call.name()).isEmpty();
    }
    if (!table.serversWith(call.name()).isEmpty()) {
      return true;
    }
    return PlacementRules.allowedServers(call.name(), table.catalog(), table.placements()).stream()
        .anyMatch(server -> isUsable(server, table));
  }

  private static boolean isUsable(String server, RoutingTable table) {
    boolean reachable = table.view(server).map(ServerView::reachable).orElse(false);
    return reachable && !table.isLeaving(server);
  }

  private long expectedWaitMillis(Call call, RoutingTable table) {
    List<BackendServerRecord> loaded = table.serversWith(call.name());
    if (!call.isCompletion() || !loaded.isEmpty()) {
      return 0;
    }
    Optional<ModelRecord> base = PlacementRules.baseModel(call.name(), table.catalog());
    long loadMillis = base.map(ModelRecord::loadMillis).orElse(0L);
    int ahead = table.loadingCount() + waits.waitingUnits();
    return loadMillis * (1 + ahead / table.catalog().policy().loadsInParallel());
  }
}
