package io.nutmegseam.node.control;

import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.config.Catalog;
import io.nutmegseam.core.placement.Placements;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** An immutable snapshot of the records, placements and server states that requests need. */
public final class RoutingTable {
  private final Catalog catalog;
  private final Placements placements;
  private final Map<String, ServerView> views;
  private final Set<String> leaving;
  private final Map<String, List<BackendServerRecord>> serversByUnit;
  private final int loadingCount;

  /**
   * Creates a routing table.
   *
   * @param catalog the active records
   * @param placements the placements as last read
   * @param views the known state of each server, by name
   * @param leaving names of the servers that get no new requests or loads
   */
  public RoutingTable(
      Catalog catalog, Placements placements, Map<String, ServerView> views, Set<String> leaving) {
    this.catalog = catalog;
    this.placements = placements;
    this.views = Map.copyOf(views);
    this.leaving = Set.copyOf(leaving);
    this.serversByUnit = indexByUnit();
    this.loadingCount = this.views.values().stream().mapToInt(v -> v.loadingUnits().size()).sum();
  }

  /** Returns the table of a node that has read no records yet. */
  public static RoutingTable empty() {
    return new RoutingTable(Catalog.empty(), Placements.empty(), Map.of(), Set.of());
  }

  /** Returns the active records. */
  public Catalog catalog() {
    return catalog;
  }

  /** Returns the placements as last read. */
  public Placements placements() {
    return placements;
  }

  /** Returns the reachable servers that have a unit loaded and are not leaving. */
  public List<BackendServerRecord> serversWith(String unit) {
    return serversByUnit.getOrDefault(unit, List.of());
  }

  /** Returns the servers of a plain service that are not leaving. */
  public List<BackendServerRecord> serversOfService(String service) {
    return catalog.backendServers().stream()
        .filter(server -> server.service().equals(service))
        .filter(server -> !isLeaving(server.name()))
        .toList();
  }

  /** Returns whether a server is leaving, so that it gets no new requests or loads. */
  public boolean isLeaving(String server) {
    return leaving.contains(server);
  }

  /** Returns the known state of a server. */
  public Optional<ServerView> view(String server) {
    return Optional.ofNullable(views.get(server));
  }

  /** Returns the known state of every server, by name. */
  public Map<String, ServerView> views() {
    return views;
  }

  /** Returns the number of loads in flight on all servers. */
  public int loadingCount() {
    return loadingCount;
  }

  private Map<String, List<BackendServerRecord>> indexByUnit() {
    Map<String, List<BackendServerRecord>> index = new HashMap<>();
    for (BackendServerRecord server : catalog.backendServers()) {
      ServerView view = views.get(server.name());
      if (view == null || !view.reachable() || isLeaving(server.name())) {
        continue;
      }
      for (String unit : view.loadedUnits()) {
        index.computeIfAbsent(unit, k -> new ArrayList<>()).add(server);
      }
    }
    return index;
  }
}
