package io.nutmegseam.core.crash;

import java.util.Set;

/**
 * A crash of a server's process, and what ran on it as far as one node knows.
 *
 * @param process identifies the process: the server and its start
 * @param software service and software version of the server
 * @param suspects what ran when the process crashed
 */
public record CrashReport(String process, String software, Set<Fingerprint> suspects) {
  /** Creates a report with a copy of the suspects. */
  public CrashReport {
    suspects = Set.copyOf(suspects);
  }
}
