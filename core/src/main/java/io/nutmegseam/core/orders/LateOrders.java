package io.nutmegseam.core.orders;

/**
 * Orders to one server without a response, which it may still carry out. Confined to one thread.
 */
final class LateOrders {
  /** An unanswered order may still be carried out up to this long after it was sent. */
  private static final long MAX_DELIVERY_DELAY_MILLIS = 14_000;

  private long untilMillis;
  private long storeLoadUntilMillis = Long.MIN_VALUE;

  /**
   * Creates the orders of an earlier holder of the order lease.
   *
   * @param earlierHolderEndMillis monotonic time at which that holder has sent its last order, at
   *     the latest
   */
  LateOrders(long earlierHolderEndMillis) {
    this.untilMillis = earlierHolderEndMillis + MAX_DELIVERY_DELAY_MILLIS;
  }

  /** Returns whether an order may still be carried out. */
  boolean mayArrive(long nowMillis) {
    return nowMillis < untilMillis;
  }

  /** Returns the monotonic time until which a load from the weight store may begin. */
  long storeLoadUntilMillis() {
    return storeLoadUntilMillis;
  }

  /** Records that an order got no response. */
  void onNoResponse(ModelOrder order, long nowMillis) {
    untilMillis = nowMillis + MAX_DELIVERY_DELAY_MILLIS;
    if (order.isStoreLoad()) {
      storeLoadUntilMillis = untilMillis;
    }
  }

  /** Forgets all orders: the server refuses them, as its order count has changed. */
  void forget() {
    untilMillis = Long.MIN_VALUE;
    storeLoadUntilMillis = Long.MIN_VALUE;
  }
}
