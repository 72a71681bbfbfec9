package io.nutmegseam.core.orders;

/** The response of a server to an order. */
public enum OrderResponse {
  /** The server carries out the order. */
  ACCEPTED,
  /** The state that the order requests is already reached. */
  HOLDS,
  /** Another order is in flight, or the order count differs. */
  CONFLICT,
  /** The order is invalid, or is addressed to another process of the server. */
  REJECTED
}
