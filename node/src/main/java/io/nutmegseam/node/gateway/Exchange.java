package io.nutmegseam.node.gateway;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import io.nutmegseam.core.error.RanStatus;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.RequestKind;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One request from its arrival to the end of its answer. Confined to the traffic thread. */
final class Exchange implements WaitingRoom.Waiter, Attempt.Owner {
  /** A server that has no room is passed over for this time. */
  private static final long FULL_PAUSE_MILLIS = 300;

  /** A request that may not be repeated uses only connections that were in use just now. */
  private static final long NON_REPEATABLE_MAX_IDLE_MILLIS = 500;

  private static final long REPEATABLE_MAX_IDLE_MILLIS = 8_000;

  /** Most times that a request which did not run is offered to a server. */
  private static final int MAX_OFFERS = 4;

  private final TrafficContext context;
  private final InboundRequest request;
  private final AnswerWriter answer;
  private final AnswerRelay relay;
  private final Runnable onDone;
  private final String id;
  private final RequestLog log;
  private final SilenceWatch silence;
  private final Set<String> tried = new HashSet<>();

  private RequestPlan plan;
  private ScheduledFuture<?> deadlineTimer;
  private WaitingRoom.Key waitingFor;
  private Attempt attempt;
  private int offers;
  private int runs;
  private boolean mayHaveRun;
  private boolean done;

  /**
   * Creates an exchange.
   *
   * @param context what requests share
   * @param request the request
   * @param answer takes the answer
   * @param onDone called once when the exchange is over
   */
  Exchange(TrafficContext context, InboundRequest request, AnswerWriter answer, Runnable onDone) {
    this.context = context;
    this.request = request;
    this.answer = answer;
    this.relay = new AnswerRelay(answer);
    this.onDone = onDone;
    this.id = request.headers().get(context.headers().requestId(), "");
    this.log = RequestLog.of(context, id, request.arrivedMillis());
    this.silence = new SilenceWatch(context.loop(), this::onSilence);
  }

  /** Routes the request and sends it to a server. */
  void start() {
    try {
      plan =
          RequestPlan.of(
              request,
              context.board(),
              context.headers(),
              ThreadLocalRandom.current().nextDouble());
    } catch (RequestException e) {
      refuse(e);
      return;
    }
    deadlineTimer =
        context
            .loop()
            .schedule(
                this::onDeadline,
                plan.deadlineMillis() - request.arrivedMillis(),
                TimeUnit.MILLISECONDS);
    if (plan.ref().isPresent()) {
      context.arrivals().onArrival(plan.key());
    }
    context.retries().onFirst(plan.service());
    dispatch();
  }

  /** The caller has left: stops all work. */
  void cancel() {
    if (!done) {
      log.cancelled();
      finish("cancelled");
    }
  }

  /** The caller's connection can take more, or no more for now. */
  void onWritabilityChanged() {
    if (attempt != null) {
      attempt.setReading(answer.isWritable());
    }
  }

  @Override
  public long deadlineMillis() {
    return plan.waitUntilMillis();
  }

  @Override
  public long targetMillis() {
    return plan.targetMillis();
  }

  @Override
  public void reconsider() {
    if (!done && attempt == null) {
      dispatch();
    }
  }

  @Override
  public void giveUp() {
    if (!done && attempt == null) {
      refuse(orLost(GatewayErrors.stopping(plan.what(), RetryAfter.SOON_MILLIS)));
    }
  }

  private void dispatch() {
    Optional<ServerEntry> chosen = choose();
    if (chosen.isPresent() && isTooLate(chosen.get())) {
      refuse(
          GatewayErrors.queueTooLong(
              plan.what(), plan.route().targetLatencyMillis(), RetryAfter.spreadMillis()));
    } else if (chosen.isPresent()) {
      leaveRoom();
      offers++;
      attempt = new Attempt(context, chosen.get(), this);
      watchSilence();
      attempt.start(
          plan.route().isRetryable() ? REPEATABLE_MAX_IDLE_MILLIS : NON_REPEATABLE_MAX_IDLE_MILLIS);
    } else if (relay.isStarted()) {
      breakOff("no server to go on at");
    } else if (plan.ref().isPresent() && holders().isEmpty()) {
      waitForModel();
    } else {
      refuse(orLost(GatewayErrors.noServer(plan.what(), RetryAfter.FULL_MILLIS)));
    }
  }

  /**
   * Returns whether the least loaded server has a queue in which the request would miss its target.
   * Requests beyond what servers can answer in time would else make all of them late.
   */
  private boolean isTooLate(ServerEntry server) {
    return plan.route().kind() == RequestKind.STREAMING
        && !mayHaveRun
        && context.loads().queueMillis(server.incarnation().id())
            > plan.route().targetLatencyMillis();
  }

  private Optional<ServerEntry> choose() {
    ServerChooser.Need need =
        new ServerChooser.Need(plan.service(), plan.ref(), plan.affinity(), tried);
    return context.chooser().choose(context.board().fleet(), need);
  }

  private List<ServerEntry> holders() {
    return context.chooser().holders(context.board().fleet(), plan.service(), plan.ref());
  }

  /** Waits for a load, unless it is known to come too late. */
  private void waitForModel() {
    Long readyAtMillis =
        context.board().outlook().readyAtMillisByModel().get(plan.ref().orElseThrow());
    long nowMillis = context.clock().millis();
    boolean tooLate = readyAtMillis != null && readyAtMillis > plan.waitUntilMillis();
    if (nowMillis > plan.waitUntilMillis() || tooLate) {
      long expectedMillis = tooLate ? readyAtMillis - nowMillis : 0;
      refuse(
          orLost(
              GatewayErrors.notInTime(
                  plan.what(),
                  Math.max(RetryAfter.FULL_MILLIS, expectedMillis),
                  plan.waitUntilMillis() - nowMillis)));
      return;
    }
    if (waitingFor == null) {
      waitingFor = plan.key();
      context.room().add(waitingFor, this);
    }
  }

  private void leaveRoom() {
    if (waitingFor != null) {
      context.metrics().onModelWait(log.ageMillis());
      context.room().remove(waitingFor, this);
      waitingFor = null;
    }
  }

  /** Looks for another server if this one does not begin to answer. */
  private void watchSilence() {
    if (plan.route().isRetryable() && runs + 1 < plan.route().maxAttempts()) {
      silence.start(plan.route().targetLatencyMillis());
    } else {
      silence.stop();
    }
  }

  private void onSilence() {
    if (done || attempt == null || !attempt.isWaiting()) {
      return;
    }
    Attempt silent = attempt;
    tried.add(silent.server().incarnation().id());
    if (choose().isPresent() && context.retries().tryAgain(plan.service())) {
      runs += silent.isSent() ? 1 : 0;
      mayHaveRun |= silent.isSent();
      context.loads().onFailed(silent.server().incarnation().id());
      silent.stop();
      attempt = null;
      log.retried("silent", silent.server().incarnation() + " did not begin to answer");
      dispatch();
    }
  }

  private void onDeadline() {
    if (done) {
      return;
    }
    if (relay.isStarted()) {
      breakOff("deadline");
    } else if (mayHaveRun || (attempt != null && attempt.isSent())) {
      refuse(GatewayErrors.timedOut(plan.route(), log.ageMillis()));
    } else {
      refuse(GatewayErrors.expired(plan.route(), log.ageMillis()));
    }
  }

  /** Closes the caller's connection, since an answer that has begun cannot become an error. */
  private void breakOff(String reason) {
    log.cut(plan, reason);
    answer.abort();
    finish("cut");
  }

  private void refuse(RequestException error) {
    log.refused(error);
    answer.refuse(error);
    finish(error.kind().wireName());
  }

  /** An error that says "not run" is replaced if an earlier attempt may have run. */
  private RequestException orLost(RequestException error) {
    return mayHaveRun && error.kind().ran() == RanStatus.NO
        ? GatewayErrors.lost(error.getMessage())
        : error;
  }

  private void finish(String outcome) {
    done = true;
    leaveRoom();
    silence.stop();
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
    }
    if (attempt != null) {
      attempt.stop();
    }
    relay.release();
    context.metrics().onEnded(outcome);
    onDone.run();
  }

  /** Returns whether a request that may have run can be sent to another server. */
  private boolean mayGoElsewhere() {
    return plan.route().isRetryable() && runs < plan.route().maxAttempts();
  }

  /** Sends the request once more if that is allowed, or gives the caller the error. */
  private void retryOr(String cause, RequestException error) {
    attempt = null;
    boolean allowed = mayHaveRun ? mayGoElsewhere() : offers < MAX_OFFERS;
    if (allowed && context.retries().tryAgain(plan.service())) {
      log.retried(cause, error.getMessage());
      dispatch();
    } else if (relay.isStarted()) {
      breakOff(error.getMessage());
    } else {
      refuse(orLost(error));
    }
  }

  @Override
  public ServerConnection.Outbound outbound(ServerEntry server) {
    log.dispatched(plan, server);
    HttpHeaders headers =
        ForwardedHeaders.toServer(
            request.headers(),
            context.headers(),
            new ForwardedHeaders.Stamp(
                Math.max(1, plan.deadlineMillis() - context.clock().millis()),
                server.incarnation().id(),
                plan.route().kind() == RequestKind.STREAMING ? plan.route().priority() : -1));
    relay.lastEventId().ifPresent(last -> headers.set(context.headers().lastEventId(), last));
    return new ServerConnection.Outbound(
        request.method(), request.target(), headers, request.body(), id);
  }

  @Override
  public boolean mayTryElsewhere() {
    return relay.isStarted()
        || (plan.route().kind() == RequestKind.IDEMPOTENT && runs + 1 < plan.route().maxAttempts());
  }

  @Override
  public void onHead(HttpResponse head) {
    silence.stop();
    runs++;
    mayHaveRun = true;
    if (!relay.isStarted()) {
      context.metrics().onFirstByte(log.ageMillis());
    }
    relay.onHead(head, plan.route());
  }

  @Override
  public void onContent(ByteBuf content) {
    relay.onContent(content);
    if (!answer.isWritable()) {
      attempt.setReading(false);
    }
  }

  @Override
  public void onAnswered() {
    log.answered(attempt.server(), offers);
    relay.end();
    finish("answered");
  }

  @Override
  public void onNotRun(String cause, boolean misdirected, String reason) {
    ServerEntry server = attempt.server();
    if (misdirected && plan.ref().isPresent()) {
      context.chooser().onDenied(server, plan.ref().get());
    } else {
      tried.add(server.incarnation().id());
      context.loads().onFull(server.incarnation().id(), FULL_PAUSE_MILLIS);
    }
    retryOr(cause, GatewayErrors.notRun(reason, RetryAfter.FULL_MILLIS));
  }

  @Override
  public void onLost(String reason) {
    tried.add(attempt.server().incarnation().id());
    runs++;
    mayHaveRun = true;
    retryOr("lost", GatewayErrors.lost(reason));
  }

  @Override
  public void onServerError(HttpResponse head, ByteString body, String reason) {
    ServerEntry server = attempt.server();
    tried.add(server.incarnation().id());
    runs++;
    mayHaveRun = true;
    if (mayGoElsewhere() && choose().isPresent() && context.retries().tryAgain(plan.service())) {
      attempt = null;
      log.retried("server-error", reason);
      dispatch();
    } else if (relay.isStarted()) {
      breakOff(reason);
    } else {
      relay.onWhole(head, body, plan.route());
      log.answered(server, offers);
      finish("answered");
    }
  }

  @Override
  public void onBroken(String reason) {
    tried.add(attempt.server().incarnation().id());
    if (relay.lastEventId().isEmpty()) {
      breakOff(reason);
      return;
    }
    relay.dropUnfinished();
    retryOr("resumed", GatewayErrors.lost(reason));
  }
}
