package io.nutmegseam.node.gateway;

import io.nutmegseam.core.error.RequestException;
import java.util.Optional;

/**
 * Keeps one request in the wait queue while no server has its model loaded. Confined to the traffic
 * thread.
 */
final class ModelWait {
  private final TrafficContext context;
  private final RequestLog log;
  private final ModelWaitQueue.Waiter waiter;
  private ModelWaitQueue.Key waitKey;

  /**
   * Creates a wait that has not begun.
   *
   * @param context dependencies shared by all requests
   * @param log log of the request
   * @param waiter the request
   */
  ModelWait(TrafficContext context, RequestLog log, ModelWaitQueue.Waiter waiter) {
    this.context = context;
    this.log = log;
    this.waiter = waiter;
  }

  /**
   * Queues the request until its model is loaded.
   *
   * @return the error if the model is expected too late; empty if the request is queued
   */
  Optional<RequestException> enter(RequestPlan plan, ServerSelection selection) {
    Optional<RequestException> tooLate = selection.findModelDelay(context.clock().millis());
    if (tooLate.isEmpty() && waitKey == null) {
      waitKey = plan.modelKey();
      context.waitQueue().add(waitKey, waiter);
    }
    return tooLate;
  }

  /** Removes the request from the queue, if it waits there. */
  void leave() {
    if (waitKey != null) {
      context.metrics().onModelWait(log.ageMillis());
      context.waitQueue().remove(waitKey, waiter);
      waitKey = null;
    }
  }
}
