package io.nutmegseam.core.fleet;

/**
 * One run of a server's process. A server may restart under the same id.
 *
 * @param id id of the server
 * @param startedAtMillis start of the process, in milliseconds since the epoch of the server's
 *     clock
 */
public record Incarnation(String id, long startedAtMillis) {
  @Override
  public String toString() {
    return id + "@" + startedAtMillis;
  }
}
