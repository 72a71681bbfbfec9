package io.nutmegseam.core.orders;

/**
 * What the orders to a server have shown of it.
 *
 * @param responds whether the server has reported, and has not missed an order since
 * @param recentlyStarted whether the server joined the fleet a short time ago. Servers that go down
 *     and up by turns are found empty each time, and abort the loads that this attracts
 */
public record ServerConduct(boolean responds, boolean recentlyStarted) {
  /** The conduct of a server that responds and has been in the fleet for long. */
  public static final ServerConduct SOUND = new ServerConduct(true, false);
}
