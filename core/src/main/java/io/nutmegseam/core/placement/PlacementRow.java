package io.nutmegseam.core.placement;

/**
 * The row of a replica slot of a model. A model has at most {@code maxReplicas} slots, and a slot
 * names one server at a time, so no more than that many replicas are loaded.
 *
 * @param model name of the model
 * @param slot index of the slot, from 0
 * @param server name of the server that may load the replica; empty if the slot is free
 * @param generation number that rises with every change of the slot
 * @param state state of the slot
 */
public record PlacementRow(String model, int slot, String server, long generation, State state) {
  /** Key prefix of placement rows. */
  public static final String PREFIX = "control/placement/";

  /** The state of a slot. */
  public enum State {
    /** No server may load the replica. */
    FREE,
    /** The server may load the replica. */
    PLACED,
    /** The server must unload the replica; the slot is freed when the unload is confirmed. */
    DRAINING
  }

  /** Returns the row of a free slot that was never placed. */
  public static PlacementRow initial(String model, int slot) {
    return new PlacementRow(model, slot, "", 0, State.FREE);
  }

  /** Returns the key of the row. */
  public String key() {
    return PREFIX + model + "/" + slot;
  }

  /** Returns the row after the slot is assigned to a server. */
  public PlacementRow placedOn(String newServer) {
    return new PlacementRow(model, slot, newServer, generation + 1, State.PLACED);
  }

  /** Returns the row after a drain of the slot has begun. */
  public PlacementRow draining() {
    return new PlacementRow(model, slot, server, generation + 1, State.DRAINING);
  }

  /** Returns the row after the replica is confirmed not to be loaded any more. */
  public PlacementRow freed() {
    return new PlacementRow(model, slot, "", generation + 1, State.FREE);
  }
}
