package io.nutmegseam.node.operator;

import java.util.List;
import java.util.Set;

/** The JSON responses of the operator interface; their fields have the names of the components. */
public final class OperatorResponses {
  private OperatorResponses() {}

  /**
   * The active configuration revision of a node.
   *
   * @param node name of the node
   * @param revision the active revision
   */
  public record Revision(String node, long revision) {}

  /**
   * The heap usage of a node.
   *
   * @param usedBytes heap in use, in bytes
   */
  public record HeapUsage(long usedBytes) {
    /** Requests a garbage collection and returns the heap usage after it. */
    static HeapUsage measureAfterCollection() {
      Runtime runtime = Runtime.getRuntime();
      System.gc();
      return new HeapUsage(runtime.totalMemory() - runtime.freeMemory());
    }
  }

  /**
   * The result of a change to records.
   *
   * @param revision revision under which the change is stored
   */
  public record ChangeResult(long revision) {}

  /**
   * An active record.
   *
   * @param kind name of the record kind
   * @param name name of the record
   * @param revision revision that last changed it
   * @param text the record as the operator wrote it
   */
  public record StoredRecord(String kind, String name, long revision, String text) {}

  /**
   * The state of a node according to its lease.
   *
   * @param node name of the node
   * @param dataCentre its data centre
   * @param state live, lapsed or leaving
   * @param revision active configuration revision
   * @param connected whether the reporting node is connected to it; true for that node itself
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
   * The state of a backend server.
   *
   * @param server name of the backend server
   * @param dataCentre its data centre
   * @param owner name of the node that owns it; empty if there is none
   * @param epoch fencing number of the owner
   * @param reachable whether its owner can reach it; always true for a plain service
   * @param leaving whether no new requests are sent to it
   * @param loaded models and adapters that can run requests
   * @param loading models and adapters whose load is ordered
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
   * The state of the cluster as one node sees it.
   *
   * @param node name of the reporting node
   * @param ready whether it accepts requests of callers
   * @param platformAvailable whether the table service responds
   * @param inFlight number of callers' requests in flight at the reporting node
   * @param nodes the nodes that have a lease row
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
   * The state of one replica slot of a model.
   *
   * @param model name of the model
   * @param slot index of the replica slot
   * @param server name of the backend server; empty if the slot is free
   * @param state FREE, PLACED or DRAINING
   * @param generation number of changes of the slot
   */
  public record PlacementStatus(
      String model, int slot, String server, String state, long generation) {}
}
