package io.nutmegseam.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The backend servers that are known at one time, by id. Immutable. */
public final class Fleet {
  /** A fleet without servers. */
  public static final Fleet EMPTY = new Fleet(Map.of());

  private final Map<String, ServerEntry> entryById;
  private final Map<String, List<ServerEntry>> entriesByService = new HashMap<>();
  private final Map<String, Set<String>> versionsByService = new HashMap<>();

  /**
   * Creates a fleet.
   *
   * @param entryById the servers' entries, by id
   */
  public Fleet(Map<String, ServerEntry> entryById) {
    this.entryById = Map.copyOf(entryById);
    for (ServerEntry entry : this.entryById.values()) {
      entriesByService.computeIfAbsent(entry.service(), s -> new ArrayList<>()).add(entry);
      versionsByService
          .computeIfAbsent(entry.service(), s -> new HashSet<>())
          .add(entry.softwareVersion());
    }
  }

  /**
   * Returns this fleet with some servers draining, or itself if that changes nothing.
   *
   * @param servers processes of servers, also such that are not in the fleet
   */
  public Fleet withDraining(Set<Incarnation> servers) {
    Map<String, ServerEntry> changed = new HashMap<>();
    for (Incarnation server : servers) {
      ServerEntry entry = entryById.get(server.id());
      if (entry != null && entry.incarnation().equals(server) && !entry.draining()) {
        changed.put(server.id(), entry.asDraining());
      }
    }
    if (changed.isEmpty()) {
      return this;
    }
    Map<String, ServerEntry> entries = new HashMap<>(entryById);
    entries.putAll(changed);
    return new Fleet(entries);
  }

  /** Returns the entry of a server. */
  public Optional<ServerEntry> entry(String id) {
    return Optional.ofNullable(entryById.get(id));
  }

  /** Returns whether an incarnation is the current one of its server. */
  public boolean isCurrent(Incarnation incarnation) {
    ServerEntry entry = entryById.get(incarnation.id());
    return entry != null && entry.incarnation().equals(incarnation);
  }

  /** Returns the entries of the servers of a service, including those that are draining. */
  public List<ServerEntry> entriesOfService(String service) {
    return entriesByService.getOrDefault(service, List.of());
  }

  /** Returns the software versions of the servers of each service, draining ones included. */
  public Map<String, Set<String>> versionsByService() {
    return Collections.unmodifiableMap(versionsByService);
  }

  /** Returns the entries of all servers. */
  public Collection<ServerEntry> entries() {
    return entryById.values();
  }
}
