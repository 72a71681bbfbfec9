package io.nutmegseam.node.operator;

import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.lease.LeaseRow;
import io.nutmegseam.core.placement.Placements;
import io.nutmegseam.core.platform.PlatformException;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.RowCodec;
import io.nutmegseam.node.caller.AcceptFilter;
import io.nutmegseam.node.control.ConfigRows;
import io.nutmegseam.node.control.NodeContext;
import io.nutmegseam.node.control.NodeControl;
import io.nutmegseam.node.control.RoutingTable;
import io.nutmegseam.node.control.ServerView;
import io.nutmegseam.node.control.TableHolder;
import io.nutmegseam.node.peer.Outbox;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;

/** Asks the control thread for the state that operators see. */
public final class NodeQueries {
  private static final long ANSWER_SECONDS = 5;
  private static final int MAX_ROWS = 10_000;

  private final NodeContext context;
  private final NodeControl control;
  private final TableHolder tables;
  private final Outbox outbox;
  private final AcceptFilter accept;

  /**
   * Creates the queries.
   *
   * @param context what the control state works with
   * @param control the control state
   * @param tables holds the routing table
   * @param outbox knows the connected peers
   * @param accept knows the requests in flight
   */
  public NodeQueries(
      NodeContext context,
      NodeControl control,
      TableHolder tables,
      Outbox outbox,
      AcceptFilter accept) {
    this.context = context;
    this.control = control;
    this.tables = tables;
    this.outbox = outbox;
    this.accept = accept;
  }

  /** Returns whether the node takes requests. */
  public boolean isReady() {
    return accept.isReady();
  }

  /** Returns the configuration revision in force. */
  public Reports.Revision revision() {
    return new Reports.Revision(context.node(), tables.current().catalog().revision());
  }

  /** Returns the leases of live nodes. */
  public List<LeaseRow> liveNodes() {
    try {
      return ask(() -> control.membership().observer().live(context.nowMillis()));
    } catch (RequestException e) {
      return List.of();
    }
  }

  /**
   * Returns what this node sees.
   *
   * @throws RequestException if the control thread does not answer
   */
  public Reports.Status status() throws RequestException {
    return ask(
        () ->
            new Reports.Status(
                context.node(),
                isReady(),
                context.health().isAvailable(),
                accept.inFlight(),
                nodes(),
                servers()));
  }

  /** Returns the placements. */
  public List<Reports.PlacementStatus> placements() {
    RoutingTable table = tables.current();
    List<Reports.PlacementStatus> placements = new ArrayList<>();
    for (String model : table.placements().models()) {
      for (Placements.VersionedRow placed : table.placements().slotsOfModel(model)) {
        placements.add(
            new Reports.PlacementStatus(
                model,
                placed.row().slot(),
                placed.row().server(),
                placed.row().state().name(),
                placed.row().generation()));
      }
    }
    placements.sort(
        Comparator.comparing(Reports.PlacementStatus::model)
            .thenComparing(Reports.PlacementStatus::slot));
    return placements;
  }

  /**
   * Returns the audit rows, oldest first.
   *
   * @throws RequestException if the table service does not answer
   */
  public List<ConfigRows.Audit> history() throws RequestException {
    try {
      List<ConfigRows.Audit> audits = new ArrayList<>();
      for (Row row : context.table().range(ConfigRows.AUDIT_PREFIX, 0, MAX_ROWS)) {
        RowCodec.decode(row.value(), ConfigRows.Audit.class).ifPresent(audits::add);
      }
      return audits;
    } catch (PlatformException e) {
      throw new RequestException(
          ErrorKind.PLATFORM_UNAVAILABLE, String.valueOf(e.getMessage()), 1_000);
    }
  }

  private List<Reports.NodeStatus> nodes() {
    Set<String> live =
        control.membership().observer().live(context.nowMillis()).stream()
            .map(LeaseRow::node)
            .collect(Collectors.toSet());
    Set<String> connected = outbox.connected();
    List<Reports.NodeStatus> nodes = new ArrayList<>();
    for (LeaseRow row : control.membership().observer().rows()) {
      boolean reached = connected.contains(row.node()) || row.node().equals(context.node());
      String state = row.leaving() ? "leaving" : live.contains(row.node()) ? "live" : "lapsed";
      nodes.add(
          new Reports.NodeStatus(
              row.node(), row.dataCentre(), state, row.revision(), reached, row.operatorAddress()));
    }
    nodes.sort(Comparator.comparing(Reports.NodeStatus::node));
    return nodes;
  }

  private List<Reports.ServerStatus> servers() {
    RoutingTable table = tables.current();
    List<Reports.ServerStatus> servers = new ArrayList<>();
    for (BackendServerRecord server : table.catalog().backendServers()) {
      ServerView view = table.view(server.name()).orElse(ServerView.unknown(server.name()));
      servers.add(
          new Reports.ServerStatus(
              server.name(),
              server.dataCentre(),
              control.ownerOf(server.name()),
              view.epoch(),
              view.reachable() || !server.isEngine(),
              table.isLeaving(server.name()),
              view.loadedUnits(),
              view.loadingUnits()));
    }
    return servers;
  }

  private <T> T ask(Callable<T> question) throws RequestException {
    CompletableFuture<T> answer = new CompletableFuture<>();
    context
        .thread()
        .execute(
            () -> {
              try {
                answer.complete(question.call());
              } catch (Exception e) {
                answer.completeExceptionally(e);
              }
            });
    try {
      return answer.get(ANSWER_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new RequestException(ErrorKind.NOT_READY, "interrupted");
    } catch (ExecutionException | TimeoutException e) {
      throw new RequestException(ErrorKind.INTERNAL, "the control thread gave no answer: " + e);
    }
  }
}
