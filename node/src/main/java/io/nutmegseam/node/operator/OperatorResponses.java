package io.nutmegseam.node.operator;

import java.util.List;
import java.util.Set;

/** The answers of the operator interface. */
public final class OperatorResponses {
  private OperatorResponses() {}

  /**
   * Revision in force on a node.
   *
   * @param node the node
   * @param revision the revision
   */
  public record Revision(String node, long revision) {}

  /**
   * Heap of a node.
   *
   * @param usedBytes bytes in use
   */
  public record HeapUsage(long usedBytes) {
    /** Collects garbage and returns what is left. */
    static HeapUsage measureAfterCollection() {
      Runtime runtime = Runtime.getRuntime();
      System.gc();
      return new HeapUsage(runtime.totalMemory() - runtime.freeMemory());
    }
  }

  /**
   * The outcome of a change.
   *
   * @param revision the revision of the change
   */
  public record ChangeResult(long revision) {}

  /**
   * A record in force.
   *
   * @param kind word of the record kind
   * @param name the record's name
   * @param revision the revision that wrote it
   * @param text the record as the operator wrote it
   */
  public record StoredRecord(String kind, String name, long revision, String text) {}

  /**
   * A node as its lease shows it.
   *
   * @param node the node
   * @param dataCentre its data centre
   * @param state live, lapsed or leaving
   * @param revision configuration revision in force
   * @param connected whether the answering node has a connection to it
   * @param operatorAddress base address of its operator interface
   */
  public record NodeStatus(
      String node,
      String dataCentre,
      String state,
      long revision,
      boolean connected,
      String operatorAddress) {}

  /**
   * A backend server.
   *
   * @param server the server
   * @param dataCentre its data centre
   * @param owner the node that owns it; empty for none
   * @param epoch fencing number of the owner
   * @param reachable whether the owner reaches it
   * @param leaving whether it gets no new work
   * @param loaded units that take requests
   * @param loading units whose load is ordered
   */
  public record ServerStatus(
      String server,
      String dataCentre,
      String owner,
      long epoch,
      boolean reachable,
      boolean leaving,
      Set<String> loaded,
      Set<String> loading) {}

  /**
   * What a node sees.
   *
   * @param node the answering node
   * @param ready whether it takes requests
   * @param platformAvailable whether the table service answers
   * @param inFlight callers' requests in flight
   * @param nodes the nodes
   * @param servers the backend servers
   */
  public record ClusterStatus(
      String node,
      boolean ready,
      boolean platformAvailable,
      int inFlight,
      List<NodeStatus> nodes,
      List<ServerStatus> servers) {}

  /**
   * A placement.
   *
   * @param model the model
   * @param slot index of the replica slot
   * @param server the server; empty if free
   * @param state how far the slot is
   * @param generation number of changes of the slot
   */
  public record PlacementStatus(
      String model, int slot, String server, String state, long generation) {}
}
