package io.nutmegseam.core.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * The services to which the routes of streams led of late, and their timeouts, as far as this node
 * has known the configuration, and what it was told of the timeouts before that. Immutable.
 */
public final class RouteHistory {
  private static final long STILL_MILLIS = Long.MAX_VALUE;

  /** Age up to which the configuration counts as current; the usual time until it is read. */
  private static final long MAX_AGE_MILLIS = 2_500;

  /**
   * Longest time for which a node that does not reach the platform can route by a configuration
   * that other nodes have replaced.
   */
  private static final long STALE_USE_MILLIS = 60_000;

  /** Time for which is remembered where a route led. */
  private static final long RETENTION_MILLIS = 600_000;

  /** Longest timeout whose streams a history can cover; assumed while nothing else is known. */
  private static final long LONGEST_TIMEOUT_MILLIS = RETENTION_MILLIS - STALE_USE_MILLIS;

  /** The history of a node without a configuration, which knows nothing of the time before. */
  public static final RouteHistory EMPTY =
      new RouteHistory(
          Map.of(), Map.of(), List.of(), STILL_MILLIS, Long.MIN_VALUE, LONGEST_TIMEOUT_MILLIS);

  private final Map<Prefix, Uses> usesByPrefix;
  private final Map<Long, Use> resumableTimeouts;
  private final List<Map<String, Use>> sharedPaths;
  private final long sinceMillis;
  private final long untilMillis;
  private final long unseenTimeoutMillis;

  /** Time during which something was in force; {@link #STILL_MILLIS} if it is at present. */
  private record Use(long fromMillis, long untilMillis) {
    private Use and(Use other) {
      return new Use(
          Math.min(fromMillis, other.fromMillis), Math.max(untilMillis, other.untilMillis));
    }

    private Use endedBy(long atMillis) {
      return untilMillis <= atMillis ? this : new Use(fromMillis, atMillis);
    }
  }

  private record Prefix(String host, String path) {
    /** Returns this prefix and the shorter ones that match the same paths, the longest first. */
    private Stream<Prefix> withShorterOnes() {
      return Stream.iterate(
              path,
              longer -> !longer.isEmpty(),
              longer -> longer.substring(0, longer.lastIndexOf('/', longer.length() - 2) + 1))
          .map(shorter -> new Prefix(host, shorter));
    }

    private boolean matchesPathsOf(Prefix longer) {
      return host.equals(longer.host) && longer.path.startsWith(path);
    }
  }

  /**
   * Use of a path prefix.
   *
   * @param presentSinceMillis time since which a route has had the prefix; {@link #STILL_MILLIS} if
   *     none has it
   */
  private record Uses(Map<String, Use> services, Map<Long, Use> timeouts, long presentSinceMillis) {
    private static final Uses NONE = new Uses(Map.of(), Map.of(), STILL_MILLIS);

    private boolean isRemoved() {
      return presentSinceMillis == STILL_MILLIS;
    }

    private boolean isForgotten() {
      return services.isEmpty() && isRemoved();
    }
  }

  private RouteHistory(
      Map<Prefix, Uses> usesByPrefix,
      Map<Long, Use> resumableTimeouts,
      List<Map<String, Use>> sharedPaths,
      long sinceMillis,
      long untilMillis,
      long unseenTimeoutMillis) {
    this.usesByPrefix = usesByPrefix;
    this.resumableTimeouts = resumableTimeouts;
    this.sharedPaths = sharedPaths;
    this.sinceMillis = sinceMillis;
    this.untilMillis = untilMillis;
    this.unseenTimeoutMillis = unseenTimeoutMillis;
  }

  /**
   * Returns the history with a configuration that is in force from a time on.
   *
   * @param config the configuration
   * @param nowMillis present monotonic time
   */
  public RouteHistory observe(GatewayConfig config, long nowMillis) {
    Map<Prefix, Route> routeByPrefix = new HashMap<>();
    config
        .routes()
        .forEach(route -> routeByPrefix.put(new Prefix(route.host(), route.pathPrefix()), route));
    Set<Prefix> prefixes = new HashSet<>(usesByPrefix.keySet());
    prefixes.addAll(routeByPrefix.keySet());
    Map<Prefix, Uses> next = new HashMap<>();
    for (Prefix prefix : prefixes) {
      Uses uses =
          next(usesByPrefix.getOrDefault(prefix, Uses.NONE), routeByPrefix.get(prefix), nowMillis);
      if (!uses.isForgotten()) {
        next.put(prefix, uses);
      }
    }
    List<Long> timeouts =
        config.routes().stream()
            .filter(Route::hasResumableStreams)
            .map(Route::timeoutMillis)
            .toList();
    return new RouteHistory(
        next,
        next(resumableTimeouts, timeouts, nowMillis),
        sharedPaths(next),
        Math.min(sinceMillis, nowMillis),
        untilMillis,
        unseenTimeoutMillis);
  }

  /** Returns the history after the platform was asked for the configuration once more. */
  public RouteHistory confirm(long asOfMillis) {
    return asOfMillis <= untilMillis
        ? this
        : new RouteHistory(
            usesByPrefix,
            resumableTimeouts,
            sharedPaths,
            sinceMillis,
            asOfMillis,
            unseenTimeoutMillis);
  }

  /**
   * Returns the history of a node that is told of the time before it knew the configuration.
   *
   * @param longestMillis the {@linkplain #earlierTimeoutMillis longest earlier timeout} at a node
   *     that knows it
   */
  public RouteHistory withUnseenTimeout(long longestMillis) {
    return longestMillis >= unseenTimeoutMillis
        ? this
        : new RouteHistory(
            usesByPrefix, resumableTimeouts, sharedPaths, sinceMillis, untilMillis, longestMillis);
  }

  /** Returns the services of each prefix whose paths led to several ones. */
  private static List<Map<String, Use>> sharedPaths(Map<Prefix, Uses> usesByPrefix) {
    return usesByPrefix.keySet().stream()
        .map(prefix -> reaching(usesByPrefix, prefix, Uses::services))
        .filter(services -> services.size() > 1)
        .distinct()
        .toList();
  }

  private static Uses next(Uses before, Route route, long nowMillis) {
    boolean streams = route != null && route.kind() == RequestKind.STREAMING;
    List<String> services =
        streams
            ? route.shares().stream()
                .map(ServiceShare::service)
                .filter(route::leadsTo)
                .distinct()
                .toList()
            : List.of();
    List<Long> timeouts = streams ? List.of(route.timeoutMillis()) : List.of();
    return new Uses(
        next(before.services(), services, nowMillis),
        next(before.timeouts(), timeouts, nowMillis),
        route == null ? STILL_MILLIS : Math.min(before.presentSinceMillis(), nowMillis));
  }

  private static <T> Map<T, Use> next(Map<T, Use> before, Collection<T> present, long nowMillis) {
    Map<T, Use> next = new HashMap<>();
    before.forEach(
        (value, use) -> {
          Use ended = use.endedBy(nowMillis);
          if (nowMillis - ended.untilMillis() <= RETENTION_MILLIS) {
            next.put(value, ended);
          }
        });
    present.forEach(value -> next.merge(value, new Use(nowMillis, STILL_MILLIS), Use::and));
    return Map.copyOf(next);
  }

  /**
   * Returns what was in force for paths under a prefix: that of the prefix, and that of shorter
   * ones at times without it.
   */
  private static <T> Map<T, Use> reaching(
      Map<Prefix, Uses> usesByPrefix, Prefix prefix, Function<Uses, Map<T, Use>> part) {
    Map<T, Use> reaching = new HashMap<>();
    long untilMillis = STILL_MILLIS;
    for (Prefix matching : prefix.withShorterOnes().toList()) {
      Uses uses = usesByPrefix.getOrDefault(matching, Uses.NONE);
      long limitMillis = untilMillis;
      part.apply(uses)
          .forEach(
              (value, use) -> {
                if (use.fromMillis() < limitMillis) {
                  reaching.merge(value, use.endedBy(limitMillis), Use::and);
                }
              });
      untilMillis = Math.min(untilMillis, uses.presentSinceMillis());
    }
    return reaching;
  }

  /**
   * Returns the services at which streams can have begun that are resumed at a service: a path that
   * led to this service within a time up to now led to these as well.
   *
   * @param service name of the service, which is one of them
   * @param nowMillis present monotonic time
   * @param withinMillis length of that time, in milliseconds
   */
  public Set<String> recentServices(String service, long nowMillis, long withinMillis) {
    long afterMillis = nowMillis - withinMillis;
    Set<String> recent = new HashSet<>(Set.of(service));
    for (Map<String, Use> services : sharedPaths) {
      Use own = services.get(service);
      if (own != null && own.untilMillis() >= afterMillis) {
        services.forEach(
            (name, use) -> {
              if (use.untilMillis() >= afterMillis) {
                recent.add(name);
              }
            });
      }
    }
    return recent;
  }

  /**
   * Returns these services for all nodes, of which some may route by an older configuration.
   *
   * @param service name of the service, which is one of them
   * @param nowMillis present monotonic time
   * @param withinMillis length of the time up to now, in milliseconds
   */
  public Set<String> usedServices(String service, long nowMillis, long withinMillis) {
    return recentServices(service, nowMillis, withinMillis + STALE_USE_MILLIS);
  }

  /**
   * Returns whether the configuration has been known since a time, and nothing of what was in force
   * since then is forgotten.
   *
   * @param nowMillis present monotonic time
   * @param withinMillis length of the time up to now, in milliseconds
   */
  public boolean covers(long nowMillis, long withinMillis) {
    return withinMillis + STALE_USE_MILLIS <= RETENTION_MILLIS
        && sinceMillis <= nowMillis - withinMillis;
  }

  /** Returns whether the platform was asked for the configuration a moment ago. */
  public boolean isCurrent(long nowMillis) {
    return untilMillis >= nowMillis - MAX_AGE_MILLIS;
  }

  /**
   * Returns the longest timeout under which a stream of a route that still lasts can have begun.
   *
   * @param route the route at present
   * @param nowMillis present monotonic time
   */
  public long longestTimeoutMillis(Route route, long nowMillis) {
    Prefix prefix = new Prefix(route.host(), route.pathPrefix());
    long seenMillis = longestMillis(reaching(usesByPrefix, prefix, Uses::timeouts), nowMillis);
    long removedOrUnseenMillis =
        usesByPrefix.entrySet().stream()
            .filter(uses -> uses.getValue().isRemoved() && prefix.matchesPathsOf(uses.getKey()))
            .mapToLong(uses -> longestMillis(uses.getValue().timeouts(), nowMillis))
            .reduce(unseenMillis(nowMillis), Math::max);
    return Math.max(route.timeoutMillis(), Math.max(seenMillis, removedOrUnseenMillis));
  }

  /**
   * Returns the longest timeout under which a stream that still lasts can have begun and that is
   * not in force for its path any more; 0 if there is none.
   */
  public long earlierTimeoutMillis(long nowMillis) {
    long earlierMillis = unseenMillis(nowMillis);
    for (Prefix prefix : usesByPrefix.keySet()) {
      Map<Long, Use> timeouts = reaching(usesByPrefix, prefix, Uses::timeouts);
      timeouts.values().removeIf(use -> use.untilMillis() == STILL_MILLIS);
      earlierMillis = Math.max(earlierMillis, longestMillis(timeouts, nowMillis));
    }
    return earlierMillis;
  }

  /**
   * Returns the longest timeout of the time before this node knew the configuration, in
   * milliseconds, as long as streams under it can last; then 0.
   */
  public long unseenMillis(long nowMillis) {
    return nowMillis - sinceMillis <= unseenTimeoutMillis + STALE_USE_MILLIS
        ? unseenTimeoutMillis
        : 0;
  }

  /** Returns the longest timeout under which a resumable stream that still lasts can have begun. */
  public long longestStreamMillis(long nowMillis) {
    return longestMillis(resumableTimeouts, nowMillis);
  }

  private static long longestMillis(Map<Long, Use> timeouts, long nowMillis) {
    return timeouts.entrySet().stream()
        .filter(
            timeout ->
                timeout.getValue().untilMillis() == STILL_MILLIS
                    || nowMillis - timeout.getValue().untilMillis()
                        <= timeout.getKey() + STALE_USE_MILLIS)
        .mapToLong(Map.Entry::getKey)
        .max()
        .orElse(0);
  }
}
