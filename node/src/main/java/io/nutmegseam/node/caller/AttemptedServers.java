package io.nutmegseam.node.caller;

import java.util.HashSet;
import java.util.Set;

/**
 * The backend servers of a request's earlier attempts.
 *
 * @param mayHaveRun servers that may have run the request; it is never sent to them again
 * @param refused servers that certainly did not run the request; it may be sent to them again after
 *     a pause
 */
public record AttemptedServers(Set<String> mayHaveRun, Set<String> refused) {
  /** Returns the empty sets of a request before its first attempt. */
  public static AttemptedServers none() {
    return new AttemptedServers(Set.of(), Set.of());
  }

  /** Returns a copy that includes the server of a failed attempt. */
  public AttemptedServers with(String server, boolean provedNotRun) {
    return provedNotRun
        ? new AttemptedServers(mayHaveRun, plus(refused, server))
        : new AttemptedServers(plus(mayHaveRun, server), refused);
  }

  /** Returns a copy after the pause, which allows retries at the servers that refused. */
  public AttemptedServers withoutRefused() {
    return new AttemptedServers(mayHaveRun, Set.of());
  }

  /** Returns whether the request may not be sent to a server now. */
  public boolean excludes(String server) {
    return mayHaveRun.contains(server) || refused.contains(server);
  }

  private static Set<String> plus(Set<String> servers, String server) {
    Set<String> copy = new HashSet<>(servers);
    copy.add(server);
    return Set.copyOf(copy);
  }
}
