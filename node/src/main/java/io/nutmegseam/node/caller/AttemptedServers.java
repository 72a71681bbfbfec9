package io.nutmegseam.node.caller;

import java.util.HashSet;
import java.util.Set;

/**
 * The backend servers of a request's earlier attempts.
 *
 * @param mayHaveRun servers that may have run the request; they never get it again
 * @param refused servers that certainly did not run it; they may be asked again after a pause
 */
public record AttemptedServers(Set<String> mayHaveRun, Set<String> refused) {
  /** Returns the state before the first attempt. */
  public static AttemptedServers none() {
    return new AttemptedServers(Set.of(), Set.of());
  }

  /** Returns the state after one more attempt. */
  public AttemptedServers with(String server, boolean provedNotRun) {
    return provedNotRun
        ? new AttemptedServers(mayHaveRun, plus(refused, server))
        : new AttemptedServers(plus(mayHaveRun, server), refused);
  }

  /** Returns the state after a pause: servers that refused may be asked again. */
  public AttemptedServers withoutRefused() {
    return new AttemptedServers(mayHaveRun, Set.of());
  }

  /** Returns whether a server may not get the request now. */
  public boolean excludes(String server) {
    return mayHaveRun.contains(server) || refused.contains(server);
  }

  private static Set<String> plus(Set<String> servers, String server) {
    Set<String> next = new HashSet<>(servers);
    next.add(server);
    return Set.copyOf(next);
  }
}
