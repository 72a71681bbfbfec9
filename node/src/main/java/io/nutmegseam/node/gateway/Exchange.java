package io.nutmegseam.node.gateway;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.nutmegseam.core.crash.CrashVerdict;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.node.allotment.RequestCharge;
import io.nutmegseam.node.connection.ResponseEnd;
import io.nutmegseam.node.connection.ServerConnection;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/** Serves one request from arrival to the end of its response. Confined to the traffic thread. */
final class Exchange implements AttemptOwner, CrashGuard.Guarded {
  private final TrafficContext context;
  private final InboundRequest request;
  private final ResponseWriter writer;
  private final ResponseRelay relay;
  private final Runnable onDone;
  private final String id;
  private final RequestFingerprints fingerprints;
  private final RequestLog log;
  private final RequestForwarder forwarder;
  private final FirstByteTimer firstByteTimer;
  private final DeadlineTimer deadlineTimer;
  private final ModelWait modelWait;
  private final PermitWait permitWait;
  private RequestPlan plan;
  private ServerSelection selection;
  private Optional<StreamResumption> resumption = Optional.empty();
  private RequestCharge charge = RequestCharge.NONE;
  private Attempt attempt;
  private final AttemptHistory history;
  private boolean succeeds;
  private boolean done;

  /**
   * Creates an exchange.
   *
   * @param context dependencies shared by all requests
   * @param request the request
   * @param writer writes the response to the caller
   * @param onDone called once when the exchange has ended
   */
  Exchange(TrafficContext context, InboundRequest request, ResponseWriter writer, Runnable onDone) {
    this.context = context;
    this.request = request;
    this.writer = writer;
    this.relay = new ResponseRelay(writer);
    this.onDone = onDone;
    this.history = new AttemptHistory(request);
    this.id = request.headers().get(context.headers().requestId(), "");
    this.fingerprints = RequestFingerprints.of(request, context.headers());
    this.log = RequestLog.of(context, id, request.arrivedMillis(), relay);
    this.forwarder = new RequestForwarder(context, request, id);
    this.firstByteTimer = new FirstByteTimer(context.loop(), this::onFirstByteTimeout);
    this.deadlineTimer = new DeadlineTimer(context.loop(), context.clock(), this::onDeadline);
    this.modelWait = new ModelWait(context, log, this::retryDispatch, this::refuseOnShutdown);
    this.permitWait = new PermitWait(context.quotas());
  }

  /** Routes the request and sends it to a server. */
  void start() {
    try {
      plan =
          RequestPlan.of(
                  request,
                  context.state(),
                  context.headers(),
                  route -> route.chooseService(ThreadLocalRandom.current().nextDouble()))
              .requireAdmission(request, context.state(), context.clock().millis());
    } catch (RequestException e) {
      refuse(history.withRunStatus(e));
      return;
    }
    context.crashes().add(this);
    selection = new ServerSelection(context, plan, request);
    deadlineTimer.start(plan.deadlineMillis());
    context.countArrival(plan, request);
    context.charge(plan, request, next -> charge = next, this::onCharged, this::refuse);
  }

  private void onCharged() {
    resumption = StreamResumption.of(request.headers(), context.headers(), plan.route());
    if (resumption.isPresent()) {
      new ResumptionRouter(context, request, log)
          .start(plan, resumption.get(), this::onResumptionRouted, this::refuse);
    } else {
      dispatch();
    }
  }

  private void onResumptionRouted(ResumptionRouter.Target target) {
    if (!done) {
      plan = target.plan();
      selection = new ServerSelection(context, plan, request);
      selection.requireSoftwareVersion(target.softwareVersion());
      dispatch();
    }
  }

  /** Stops all work on the request, since the caller has closed the connection. */
  void cancel() {
    if (!done) {
      log.onCancelled();
      finish("cancelled");
    }
  }

  /** Sends the request to another node if no response has begun and it may be sent once more. */
  void onCutOff() {
    if (!done && attempt != null && attempt.isConnecting()) {
      attempt.stop();
      attempt = null;
      dispatch();
    } else if (history.canRunAgainAfterThis(plan.route())) {
      onFirstByteTimeout();
    }
  }

  /** Pauses or resumes reading from the server, as the caller's connection is writable or not. */
  void onWritabilityChanged() {
    if (attempt != null) {
      attempt.setReading(writer.isWritable());
    }
  }

  private void retryDispatch() {
    if (!done && attempt == null && !permitWait.isPending()) {
      dispatch();
    }
  }

  private void refuseOnShutdown() {
    if (!done && attempt == null) {
      refuse(history.withRunStatus(GatewayErrors.stopping(plan.description())));
    }
  }

  @Override
  public RequestFingerprints fingerprints() {
    return fingerprints;
  }

  /** Ends the request unless a server has begun to respond, which may still turn out well. */
  @Override
  public void onCondemned(CrashVerdict verdict) {
    if (!done && (attempt == null || !attempt.isRelaying())) {
      history.onAbandoned(attempt);
      refuseCondemned(verdict);
    }
  }

  private void refuseCondemned(CrashVerdict verdict) {
    if (relay.isStarted()) {
      abortResponse("the request crashes servers");
    } else {
      refuse(history.withRunStatus(GatewayErrors.crashesServers(plan, verdict)));
    }
  }

  private void dispatch() {
    if (plan.deadlineMillis() <= context.clock().millis()) {
      onDeadline();
      return;
    }
    CrashGuard.Admission admission =
        context.crashes().admit(this, plan.service(), selection.softwareVersions());
    if (admission.refusedBy().isPresent()) {
      refuseCondemned(admission.refusedBy().get());
      return;
    }
    admission.onlyVersion().ifPresent(selection::restrictSoftwareVersion);
    Optional<ServerEntry> chosen = selection.choose();
    if (chosen.isPresent() && !history.mayHaveRun() && selection.wouldMissTarget(chosen.get())) {
      refuse(GatewayErrors.queueTooLong(plan));
    } else if (chosen.isPresent()) {
      modelWait.leave();
      permitWait.acquire(selection, chosen.get(), this::send, this::dispatch);
    } else if (relay.isStarted()) {
      abortResponse("no server can resume the response");
    } else if (selection.canWait()) {
      modelWait.enter(plan, selection).ifPresent(error -> refuse(history.withRunStatus(error)));
    } else {
      refuse(history.withRunStatus(selection.noServerError()));
    }
  }

  private void send(ServerEntry server) {
    history.onDispatched(server, plan.route(), () -> selection.hasAlternative(server));
    context.crashes().onSent(this);
    attempt = new Attempt(context, server, plan, id, this);
    firstByteTimer.start(plan.route(), history);
    attempt.start(plan.maxConnectionIdleMillis());
  }

  private void onFirstByteTimeout() {
    if (done || attempt == null || !attempt.isPending()) {
      return;
    }
    Attempt stalled = attempt;
    context.reach().onFailed();
    selection.exclude(stalled.server());
    Optional<ServerEntry> next = selection.choose();
    if (next.isPresent() && context.retries().tryAcquire(plan.service())) {
      permitWait.acquire(selection, next.get(), server -> replace(stalled, server), () -> {});
    }
  }

  private void replace(Attempt stalled, ServerEntry server) {
    if (attempt == stalled && stalled.isPending()) {
      history.onAbandoned(stalled);
      context.loads().onFailed(stalled.server().incarnation().id());
      stalled.stop();
      log.onRetried("silent", stalled.server().incarnation() + " did not respond in time");
      send(server);
    }
  }

  @Override
  public void onDeadline() {
    if (done) {
      return;
    }
    history.onAbandoned(attempt);
    if (relay.isStarted()) {
      abortResponse("deadline");
    } else {
      refuse(GatewayErrors.deadlinePassed(plan.route(), log.ageMillis(), history.mayHaveRun()));
    }
  }

  /** Closes the caller's connection, since a response that has begun cannot become an error. */
  private void abortResponse(String reason) {
    log.onTruncated(plan, reason);
    writer.abort();
    finish("cut");
  }

  private void refuse(RequestException error) {
    if (!done) {
      log.onRefused(error);
      writer.writeError(error);
      finish(error.kind().wireName());
    }
  }

  private void finish(String outcome) {
    done = true;
    context.crashes().remove(this);
    modelWait.leave();
    permitWait.cancel();
    charge.end(history.mayHaveRun() || (attempt != null && attempt.isSent()));
    firstByteTimer.stop();
    deadlineTimer.stop();
    Optional.ofNullable(attempt).ifPresent(Attempt::stop);
    relay.release();
    context.metrics().onEnded(Optional.ofNullable(plan), outcome);
    onDone.run();
  }

  /** Returns the delegated runs that are not used; empty if none were delegated. */
  Optional<Integer> unusedRuns() {
    return history.unusedRuns();
  }

  /** Returns whether a request that may have run can be sent to another server. */
  private boolean mayRunAgain() {
    return history.canRunAgain(plan.route()) && context.crashes().isRetryAllowed(fingerprints());
  }

  /** Retries the request if that is allowed; otherwise fails it with the error. */
  private void retryOrFail(String cause, RequestException error) {
    boolean arrived = attempt.isConnected();
    attempt = null;
    boolean allowed = history.mayHaveRun() ? mayRunAgain() : history.canDispatchAgain();
    // Only what has reached a server counts towards the retry limit.
    if (allowed && (!arrived || context.retries().tryAcquire(plan.service()))) {
      log.onRetried(cause, error.getMessage());
      dispatch();
    } else if (relay.isStarted()) {
      abortResponse(error.getMessage());
    } else {
      refuse(history.withRunStatus(error));
    }
  }

  @Override
  public ServerConnection.OutboundRequest outboundRequest(ServerEntry server) {
    log.onDispatched(plan, attempt, history, fingerprints);
    return forwarder.outboundRequest(server, plan, relay.lastEventId(), history);
  }

  @Override
  public boolean isFailureWithheld(HttpStatusClass statusClass) {
    return relay.isStarted()
        || history.canReplaceError(attempt.peerError(), plan.route(), statusClass);
  }

  @Override
  public void onHead(HttpResponse head) {
    firstByteTimer.stop();
    permitWait.cancel();
    history.onRan();
    succeeds = head.status().codeClass() == HttpStatusClass.SUCCESS;
    if (!relay.isStarted()) {
      context.metrics().onFirstByte(log.ageMillis());
      selection.onResponseBegun(attempt.server());
      if (succeeds && !PeerTargets.isPeer(attempt.server()) && !selection.isVersionUnknown()) {
        String first = resumption.map(StreamResumption::firstRequest).orElse(id);
        context.origins().onBegun(first, plan, attempt.server());
      }
    }
    relay.onHead(head, plan.route());
  }

  @Override
  public boolean onContent(ByteBuf content) {
    boolean canGoOn = relay.onContent(content);
    if (!writer.isWritable()) {
      attempt.setReading(false);
    }
    return canGoOn;
  }

  @Override
  public Optional<String> findTruncation(ResponseEnd end) {
    return relay.findTruncation(end, plan.mayHaveStoppedServer(context.clock().millis()));
  }

  @Override
  public void onComplete(ResponseEnd end) {
    log.onCompleted(attempt.server(), history.dispatches(), " " + end);
    context.metrics().onResponseEnded(end.framing());
    if (succeeds && !PeerTargets.isPeer(attempt.server())) {
      context.crashes().onSucceeded(attempt.server(), fingerprints(), end.framing());
    }
    relay.end();
    finish("answered");
  }

  @Override
  public void onNotRun(String cause, boolean misdirected, String reason) {
    selection.onNotRun(attempt.server(), attempt.isConnected(), misdirected);
    retryOrFail(cause, GatewayErrors.backendRefused(reason, RetryAfter.OVERLOAD_MILLIS));
  }

  @Override
  public void onLost(String reason) {
    selection.exclude(attempt.server());
    history.onRan();
    retryOrFail("lost", GatewayErrors.backendLost(reason));
  }

  @Override
  public void onFailure(HttpResponse head, ByteString body, String reason) {
    ServerEntry server = attempt.server();
    selection.exclude(server);
    history.onFailed(attempt.peerError(), plan.route());
    Optional<ServerEntry> next = mayRunAgain() ? selection.choose() : Optional.empty();
    Runnable respond = () -> respondWithFailure(server, head, body, reason);
    if (next.isEmpty() || !context.retries().tryAcquire(plan.service())) {
      respond.run();
      return;
    }
    attempt = null;
    permitWait.acquire(selection, next.get(), retried -> retryFailed(retried, reason), respond);
  }

  private void retryFailed(ServerEntry server, String reason) {
    log.onRetried("server-error", reason);
    send(server);
  }

  private void respondWithFailure(
      ServerEntry server, HttpResponse head, ByteString body, String reason) {
    if (relay.isStarted()) {
      abortResponse(reason);
    } else {
      relay.onBufferedResponse(head, body, plan.route());
      log.onCompleted(server, history.dispatches(), "");
      finish("answered");
    }
  }

  @Override
  public void onTruncated(String reason) {
    selection.exclude(attempt.server());
    if (relay.lastEventId().isEmpty() || plan.mayHaveStoppedServer(context.clock().millis())) {
      abortResponse(reason);
    } else {
      relay.discardPartialEvent();
      retryOrFail("resumed", GatewayErrors.backendLost(reason));
    }
  }
}
