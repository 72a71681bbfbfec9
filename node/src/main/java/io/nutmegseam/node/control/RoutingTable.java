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

/** What traffic needs to know, as one immutable snapshot. */
public final class RoutingTable {
  private final Catalog catalog;
  private final Placements placements;
  private final Map<String, ServerView> views;
  private final Set<String> leaving;
  private final Map<String, List<BackendServerRecord>> serversByUnit;
  private final int loadingCount;

  /**
   * Creates a snapshot.
   *
   * @param catalog the records in force
   * @param placements the placements as last read
   * @param views what is known about each server, by name
   * @param leaving servers that get no new work
   */
  public RoutingTable(
      Catalog catalog, Placements placements, Map<String, ServerView> views, Set<String> leaving) {
    this.catalog = catalog;
    this.placements = placements;
    this.views = Map.copyOf(views);
    this.leaving = Set.copyOf(leaving);
    this.serversByUnit = index();
    this.loadingCount = this.views.values().stream().mapToInt(v -> v.loadingUnits().size()).sum();
  }

  /** Returns the snapshot of a node that knows nothing. */
  public static RoutingTable empty() {
    return new RoutingTable(Catalog.empty(), Placements.empty(), Map.of(), Set.of());
  }

  /** Returns the records in force. */
  public Catalog catalog() {
    return catalog;
  }

  /** Returns the placements as last read. */
  public Placements placements() {
    return placements;
  }

  /** Returns the servers that have a unit loaded and may get new work. */
  public List<BackendServerRecord> serversWith(String unit) {
    return serversByUnit.getOrDefault(unit, List.of());
  }

  /** Returns the servers of a plain service that may get new work. */
  public List<BackendServerRecord> serversOfService(String service) {
    return catalog.backendServers().stream()
        .filter(server -> server.service().equals(service))
        .filter(server -> !isLeaving(server.name()))
        .toList();
  }

  /** Returns whether a server gets no new work. */
  public boolean isLeaving(String server) {
    return leaving.contains(server);
  }

  /** Returns what is known about a server. */
  public Optional<ServerView> view(String server) {
    return Optional.ofNullable(views.get(server));
  }

  /** Returns what is known about every server, by name. */
  public Map<String, ServerView> views() {
    return views;
  }

  /** Returns the number of loads that are under way. */
  public int loadingCount() {
    return loadingCount;
  }

  private Map<String, List<BackendServerRecord>> index() {
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
