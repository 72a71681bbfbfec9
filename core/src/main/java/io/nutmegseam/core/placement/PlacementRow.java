package io.nutmegseam.core.placement;

/**
 * The row of one replica slot of a model. At most {@code maxReplicas} slots of a model exist, and a
 * slot names one server at a time, so no more replicas are loaded than were decided.
 *
 * @param model the model
 * @param slot index of the slot, from 0
 * @param server the server that may load the replica; empty if free
 * @param generation rises with every change of the slot
 * @param state how far a move is
 */
public record PlacementRow(String model, int slot, String server, long generation, State state) {
  /** Prefix of the keys of placement rows. */
  public static final String PREFIX = "control/placement/";

  /** How far a slot is. */
  public enum State {
    /** No server may load the replica. */
    FREE,
    /** The server may load the replica. */
    PLACED,
    /** The server must unload the replica and prove it before the slot is free. */
    DRAINING
  }

  /** Returns a slot that was never placed. */
  public static PlacementRow initial(String model, int slot) {
    return new PlacementRow(model, slot, "", 0, State.FREE);
  }

  /** Returns the key of the row. */
  public String key() {
    return PREFIX + model + "/" + slot;
  }

  /** Returns the row after the slot was given to a server. */
  public PlacementRow placedOn(String newServer) {
    return new PlacementRow(model, slot, newServer, generation + 1, State.PLACED);
  }

  /** Returns the row after a move was begun. */
  public PlacementRow draining() {
    return new PlacementRow(model, slot, server, generation + 1, State.DRAINING);
  }

  /** Returns the row after the server proved that the replica is not loaded. */
  public PlacementRow freed() {
    return new PlacementRow(model, slot, "", generation + 1, State.FREE);
  }
}
