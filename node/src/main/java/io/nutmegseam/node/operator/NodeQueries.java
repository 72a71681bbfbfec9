package io.nutmegseam.node.operator;

import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.lease.LeaseRow;
import io.nutmegseam.core.placement.Placements;
import io.nutmegseam.core.platform.PlatformException;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.RowCodec;
import io.nutmegseam.node.caller.RequestAcceptor;
import io.nutmegseam.node.control.ConfigRows;
import io.nutmegseam.node.control.NodeContext;
import io.nutmegseam.node.control.NodeControl;
import io.nutmegseam.node.control.RoutingTable;
import io.nutmegseam.node.control.RoutingTablePublisher;
import io.nutmegseam.node.control.ServerView;
import io.nutmegseam.node.peer.PeerTransport;
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

/** Reads the state of the node that the operator interface reports. */
public final class NodeQueries {
  private static final long CONTROL_TIMEOUT_SECONDS = 5;
  private static final int MAX_ROWS = 10_000;

  private final NodeContext context;
  private final NodeControl control;
  private final RoutingTablePublisher tables;
  private final PeerTransport transport;
  private final RequestAcceptor acceptor;

  /**
   * Creates the queries.
   *
   * @param context the control thread, clocks and clients of the node
   * @param control the state that the control thread owns
   * @param tables publishes the routing table
   * @param transport lists the connected peers
   * @param acceptor counts the requests in flight
   */
  public NodeQueries(
      NodeContext context,
      NodeControl control,
      RoutingTablePublisher tables,
      PeerTransport transport,
      RequestAcceptor acceptor) {
    this.context = context;
    this.control = control;
    this.tables = tables;
    this.transport = transport;
    this.acceptor = acceptor;
  }

  /** Returns whether the node accepts requests of callers. */
  public boolean isReady() {
    return acceptor.isReady();
  }

  /** Returns the active configuration revision. */
  public OperatorResponses.Revision revision() {
    return new OperatorResponses.Revision(context.node(), tables.current().catalog().revision());
  }

  /** Returns the leases of live nodes; an empty list if the control thread does not respond. */
  public List<LeaseRow> liveNodes() {
    try {
      return callOnControlThread(
          () -> control.membership().observer().liveRows(context.nowMillis()));
    } catch (RequestException e) {
      return List.of();
    }
  }

  /**
   * Returns the state of the cluster as this node sees it.
   *
   * @throws RequestException if the control thread does not respond
   */
  public OperatorResponses.ClusterStatus status() throws RequestException {
    return callOnControlThread(
        () ->
            new OperatorResponses.ClusterStatus(
                context.node(),
                isReady(),
                context.health().isAvailable(),
                acceptor.inFlight(),
                nodes(),
                servers()));
  }

  /** Returns the placements, ordered by model and slot. */
  public List<OperatorResponses.PlacementStatus> placements() {
    RoutingTable table = tables.current();
    List<OperatorResponses.PlacementStatus> placements = new ArrayList<>();
    for (String model : table.placements().models()) {
      for (Placements.VersionedRow placed : table.placements().slotsOfModel(model)) {
        placements.add(
            new OperatorResponses.PlacementStatus(
                model,
                placed.row().slot(),
                placed.row().server(),
                placed.row().state().name(),
                placed.row().generation()));
      }
    }
    placements.sort(
        Comparator.comparing(OperatorResponses.PlacementStatus::model)
            .thenComparing(OperatorResponses.PlacementStatus::slot));
    return placements;
  }

  /**
   * Returns the audit rows, oldest first.
   *
   * @throws RequestException if the table service cannot be read
   */
  public List<ConfigRows.AuditRow> history() throws RequestException {
    try {
      List<ConfigRows.AuditRow> audits = new ArrayList<>();
      for (Row row : context.table().range(ConfigRows.AUDIT_PREFIX, 0, MAX_ROWS)) {
        RowCodec.decode(row.value(), ConfigRows.AuditRow.class).ifPresent(audits::add);
      }
      return audits;
    } catch (PlatformException e) {
      throw new RequestException(
          ErrorKind.PLATFORM_UNAVAILABLE, String.valueOf(e.getMessage()), 1_000);
    }
  }

  private List<OperatorResponses.NodeStatus> nodes() {
    Set<String> live =
        control.membership().observer().liveRows(context.nowMillis()).stream()
            .map(LeaseRow::node)
            .collect(Collectors.toSet());
    Set<String> connected = transport.connectedNodes();
    List<OperatorResponses.NodeStatus> nodes = new ArrayList<>();
    for (LeaseRow row : control.membership().observer().rows()) {
      boolean isConnected = connected.contains(row.node()) || row.node().equals(context.node());
      String state = row.leaving() ? "leaving" : live.contains(row.node()) ? "live" : "lapsed";
      nodes.add(
          new OperatorResponses.NodeStatus(
              row.node(),
              row.dataCentre(),
              state,
              row.revision(),
              isConnected,
              row.operatorAddress()));
    }
    nodes.sort(Comparator.comparing(OperatorResponses.NodeStatus::node));
    return nodes;
  }

  private List<OperatorResponses.ServerStatus> servers() {
    RoutingTable table = tables.current();
    List<OperatorResponses.ServerStatus> servers = new ArrayList<>();
    for (BackendServerRecord server : table.catalog().backendServers()) {
      ServerView view = table.view(server.name()).orElse(ServerView.unknown(server.name()));
      servers.add(
          new OperatorResponses.ServerStatus(
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

  private <T> T callOnControlThread(Callable<T> query) throws RequestException {
    CompletableFuture<T> result = new CompletableFuture<>();
    context
        .thread()
        .execute(
            () -> {
              try {
                result.complete(query.call());
              } catch (Exception e) {
                result.completeExceptionally(e);
              }
            });
    try {
      return result.get(CONTROL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new RequestException(ErrorKind.NOT_READY, "interrupted");
    } catch (ExecutionException | TimeoutException e) {
      throw new RequestException(ErrorKind.INTERNAL, "the control thread returned no result: " + e);
    }
  }
}
