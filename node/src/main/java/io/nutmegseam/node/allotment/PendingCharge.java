package io.nutmegseam.node.allotment;

import java.util.function.LongConsumer;

/** The cost of a request that is to be charged, or has been. */
final class PendingCharge implements RequestCharge {
  private final long cost;
  private final Runnable onCharged;
  private final LongConsumer onRefused;
  private final Runnable onCredit;
  private State state = State.WAITING;

  private enum State {
    WAITING,
    CHARGED,
    ENDED
  }

  /**
   * Creates a charge.
   *
   * @param cost units of the request
   * @param onCharged called when the cost has been charged
   * @param onRefused receives the time until the request may be repeated, in milliseconds
   * @param onCredit called when a charged request has not run
   */
  PendingCharge(long cost, Runnable onCharged, LongConsumer onRefused, Runnable onCredit) {
    this.cost = cost;
    this.onCharged = onCharged;
    this.onRefused = onRefused;
    this.onCredit = onCredit;
  }

  long cost() {
    return cost;
  }

  boolean isWaiting() {
    return state == State.WAITING;
  }

  void onCharged() {
    state = State.CHARGED;
    onCharged.run();
  }

  void refuse(long waitMillis) {
    if (state == State.WAITING) {
      state = State.ENDED;
      onRefused.accept(waitMillis);
    }
  }

  @Override
  public void end(boolean mayHaveRun) {
    boolean credit = state == State.CHARGED && !mayHaveRun;
    state = State.ENDED;
    if (credit) {
      onCredit.run();
    }
  }
}
