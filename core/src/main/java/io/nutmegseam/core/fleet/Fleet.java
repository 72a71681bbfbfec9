package io.nutmegseam.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BinaryOperator;

/**
 * The backend servers that are known at one time, by id. Only one process can listen at an address:
 * of several entries with the same address, that of the latest start counts, and the processes of
 * the others have ended. Immutable.
 */
public final class Fleet {
  /** A fleet without servers. */
  public static final Fleet EMPTY = new Fleet(Map.of());

  /** Start times that differ by less do not tell the later one, as they come from two clocks. */
  private static final long CLOCK_TOLERANCE_MILLIS = 1_000;

  private final Map<String, ServerEntry> listedById;
  private final Map<String, ServerEntry> entryById = new HashMap<>();
  private final Set<Incarnation> superseded = new HashSet<>();
  private final Map<String, Incarnation> latestByAddress = new HashMap<>();
  private final Map<String, List<ServerEntry>> entriesByService = new HashMap<>();
  private final Map<String, Set<String>> versionsByService = new HashMap<>();

  /**
   * Creates a fleet.
   *
   * @param listedById the entries that the platform lists, by id of the server
   */
  public Fleet(Map<String, ServerEntry> listedById) {
    this.listedById = Map.copyOf(listedById);
    for (ServerEntry entry : this.listedById.values()) {
      latestByAddress.merge(
          entry.address(),
          entry.incarnation(),
          BinaryOperator.maxBy(Comparator.comparingLong(Incarnation::startedAtMillis)));
      versionsByService
          .computeIfAbsent(entry.service(), s -> new HashSet<>())
          .add(entry.softwareVersion());
    }
    boolean addressesShared = latestByAddress.size() < this.listedById.size();
    for (ServerEntry entry : this.listedById.values()) {
      if (addressesShared && isSuperseded(entry)) {
        superseded.add(entry.incarnation());
      } else {
        entryById.put(entry.incarnation().id(), entry);
        entriesByService.computeIfAbsent(entry.service(), s -> new ArrayList<>()).add(entry);
      }
    }
  }

  /**
   * Returns whether another server of a later start has the address of a server, so that the
   * process of the latter has ended. False if one of the starts is not known, and for a server that
   * has started again under its id: what was sent to it before may run in its next process.
   *
   * @param server a server, also one that is not in the fleet
   */
  public boolean isSuperseded(ServerEntry server) {
    Incarnation process = server.incarnation();
    Incarnation latest = latestByAddress.getOrDefault(server.address(), process);
    return process.startedAtMillis() > 0
        && !latest.id().equals(process.id())
        && latest.startedAtMillis() - process.startedAtMillis() > CLOCK_TOLERANCE_MILLIS;
  }

  /**
   * Returns the listed processes that are not in the fleet, since later ones have their address.
   */
  public Set<Incarnation> superseded() {
    return Collections.unmodifiableSet(superseded);
  }

  /**
   * Returns this fleet with some servers draining, or itself if that changes nothing.
   *
   * @param servers processes of servers, also such that are not in the fleet
   */
  public Fleet withDraining(Set<Incarnation> servers) {
    Map<String, ServerEntry> changed = new HashMap<>();
    for (Incarnation server : servers) {
      ServerEntry entry = listedById.get(server.id());
      if (entry != null && entry.incarnation().equals(server) && !entry.draining()) {
        changed.put(server.id(), entry.asDraining());
      }
    }
    if (changed.isEmpty()) {
      return this;
    }
    Map<String, ServerEntry> entries = new HashMap<>(listedById);
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

  /**
   * Returns whether a server has started again with another software version since an earlier entry
   * of it. What was sent to it by that entry may have run in either process.
   */
  public boolean hasChangedVersion(ServerEntry earlier) {
    return entry(earlier.incarnation().id())
        .filter(entry -> !entry.incarnation().equals(earlier.incarnation()))
        .filter(entry -> !entry.softwareVersion().equals(earlier.softwareVersion()))
        .isPresent();
  }

  /** Returns the entries of the servers of a service, including those that are draining. */
  public List<ServerEntry> entriesOfService(String service) {
    return entriesByService.getOrDefault(service, List.of());
  }

  /**
   * Returns the software versions of the servers of each service, draining ones and those of
   * superseded processes included, as streams of these may still be resumed.
   */
  public Map<String, Set<String>> versionsByService() {
    return Collections.unmodifiableMap(versionsByService);
  }

  /** Returns the entries of all servers. */
  public Collection<ServerEntry> entries() {
    return Collections.unmodifiableCollection(entryById.values());
  }
}
