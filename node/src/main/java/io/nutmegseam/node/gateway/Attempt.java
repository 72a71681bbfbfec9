package io.nutmegseam.node.gateway;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.node.connection.BodyFraming;
import io.nutmegseam.node.connection.ResponseEnd;
import io.nutmegseam.node.connection.ResponseListener;
import io.nutmegseam.node.connection.ServerConnection;
import io.nutmegseam.node.connection.ServerConnectionPool;
import io.nutmegseam.node.pace.FirstEventTimer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Sends a request to one server, or to another node that sends it to one, and reports the outcome
 * to its owner. Confined to the traffic thread.
 */
final class Attempt implements ResponseListener {
  /** Limit of a response body that is withheld; larger than the error bodies of servers. */
  private static final int MAX_WITHHELD_BODY_BYTES = 64 << 10;

  /** Longest wait for the body of a response that is withheld. */
  private static final long WITHHELD_BODY_TIMEOUT_MILLIS = 500;

  /** A process that ends can close its connections a moment before it stops listening. */
  private static final long MAX_PROBE_DELAY_MILLIS = 50;

  private final TrafficContext context;
  private final ServerEntry server;
  private final RequestPlan plan;
  private final String requestId;
  private final AttemptOwner owner;
  private final ResponseProof proof;
  private final FirstEventTimer timer;
  private ServerConnection connection;
  private ListenerWatch.Response unframedResponse;
  private long sentMillis;
  private State state = State.CONNECTING;
  private HttpResponse withheldHead;
  private Optional<PeerError> peerError = Optional.empty();
  private ByteString withheldBody = ByteString.EMPTY;
  private ScheduledFuture<?> withheldBodyTimer;

  private enum State {
    CONNECTING,
    SENT,
    RELAYING,
    ENDED
  }

  /**
   * Creates an attempt; {@link #start} sends it.
   *
   * @param context dependencies shared by all requests
   * @param server the server
   * @param plan routing decision for the request
   * @param requestId id of the request; empty if it has none
   * @param owner supplies the request and handles the outcome
   */
  Attempt(
      TrafficContext context,
      ServerEntry server,
      RequestPlan plan,
      String requestId,
      AttemptOwner owner) {
    this.context = context;
    this.server = server;
    this.plan = plan;
    this.requestId = requestId;
    this.owner = owner;
    this.proof = new ResponseProof(context.headers(), PeerTargets.isPeer(server));
    this.timer = context.chooser().timer(server, plan, context);
  }

  /** Returns the error that came from another node; empty if there is none. */
  Optional<PeerError> peerError() {
    return peerError;
  }

  /** Returns the priority of the request. */
  int priority() {
    return plan.priority();
  }

  /** Returns the server. */
  ServerEntry server() {
    return server;
  }

  /** Returns the connection of the request for log lines, once it is established. */
  String connectionText() {
    return connection.description();
  }

  /** Returns whether a connection to the server is being established. */
  boolean isConnecting() {
    return state == State.CONNECTING;
  }

  /** Returns whether a connection to the server was established. */
  boolean isConnected() {
    return connection != null;
  }

  /** Returns whether a byte of the request may have reached the server. */
  boolean isSent() {
    return state == State.SENT || state == State.RELAYING;
  }

  /** Returns whether the response is being forwarded to the caller. */
  boolean isRelaying() {
    return state == State.RELAYING;
  }

  /** Returns whether the attempt has not ended and no response is being forwarded yet. */
  boolean isPending() {
    return state == State.CONNECTING || state == State.SENT;
  }

  /**
   * Sends the request.
   *
   * @param maxIdleMillis longest time that a reused connection may have been idle, in milliseconds
   */
  void start(long maxIdleMillis) {
    context.loads().onSent(serverId(), this);
    context.loads().adapterRuns().onBegun(plan, server, this);
    timer.start();
    ServerConnectionPool pool = context.pools().pool(server.host(), server.port());
    if (requestId.isEmpty()) {
      // Nothing but its connection tells which response belongs to the request.
      pool.acquireUnshared(this::send, this::onConnectFailed);
    } else {
      pool.acquire(requestId, maxIdleMillis, this::send, this::onConnectFailed);
    }
  }

  /** Pauses or resumes reading from the server, for a caller that reads slowly. */
  void setReading(boolean reading) {
    if (connection != null && state == State.RELAYING) {
      connection.setReading(reading);
      if (unframedResponse != null) {
        unframedResponse.onReading(reading);
      }
    }
  }

  /** Ends the attempt and closes its connection, which also makes the server stop its work. */
  void stop() {
    if (state != State.ENDED) {
      markEnded();
      if (connection != null) {
        connection.abort();
      }
    }
  }

  @Override
  public void onHead(HttpResponse head) {
    if (!PeerTargets.isPeer(server)) {
      ServerHeaders.read(context, server, head, sentMillis);
    }
    context.loads().onResponseHead(serverId(), this);
    boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS;
    if (PeerTargets.isPeer(server) && !success) {
      peerError = Optional.of(PeerError.read(head, context.headers()));
    }
    if (proof.isMissing(head)) {
      stop();
      context.loads().onFailed(serverId());
      owner.onLost(
          "response %d without a receipt header from %s"
              .formatted(head.status().code(), server.incarnation()));
    } else if (!success
        && (proof.provesNotRun(head) || owner.isFailureWithheld(head.status().codeClass()))) {
      withheldHead = head;
      withheldBodyTimer =
          context
              .loop()
              .schedule(
                  () -> onWithheldBodyWithoutEnd("no end of its body"),
                  WITHHELD_BODY_TIMEOUT_MILLIS,
                  TimeUnit.MILLISECONDS);
    } else {
      state = State.RELAYING;
      if (PeerTargets.isPeer(server)) {
        head.headers().remove(context.headers().notRun());
      } else if (BodyFraming.of(head) == BodyFraming.CONNECTION) {
        unframedResponse = context.listeners().begin(server, sentMillis);
      }
      owner.onHead(head);
    }
  }

  @Override
  public void onContent(ByteBuf content) {
    timer.onArrived(content.readableBytes());
    if (state == State.RELAYING) {
      forward(content);
    } else if (withheldHead != null
        && withheldBody.size() + content.readableBytes() <= MAX_WITHHELD_BODY_BYTES) {
      withheldBody = withheldBody.concat(ByteString.copyFrom(content.nioBuffer()));
    } else if (withheldHead != null) {
      onWithheldBodyWithoutEnd("a body over the limit of withheld responses");
    }
  }

  /** Ends the attempt without the body of its response, which is not needed for a refusal. */
  private void onWithheldBodyWithoutEnd(String reason) {
    stop();
    if (proof.provesNotRun(withheldHead)) {
      onRefused();
    } else {
      context.loads().onFailed(serverId());
      owner.onLost(
          "%s responded with %d and %s"
              .formatted(server.incarnation(), withheldHead.status().code(), reason));
    }
  }

  private void onRefused() {
    boolean misdirected = withheldHead.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
    if (!misdirected) {
      context.quotas().onRejected(server);
    }
    owner.onNotRun(
        "refused",
        misdirected,
        "%s refused with %d, %s"
            .formatted(server.incarnation(), withheldHead.status().code(), connectionText()));
  }

  private void forward(ByteBuf content) {
    timer.onContent(content.readableBytes(), context.lag().isLate());
    if (!owner.onContent(content)) {
      stop();
      context.loads().onFailed(serverId());
      owner.onTruncated(
          "%s: event larger than %d bytes"
              .formatted(server.incarnation(), SseEventAssembler.MAX_EVENT_BYTES));
    }
  }

  @Override
  public void onComplete(ResponseEnd end) {
    if (state == State.ENDED) {
      return;
    }
    Optional<String> truncation =
        withheldHead == null ? owner.findTruncation(end) : Optional.empty();
    if (truncation.isPresent() || !mayEndWithProcess(end)) {
      conclude(end, truncation);
    } else {
      unframedResponse.onConnectionEnded();
      context
          .loop()
          .schedule(
              () -> checkProcess(end),
              Math.min(MAX_PROBE_DELAY_MILLIS, leftMillis() / 2),
              TimeUnit.MILLISECONDS);
    }
  }

  private void checkProcess(ResponseEnd end) {
    if (state != State.ENDED) {
      unframedResponse.check(
          leftMillis(), check -> conclude(end.withProcess(check), check.truncation()));
    }
  }

  private long leftMillis() {
    return Math.max(0, plan.deadlineMillis() - context.clock().millis());
  }

  /** Returns whether the end of the server's process would look like the end of the response. */
  private boolean mayEndWithProcess(ResponseEnd end) {
    return unframedResponse != null && end.framing() == BodyFraming.CONNECTION;
  }

  private void conclude(ResponseEnd end, Optional<String> truncation) {
    if (state == State.ENDED) {
      return;
    }
    markEnded();
    if (truncation.isPresent()) {
      countBrokenOff();
      if (end.framing() == BodyFraming.CONNECTION) {
        onConnectionLost();
      }
      owner.onTruncated("%s: %s, %s".formatted(server.incarnation(), truncation.get(), end));
    } else if (withheldHead == null) {
      context.loads().onSucceeded(serverId());
      owner.onComplete(end);
    } else if (proof.provesNotRun(withheldHead)) {
      onRefused();
    } else {
      if (peerError.isPresent()) {
        context.loads().onSucceeded(serverId());
      } else {
        context.loads().onFailed(serverId());
      }
      owner.onFailure(
          withheldHead,
          withheldBody,
          "%s responded with %d".formatted(server.incarnation(), withheldHead.status().code()));
    }
  }

  @Override
  public void onFailed(boolean sent, String reason) {
    if (state == State.ENDED) {
      return;
    }
    boolean relaying = state == State.RELAYING;
    markEnded();
    if (withheldHead != null && proof.provesNotRun(withheldHead)) {
      onRefused();
      return;
    }
    if (sent) {
      countBrokenOff();
      onConnectionLost();
    } else {
      context.loads().onFailed(serverId());
    }
    String detail = "%s: %s".formatted(server.incarnation(), reason);
    if (relaying) {
      owner.onTruncated(detail);
    } else if (sent) {
      owner.onLost(detail);
    } else {
      owner.onNotRun("connect", false, detail);
    }
  }

  private void onConnectFailed(ServerConnectionPool.ConnectFailure failure) {
    if (failure.refused()) {
      context.loads().onRefused(serverId());
    }
    if (!PeerTargets.isPeer(server)) {
      context.reach().onFailed();
    }
    onFailed(false, failure.reason());
  }

  private void send(ServerConnection acquired) {
    if (state == State.ENDED) {
      acquired.abort();
      return;
    }
    if (plan.deadlineMillis() <= context.clock().millis()) {
      acquired.abort();
      owner.onDeadline();
      return;
    }
    connection = acquired;
    state = State.SENT;
    sentMillis = context.clock().millis();
    ServerConnection.OutboundRequest outbound = owner.outboundRequest(server);
    timer.onSent(outbound.body().size());
    connection.send(outbound, this);
  }

  private void markEnded() {
    state = State.ENDED;
    if (withheldBodyTimer != null) {
      withheldBodyTimer.cancel(false);
    }
    if (unframedResponse != null) {
      unframedResponse.close();
    }
    timer.onEnded();
    context.loads().onDone(serverId(), this);
    context.loads().adapterRuns().onEnded(plan, this);
    context.quotas().onEnded(server);
  }

  private String serverId() {
    return server.incarnation().id();
  }

  /** Counts a failure, unless the server may have kept to the time limit that it was sent. */
  private void countBrokenOff() {
    if (!plan.mayHaveStoppedServer(context.clock().millis())) {
      context.loads().onFailed(serverId());
    }
  }

  private void onConnectionLost() {
    if (!PeerTargets.isPeer(server)) {
      context.crashes().onConnectionLost(server, owner.fingerprints());
    }
  }
}
