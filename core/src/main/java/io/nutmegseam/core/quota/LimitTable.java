package io.nutmegseam.core.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * The limits that the processes of servers name, as far as this node has been told by them or by
 * other nodes. Of two statements on a process the later one holds. Confined to one thread.
 */
public final class LimitTable {
  /** A smaller relative change of a limit is not worth telling other nodes. */
  private static final double SIGNIFICANT_CHANGE = 0.1;

  /** The end of a limit is remembered for longer than news of its beginning can be on their way. */
  private static final long ENDED_RETENTION_MILLIS = 60_000;

  private final Map<String, NamedLimit> namedByProcess = new HashMap<>();

  /** Returns the limits of a process. */
  public ServerLimits limits(String process) {
    NamedLimit named = namedByProcess.get(process);
    return named == null ? ServerLimits.NONE : named.limits();
  }

  /** Returns what a process has named last, or that it has ceased to name a limit. */
  public Optional<NamedLimit> find(String process) {
    return Optional.ofNullable(namedByProcess.get(process));
  }

  /** Returns the known limits, and those that ended a short time ago. */
  public Collection<NamedLimit> all() {
    return List.copyOf(namedByProcess.values());
  }

  /** Returns the limits of the processes that name any. */
  public Map<String, ServerLimits> limitsByProcess() {
    return namedByProcess.values().stream()
        .filter(named -> !named.limits().isNone())
        .collect(Collectors.toUnmodifiableMap(NamedLimit::process, NamedLimit::limits));
  }

  /** Returns the number of processes that name a limit. */
  public int limitedCount() {
    return limitsByProcess().size();
  }

  /**
   * Applies the limits in a response. A response without limits ends known ones only if its request
   * was sent after the process had named them; else it may be older than they are.
   *
   * @param named the limits in the response
   * @param sentMillis monotonic time at which its request was sent
   * @return whether other nodes need to know
   */
  public boolean onResponse(NamedLimit named, long sentMillis) {
    NamedLimit known = namedByProcess.get(named.process());
    boolean outdated = known != null && sentMillis <= known.namedMillis();
    if (named.limits().isNone() && (known == null || known.limits().isNone() || outdated)) {
      return false;
    }
    return put(named);
  }

  /**
   * Applies limits that another node has been told.
   *
   * @return whether they are new to this node
   */
  public boolean onNews(NamedLimit named) {
    NamedLimit known = namedByProcess.get(named.process());
    if (known == null && named.limits().isNone()) {
      return false;
    }
    return (known == null || known.namedMillis() < named.namedMillis()) && put(named);
  }

  private boolean put(NamedLimit named) {
    ServerLimits before = limits(named.process());
    namedByProcess.put(named.process(), named);
    return named.limits().differsFrom(before, SIGNIFICANT_CHANGE);
  }

  /**
   * Removes processes that are no longer listed and limits that ended long ago.
   *
   * @param isListed whether a process is listed
   * @param nowMillis monotonic time
   */
  public void prune(Predicate<String> isListed, long nowMillis) {
    namedByProcess
        .values()
        .removeIf(
            named -> {
              boolean old = nowMillis - named.namedMillis() > ENDED_RETENTION_MILLIS;
              return old && (named.limits().isNone() || !isListed.test(named.process()));
            });
  }
}
