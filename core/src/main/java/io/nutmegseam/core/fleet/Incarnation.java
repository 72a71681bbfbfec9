package io.nutmegseam.core.fleet;

/**
 * One life of a server's process. A server may start again under the same id.
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
