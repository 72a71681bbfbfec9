package io.nutmegseam.core.crash;

import java.util.Map;

/**
 * A crash of a server's process, and what ran on it as far as one node knows.
 *
 * @param process identifies the process: the server and its start
 * @param software service and software version of the server
 * @param suspects what ran when the process crashed, each with its specificity: of two fingerprints
 *     that explain the same crashes, the one with the higher number is blamed, since fewer requests
 *     have it
 */
public record CrashReport(String process, String software, Map<Fingerprint, Integer> suspects) {
  /** Creates a report with a copy of the suspects. */
  public CrashReport {
    suspects = Map.copyOf(suspects);
  }
}
