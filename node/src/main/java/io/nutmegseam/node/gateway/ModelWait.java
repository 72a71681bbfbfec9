package io.nutmegseam.node.gateway;

import io.nutmegseam.core.dispatch.WaitingRequest;
import io.nutmegseam.core.error.RequestException;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Keeps one request in the wait queue while no server has its model loaded, or has capacity for it.
 * Confined to the traffic thread.
 */
final class ModelWait implements ModelWaitQueue.Waiter {
  private final TrafficContext context;
  private final RequestLog log;
  private final Runnable onRetry;
  private final Runnable onShutdown;
  private RequestPlan plan;
  private WaitingRequest request;
  private ModelWaitQueue.Key waitKey;

  /**
   * Creates a wait that has not begun.
   *
   * @param context dependencies shared by all requests
   * @param log log of the request
   * @param onRetry called when the request may look for a server again
   * @param onShutdown called if the node stops before the model is loaded
   */
  ModelWait(TrafficContext context, RequestLog log, Runnable onRetry, Runnable onShutdown) {
    this.context = context;
    this.log = log;
    this.onRetry = onRetry;
    this.onShutdown = onShutdown;
  }

  @Override
  public long waitUntilMillis() {
    return plan.waitUntilMillis();
  }

  @Override
  public long targetMillis() {
    return plan.targetMillis();
  }

  @Override
  public WaitingRequest request() {
    return request;
  }

  @Override
  public void retryDispatch() {
    onRetry.run();
  }

  @Override
  public void refuseOnShutdown() {
    onShutdown.run();
  }

  /**
   * Queues the request until its model is loaded, or a server that refused it may have capacity.
   *
   * @return the error if the model is expected too late; empty if the request is queued
   */
  Optional<RequestException> enter(RequestPlan requestPlan, ServerSelection selection) {
    plan = requestPlan;
    request = waitKey == null ? plan.waitingRequest() : request;
    Optional<RequestException> tooLate = selection.findModelDelay(context.clock().millis());
    if (tooLate.isEmpty() && waitKey == null) {
      waitKey = plan.modelKey();
      context.waitQueue().add(waitKey, this);
    }
    OptionalLong pauseMillis = selection.pauseMillis();
    if (tooLate.isEmpty() && pauseMillis.isPresent()) {
      context
          .waitQueue()
          .dispatch()
          .onCapacityAwaited(request, plan.description(), pauseMillis.getAsLong());
      context
          .waitQueue()
          .retryAfter(
              pauseMillis.getAsLong(),
              (task, delayMillis) ->
                  context.loop().schedule(task, delayMillis, TimeUnit.MILLISECONDS));
    }
    return tooLate;
  }

  /** Removes the request from the queue, if it waits there. */
  void leave() {
    if (waitKey != null) {
      context.metrics().onModelWait(log.ageMillis());
      context.waitQueue().remove(waitKey, this);
      waitKey = null;
    }
  }
}
