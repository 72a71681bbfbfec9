package io.nutmegseam.core.orders;

/** What a server says to an order. */
public enum OrderResponse {
  /** It carries the order out. */
  ACCEPTED,
  /** What the order asks for holds now. */
  HOLDS,
  /** Another order is under way, or the order count differs. */
  CONFLICT,
  /** The server does not take the order: another process, or an order that makes no sense. */
  REJECTED
}
