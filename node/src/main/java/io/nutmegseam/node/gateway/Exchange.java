package io.nutmegseam.node.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import io.nutmegseam.core.error.Ran;
import io.nutmegseam.core.error.ServeException;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.core.gateway.Route;
import io.nutmegseam.core.gateway.ServiceSpec;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One request from its arrival to the end of its answer. Confined to the traffic thread. */
final class Exchange implements WaitingRoom.Waiter, Attempt.Owner {
  /** A server that has no room is passed over for this time. */
  private static final long FULL_PAUSE_MILLIS = 300;

  private static final long MIN_RETRY_AFTER_MILLIS = 500;

  /** When callers of a request that found no room are told to come back. */
  private static final long RETRY_AFTER_FULL_MILLIS = 1_000;

  /** A request that may not be repeated uses only connections that were in use just now. */
  private static final long NON_REPEATABLE_MAX_IDLE_MILLIS = 500;

  private static final long REPEATABLE_MAX_IDLE_MILLIS = 8_000;

  /** Least time for a server to begin its answer. */
  private static final long SERVICE_MILLIS = 100;

  /** A repeatable request without an answer goes elsewhere after this multiple of its target. */
  private static final int SILENCE_TARGETS = 3;

  private static final long MIN_SILENCE_MILLIS = 500;

  /** Most times that a request which did not run is offered to a server. */
  private static final int MAX_OFFERS = 4;

  private final TrafficContext context;
  private final InboundRequest request;
  private final AnswerWriter answer;
  private final Runnable onDone;
  private final String id;
  private final Set<String> tried = new HashSet<>();

  private Route route;
  private String service = "";
  private Optional<ModelRef> ref = Optional.empty();
  private long deadlineMillis;
  private long waitUntilMillis;
  private ScheduledFuture<?> deadlineTimer;
  private ScheduledFuture<?> silenceTimer;
  private WaitingRoom.Key waitingFor;
  private Attempt attempt;
  private EventAssembler assembler;
  private int offers;
  private int runs;
  private boolean mayHaveRun;
  private boolean headSent;
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
    this.onDone = onDone;
    this.id = request.headers().get(context.headers().requestId(), "");
  }

  /** Routes the request and sends it to a server. */
  void start() {
    Optional<GatewayConfig> config = context.board().config();
    if (config.isEmpty()) {
      refuse(GatewayErrors.notReady(RETRY_AFTER_FULL_MILLIS));
      return;
    }
    Optional<Route> found = config.get().route(request.host(), request.path());
    if (found.isEmpty()) {
      refuse(GatewayErrors.noRoute(request, config.get().version()));
      return;
    }
    route = found.get();
    service = route.service(ThreadLocalRandom.current().nextDouble());
    Optional<Long> timeLeft = timeLeftMillis();
    if (timeLeft.isEmpty()) {
      String name = context.headers().deadlineMillis();
      refuse(GatewayErrors.badHeader(name, request.headers().get(name)));
      return;
    }
    deadlineMillis = request.arrivedMillis() + timeLeft.get();
    waitUntilMillis =
        Math.min(deadlineMillis, request.arrivedMillis() + route.maxSilenceMillis())
            - SERVICE_MILLIS;
    deadlineTimer =
        context.loop().schedule(this::onDeadline, timeLeft.get(), TimeUnit.MILLISECONDS);
    boolean hasEngine = config.get().service(service).flatMap(ServiceSpec::engine).isPresent();
    String model = request.headers().get(context.headers().model(), "");
    if (hasEngine && !model.isEmpty()) {
      ref = Optional.of(ModelRef.parse(model));
      context.arrivals().onArrival(key());
    }
    context.retries().onFirst(service);
    dispatch();
  }

  /** The caller has left: stops all work. */
  void cancel() {
    if (!done) {
      context.events().record(EventKind.REQUEST_CANCELLED, id, "after " + age() + " ms");
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
    return waitUntilMillis;
  }

  @Override
  public long targetMillis() {
    return request.arrivedMillis() + route.targetLatencyMillis();
  }

  @Override
  public void reconsider() {
    if (!done && attempt == null) {
      dispatch();
    }
  }

  private Optional<Long> timeLeftMillis() {
    String text = request.headers().get(context.headers().deadlineMillis());
    if (text == null) {
      return Optional.of(route.timeoutMillis());
    }
    try {
      long given = Long.parseLong(text.trim());
      return given < 0 ? Optional.empty() : Optional.of(Math.min(given, route.timeoutMillis()));
    } catch (NumberFormatException e) {
      // The caller gets an error that quotes the value.
      return Optional.empty();
    }
  }

  private void dispatch() {
    Optional<ServerEntry> chosen = choose();
    if (chosen.isPresent() && isTooLate(chosen.get())) {
      refuse(GatewayErrors.queueTooLong(what(), route.targetLatencyMillis(), spreadMillis()));
    } else if (chosen.isPresent()) {
      leaveRoom();
      offers++;
      attempt = new Attempt(context, chosen.get(), this);
      watchSilence();
      attempt.start(
          route.repeatable() ? REPEATABLE_MAX_IDLE_MILLIS : NON_REPEATABLE_MAX_IDLE_MILLIS);
    } else if (headSent) {
      breakOff("no server to go on at");
    } else if (ref.isPresent() && isHeldByNone()) {
      waitForModel();
    } else {
      refuse(orLost(GatewayErrors.noServer(what(), RETRY_AFTER_FULL_MILLIS)));
    }
  }

  /**
   * Returns whether the least loaded server has a queue in which the request would miss its target.
   * Requests beyond what servers can answer in time would else make all of them late.
   */
  private boolean isTooLate(ServerEntry server) {
    return route.kind() == RequestKind.STREAMING
        && !mayHaveRun
        && context.loads().queueMillis(server.incarnation().id()) > route.targetLatencyMillis();
  }

  /** Callers that are refused together should not come back together. */
  private static long spreadMillis() {
    return MIN_RETRY_AFTER_MILLIS + ThreadLocalRandom.current().nextLong(RETRY_AFTER_FULL_MILLIS);
  }

  private Optional<ServerEntry> choose() {
    ServerChooser.Need need = new ServerChooser.Need(service, ref, affinity(), tried);
    return context.chooser().choose(context.board().fleet(), need);
  }

  private boolean isHeldByNone() {
    return context.chooser().holders(context.board().fleet(), service, ref).isEmpty();
  }

  /** Waits for a load, unless it is known to come too late. */
  private void waitForModel() {
    Long readyAtMillis = context.board().outlook().readyAtMillisByModel().get(ref.orElseThrow());
    long nowMillis = context.clock().millis();
    boolean tooLate = readyAtMillis != null && readyAtMillis > waitUntilMillis;
    if (nowMillis > waitUntilMillis || tooLate) {
      long expectedMillis = tooLate ? readyAtMillis - nowMillis : 0;
      refuse(
          orLost(
              GatewayErrors.notInTime(
                  what(),
                  Math.max(RETRY_AFTER_FULL_MILLIS, expectedMillis),
                  waitUntilMillis - nowMillis)));
      return;
    }
    if (waitingFor == null) {
      waitingFor = key();
      context.room().add(waitingFor, this);
    }
  }

  private void leaveRoom() {
    if (waitingFor != null) {
      context.metrics().onModelWait(age());
      context.room().remove(waitingFor, this);
      waitingFor = null;
    }
  }

  /** Looks for another server if this one does not begin to answer. */
  private void watchSilence() {
    stopWatchingSilence();
    if (route.repeatable() && runs + 1 < route.maxAttempts()) {
      long silenceMillis =
          Math.max(MIN_SILENCE_MILLIS, SILENCE_TARGETS * route.targetLatencyMillis());
      silenceTimer = context.loop().schedule(this::onSilence, silenceMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void stopWatchingSilence() {
    if (silenceTimer != null) {
      silenceTimer.cancel(false);
      silenceTimer = null;
    }
  }

  private void onSilence() {
    if (done || attempt == null || !attempt.isWaiting()) {
      return;
    }
    Attempt silent = attempt;
    tried.add(silent.server().incarnation().id());
    if (choose().isPresent() && context.retries().tryAgain(service)) {
      runs += silent.isSent() ? 1 : 0;
      mayHaveRun |= silent.isSent();
      context.loads().onFailed(silent.server().incarnation().id());
      silent.stop();
      attempt = null;
      onRetried("silent", silent.server().incarnation() + " did not begin to answer");
      dispatch();
    }
  }

  private WaitingRoom.Key key() {
    return new WaitingRoom.Key(service, ref.orElseThrow());
  }

  /** The parts of the prompt that other requests share. */
  private String affinity() {
    String parts = request.headers().get(context.headers().prompt(), "");
    int last = parts.lastIndexOf(',');
    return last < 0 ? "" : parts.substring(0, last);
  }

  private String what() {
    return "route %s, service %s%s"
        .formatted(route.name(), service, ref.map(r -> ", model " + r).orElse(""));
  }

  private long age() {
    return context.clock().millis() - request.arrivedMillis();
  }

  private void onDeadline() {
    if (done) {
      return;
    }
    if (headSent) {
      breakOff("deadline");
    } else if (mayHaveRun || (attempt != null && attempt.isSent())) {
      refuse(GatewayErrors.timedOut(route, age()));
    } else {
      refuse(GatewayErrors.expired(route, age()));
    }
  }

  /** Closes the caller's connection, since an answer that has begun cannot become an error. */
  private void breakOff(String reason) {
    context
        .events()
        .record(
            EventKind.REQUEST_REFUSED,
            id,
            "answer cut after %d ms: %s, %s".formatted(age(), reason, what()));
    answer.abort();
    finish("cut");
  }

  private void refuse(ServeException error) {
    context
        .events()
        .record(
            EventKind.REQUEST_REFUSED,
            id,
            "%s after %d ms: %s".formatted(error.kind().word(), age(), error.getMessage()));
    answer.refuse(error);
    finish(error.kind().word());
  }

  /** An error that says "not run" is replaced if an earlier attempt may have run. */
  private ServeException orLost(ServeException error) {
    return mayHaveRun && error.kind().ran() == Ran.NO
        ? GatewayErrors.lost(error.getMessage())
        : error;
  }

  private void finish(String outcome) {
    done = true;
    leaveRoom();
    stopWatchingSilence();
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
    }
    if (attempt != null) {
      attempt.stop();
    }
    if (assembler != null) {
      assembler.release();
      assembler = null;
    }
    context.metrics().onEnded(outcome);
    onDone.run();
  }

  private void onRetried(String cause, String reason) {
    context.metrics().onRetried(cause);
    context.events().record(EventKind.REQUEST_RETRIED, id, cause + ", " + reason);
  }

  /** Sends the request once more if that is allowed, or gives the caller the error. */
  private void retryOr(String cause, ServeException error) {
    attempt = null;
    boolean allowed =
        mayHaveRun ? route.repeatable() && runs < route.maxAttempts() : offers < MAX_OFFERS;
    if (allowed && context.retries().tryAgain(service)) {
      onRetried(cause, error.getMessage());
      dispatch();
    } else if (headSent) {
      breakOff(error.getMessage());
    } else {
      refuse(orLost(error));
    }
  }

  @Override
  public ServerConnection.Outbound outbound(ServerEntry server) {
    context
        .events()
        .record(
            EventKind.REQUEST_DISPATCHED,
            id,
            "%s, server %s, after %d ms".formatted(what(), server.incarnation(), age()));
    HttpHeaders headers =
        ForwardedHeaders.toServer(
            request.headers(),
            context.headers(),
            new ForwardedHeaders.Stamp(
                Math.max(1, deadlineMillis - context.clock().millis()),
                server.incarnation().id(),
                route.kind() == RequestKind.STREAMING ? route.priority() : -1));
    if (assembler != null) {
      assembler.lastId().ifPresent(last -> headers.set(context.headers().lastEventId(), last));
    }
    return new ServerConnection.Outbound(
        request.method(), request.target(), headers, request.body(), id);
  }

  @Override
  public boolean mayTryElsewhere() {
    return headSent || (route.kind() == RequestKind.IDEMPOTENT && runs + 1 < route.maxAttempts());
  }

  @Override
  public void onHead(HttpResponse head) {
    stopWatchingSilence();
    runs++;
    mayHaveRun = true;
    if (headSent) {
      return;
    }
    headSent = true;
    context.metrics().onFirstByte(age());
    HttpHeaders headers = ForwardedHeaders.toCaller(head.headers());
    boolean fixedLength = headers.contains(HttpHeaderNames.CONTENT_LENGTH);
    if (route.kind() == RequestKind.STREAMING && route.resumable() && !fixedLength) {
      assembler = new EventAssembler(ByteBufAllocator.DEFAULT, answer::content);
    }
    answer.head(head.status(), headers);
  }

  @Override
  public void onContent(ByteBuf content) {
    if (assembler == null) {
      answer.content(content);
    } else {
      assembler.accept(content);
    }
    if (!answer.isWritable()) {
      attempt.setReading(false);
    }
  }

  @Override
  public void onAnswered() {
    context
        .events()
        .record(
            EventKind.REQUEST_ANSWERED,
            id,
            "server %s, offers %d, total %d ms"
                .formatted(attempt.server().incarnation(), offers, age()));
    if (assembler != null) {
      assembler.end();
    }
    answer.end();
    finish("answered");
  }

  @Override
  public void onNotRun(String cause, boolean misdirected, String reason) {
    ServerEntry server = attempt.server();
    if (misdirected && ref.isPresent()) {
      context.chooser().onDenied(server, ref.get());
    } else {
      tried.add(server.incarnation().id());
      context.loads().onFull(server.incarnation().id(), FULL_PAUSE_MILLIS);
    }
    retryOr(cause, GatewayErrors.notRun(reason, RETRY_AFTER_FULL_MILLIS));
  }

  @Override
  public void onLost(String reason) {
    tried.add(attempt.server().incarnation().id());
    runs++;
    mayHaveRun = true;
    retryOr("lost", GatewayErrors.lost(reason));
  }

  @Override
  public void onBroken(String reason) {
    tried.add(attempt.server().incarnation().id());
    if (assembler == null || assembler.lastId().isEmpty()) {
      breakOff(reason);
      return;
    }
    assembler.dropUnfinished();
    retryOr("resumed", GatewayErrors.lost(reason));
  }
}
