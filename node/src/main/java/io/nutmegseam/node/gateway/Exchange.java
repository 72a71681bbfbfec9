package io.nutmegseam.node.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;
import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.ServeException;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.core.gateway.Route;
import io.nutmegseam.core.gateway.ServiceSpec;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One request from its arrival to the end of its answer. Confined to the traffic thread. */
final class Exchange implements WaitingRoom.Waiter {
  private static final int STATUS_MISDIRECTED = 421;

  /** A server that has no room is passed over for this time. */
  private static final long FULL_PAUSE_MILLIS = 300;

  /** When callers of a request that found no room are told to come back. */
  private static final long RETRY_AFTER_FULL_MILLIS = 1_000;

  /** A request that may not be repeated uses only connections that were in use just now. */
  private static final long NON_REPEATABLE_MAX_IDLE_MILLIS = 500;

  private static final long REPEATABLE_MAX_IDLE_MILLIS = 8_000;

  /** Least time for a server to begin its answer. */
  private static final long SERVICE_MILLIS = 100;

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
    ServerChooser.Need need = new ServerChooser.Need(service, ref, affinity(), tried);
    Optional<ServerEntry> chosen = context.chooser().choose(context.board().fleet(), need);
    if (chosen.isPresent()) {
      leaveRoom();
      offers++;
      attempt = new Attempt(chosen.get());
      attempt.start();
      return;
    }
    boolean known = !context.chooser().holders(context.board().fleet(), service, ref).isEmpty();
    if (ref.isPresent() && !known) {
      waitForModel();
    } else {
      refuse(GatewayErrors.noServer(what(), RETRY_AFTER_FULL_MILLIS));
    }
  }

  /** Waits for a load, unless it is known to come too late. */
  private void waitForModel() {
    Long readyAtMillis = context.board().outlook().readyAtMillisByModel().get(ref.orElseThrow());
    long nowMillis = context.clock().millis();
    if (nowMillis > waitUntilMillis || (readyAtMillis != null && readyAtMillis > waitUntilMillis)) {
      long expectedMillis = readyAtMillis == null ? 0 : readyAtMillis;
      refuse(
          GatewayErrors.notInTime(
              what(),
              Math.max(RETRY_AFTER_FULL_MILLIS, expectedMillis - nowMillis),
              waitUntilMillis - nowMillis));
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
    if (attempt != null && attempt.relaying) {
      context.events().record(EventKind.REQUEST_REFUSED, id, "cut at its deadline, " + what());
      answer.abort();
      finish("cut");
    } else if (mayHaveRun || (attempt != null && attempt.sent)) {
      refuse(GatewayErrors.timedOut(route, age()));
    } else {
      refuse(GatewayErrors.expired(route, age()));
    }
  }

  private void refuse(ServeException error) {
    context
        .events()
        .record(EventKind.REQUEST_REFUSED, id, error.kind().word() + ": " + error.getMessage());
    answer.refuse(error);
    finish(error.kind().word());
  }

  private void finish(String outcome) {
    done = true;
    leaveRoom();
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
    }
    if (attempt != null) {
      attempt.stop();
    }
    context.metrics().onEnded(outcome);
    onDone.run();
  }

  /** Sends the request once more if that is allowed, or gives the caller the error. */
  private void retryOr(String cause, ServeException error) {
    attempt = null;
    boolean allowed =
        mayHaveRun ? route.repeatable() && runs < route.maxAttempts() : offers < MAX_OFFERS;
    if (allowed && context.retries().tryAgain(service)) {
      context.metrics().onRetried(cause);
      context.events().record(EventKind.REQUEST_RETRIED, id, cause + ", " + error.getMessage());
      dispatch();
    } else {
      boolean promises = error.kind().ran() == io.nutmegseam.core.error.Ran.NO;
      refuse(mayHaveRun && promises ? GatewayErrors.lost(error.getMessage()) : error);
    }
  }

  /** The request at one server. */
  private final class Attempt implements ResponseListener {
    private final ServerEntry server;
    private final long startedMillis = context.clock().millis();
    private ServerConnection connection;
    private boolean sent;
    private boolean relaying;
    private boolean ended;
    private HttpResponse held;

    private Attempt(ServerEntry server) {
      this.server = server;
    }

    private String serverId() {
      return server.incarnation().id();
    }

    private void start() {
      context.loads().onSent(serverId());
      long maxIdleMillis =
          route.repeatable() ? REPEATABLE_MAX_IDLE_MILLIS : NON_REPEATABLE_MAX_IDLE_MILLIS;
      context
          .pools()
          .pool(server.host(), server.port())
          .acquire(maxIdleMillis, this::send, reason -> onFailed(false, reason));
    }

    private void send(ServerConnection ready) {
      if (ended) {
        ready.abort();
        return;
      }
      connection = ready;
      sent = true;
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
                  serverId(),
                  route.kind() == RequestKind.STREAMING ? route.priority() : -1));
      connection.send(
          new ServerConnection.Outbound(
              request.method(), request.target(), headers, request.body(), id),
          this);
    }

    private void setReading(boolean reading) {
      if (connection != null) {
        connection.setReading(reading);
      }
    }

    /** Ends the attempt; closing the connection also stops the server's work. */
    private void stop() {
      if (!ended) {
        end();
        if (connection != null) {
          connection.abort();
        }
      }
    }

    private void end() {
      ended = true;
      context.loads().onDone(serverId());
    }

    @Override
    public void onHead(HttpResponse head) {
      readLoad(head);
      boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS;
      boolean hasReceipt = head.headers().contains(context.headers().receipt());
      boolean notRun =
          head.status().code() == STATUS_MISDIRECTED
              || head.headers().contains(context.headers().notRun());
      if (success && !hasReceipt) {
        end();
        connection.abort();
        onLost("answer without a receipt from " + server.incarnation());
      } else if (!success && (notRun || mayTryElsewhere(head))) {
        held = head;
      } else {
        relay(head);
      }
    }

    /** A failure of an idempotent request is worth another server. */
    private boolean mayTryElsewhere(HttpResponse head) {
      return head.status().codeClass() == HttpStatusClass.SERVER_ERROR
          && route.kind() == RequestKind.IDEMPOTENT
          && runs + 1 < route.maxAttempts();
    }

    private void relay(HttpResponse head) {
      relaying = true;
      runs++;
      mayHaveRun = true;
      context.metrics().onFirstByte(age());
      answer.head(head.status(), ForwardedHeaders.toCaller(head.headers()));
    }

    @Override
    public void onContent(ByteBuf content) {
      if (relaying) {
        answer.content(content);
        if (!answer.isWritable()) {
          connection.setReading(false);
        }
      }
    }

    @Override
    public void onComplete() {
      if (ended) {
        return;
      }
      end();
      if (held != null) {
        onRejected(held);
        return;
      }
      context.loads().onAnswered(serverId(), 1);
      context
          .events()
          .record(
              EventKind.REQUEST_ANSWERED,
              id,
              "server %s, attempt %d ms, total %d ms"
                  .formatted(
                      server.incarnation(), context.clock().millis() - startedMillis, age()));
      answer.end();
      finish("answered");
    }

    @Override
    public void onFailed(boolean wasSent, String reason) {
      if (ended) {
        return;
      }
      end();
      context.loads().onFailed(serverId());
      tried.add(serverId());
      if (relaying) {
        context
            .events()
            .record(
                EventKind.REQUEST_REFUSED,
                id,
                "answer of %s broke off: %s".formatted(server.incarnation(), reason));
        answer.abort();
        finish("broken");
      } else if (wasSent) {
        onLost("%s: %s".formatted(server.incarnation(), reason));
      } else {
        retryOr("connect", GatewayErrors.notRun(reason, RETRY_AFTER_FULL_MILLIS));
      }
    }

    private void onLost(String reason) {
      tried.add(serverId());
      runs++;
      mayHaveRun = true;
      retryOr("lost", GatewayErrors.lost(reason));
    }

    /** The server sent a failure that was held back while another server may do better. */
    private void onRejected(HttpResponse head) {
      int status = head.status().code();
      boolean notRun =
          status == STATUS_MISDIRECTED || head.headers().contains(context.headers().notRun());
      if (!notRun) {
        onLost("%s answered %d".formatted(server.incarnation(), status));
        return;
      }
      if (status == STATUS_MISDIRECTED && ref.isPresent()) {
        context.chooser().onDenied(server, ref.get());
      } else {
        tried.add(serverId());
        context.loads().onFull(serverId(), FULL_PAUSE_MILLIS);
      }
      String reason = "%s refused with %d".formatted(server.incarnation(), status);
      retryOr("refused", GatewayErrors.notRun(reason, RETRY_AFTER_FULL_MILLIS));
    }

    private void readLoad(HttpResponse head) {
      String text = head.headers().get(context.headers().load(), "");
      List<String> parts = List.of(text.split(",", -1));
      if (parts.size() >= 2) {
        try {
          int running = Integer.parseInt(parts.get(0).trim());
          int queued = Integer.parseInt(parts.get(1).trim());
          context.loads().onReport(serverId(), running, queued);
        } catch (NumberFormatException e) {
          context
              .events()
              .record(EventKind.SERVER_UNREACHABLE, serverId(), "load \"" + text + "\"");
        }
      }
    }
  }

  /** Returns whether an error says that the request did not run. */
  static boolean isPromise(ErrorKind kind) {
    return kind.ran() == io.nutmegseam.core.error.Ran.NO;
  }
}
