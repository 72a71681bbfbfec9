package io.nutmegseam.node.gateway;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.fleet.ServerEntry;

/** One request at one server. Confined to the traffic thread. */
final class Attempt implements ResponseListener {
  private static final int STATUS_MISDIRECTED = 421;
  private static final int LOAD_FIELDS = 2;

  /** Longer than what servers say of an error. */
  private static final int MAX_HELD_BYTES = 64 << 10;

  private final TrafficContext context;
  private final ServerEntry server;
  private final Owner owner;
  private ServerConnection connection;
  private State state = State.CONNECTING;
  private HttpResponse held;
  private ByteString heldBody = ByteString.EMPTY;

  private enum State {
    CONNECTING,
    SENT,
    RELAYING,
    ENDED
  }

  /** Takes what becomes of an attempt. */
  interface Owner {
    /** Returns the request as it goes to the server. */
    ServerConnection.OutboundRequest outboundRequest(ServerEntry server);

    /** Returns whether a failure of the server is worth another server. */
    boolean isServerErrorRetryable();

    /** The server answers. */
    void onHead(HttpResponse head);

    /** A piece of the answer. */
    void onContent(ByteBuf content);

    /** The answer is whole. */
    void onComplete();

    /**
     * The request did not run.
     *
     * @param cause a word for metrics
     * @param misdirected whether the server does not hold the model, or is another process
     * @param reason what happened
     */
    void onNotRun(String cause, boolean misdirected, String reason);

    /** The request may have run, and there is no answer. */
    void onLost(String reason);

    /**
     * The server has answered with an error of its own, which another server may not make.
     *
     * @param head the head of its answer
     * @param body the body of its answer
     * @param reason what happened
     */
    void onServerError(HttpResponse head, ByteString body, String reason);

    /** The answer broke off after its head. */
    void onTruncated(String reason);
  }

  /**
   * Creates an attempt; {@link #start} sends it.
   *
   * @param context what requests share
   * @param server the server
   * @param owner takes what becomes of it
   */
  Attempt(TrafficContext context, ServerEntry server, Owner owner) {
    this.context = context;
    this.server = server;
    this.owner = owner;
  }

  /** Returns the server. */
  ServerEntry server() {
    return server;
  }

  /** Returns whether a byte of the request may have reached the server. */
  boolean isSent() {
    return state == State.SENT || state == State.RELAYING;
  }

  /** Returns whether the head of the answer has been passed on. */
  boolean isRelaying() {
    return state == State.RELAYING;
  }

  /** Returns whether the server has not answered yet. */
  boolean isPending() {
    return state == State.CONNECTING || state == State.SENT;
  }

  /**
   * Sends the request.
   *
   * @param maxIdleMillis longest time that a reused connection may have been idle
   */
  void start(long maxIdleMillis) {
    context.loads().onSent(serverId(), this);
    context
        .pools()
        .pool(server.host(), server.port())
        .acquire(maxIdleMillis, this::send, reason -> onFailed(false, reason));
  }

  /** Stops or resumes reading, for a caller that reads slowly. */
  void setReading(boolean reading) {
    if (connection != null && state == State.RELAYING) {
      connection.setReading(reading);
    }
  }

  /** Ends the attempt; closing the connection also stops the server's work. */
  void stop() {
    if (state != State.ENDED) {
      end();
      if (connection != null) {
        connection.abort();
      }
    }
  }

  @Override
  public void onHead(HttpResponse head) {
    readLoad(head);
    context.loads().onHead(serverId(), this);
    boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS;
    boolean serverError = head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
    if (success && !head.headers().contains(context.headers().receipt())) {
      stop();
      context.loads().onFailed(serverId());
      owner.onLost("answer without a receipt from " + server.incarnation());
    } else if (!success && (isNotRun(head) || (serverError && owner.isServerErrorRetryable()))) {
      held = head;
    } else {
      state = State.RELAYING;
      owner.onHead(head);
    }
  }

  @Override
  public void onContent(ByteBuf content) {
    if (state == State.RELAYING) {
      owner.onContent(content);
    } else if (held != null && heldBody.size() + content.readableBytes() <= MAX_HELD_BYTES) {
      heldBody = heldBody.concat(ByteString.copyFrom(content.nioBuffer()));
    } else if (held != null) {
      stop();
      context.loads().onFailed(serverId());
      owner.onLost(
          "%s answered %d at length".formatted(server.incarnation(), held.status().code()));
    }
  }

  @Override
  public void onComplete() {
    if (state == State.ENDED) {
      return;
    }
    end();
    if (held == null) {
      context.loads().onAnswered(serverId());
      owner.onComplete();
    } else if (isNotRun(held)) {
      boolean misdirected = held.status().code() == STATUS_MISDIRECTED;
      owner.onNotRun(
          "refused",
          misdirected,
          "%s refused with %d".formatted(server.incarnation(), held.status().code()));
    } else {
      context.loads().onFailed(serverId());
      owner.onServerError(
          held, heldBody, "%s answered %d".formatted(server.incarnation(), held.status().code()));
    }
  }

  @Override
  public void onFailed(boolean sent, String reason) {
    if (state == State.ENDED) {
      return;
    }
    boolean relaying = state == State.RELAYING;
    end();
    context.loads().onFailed(serverId());
    String text = "%s: %s".formatted(server.incarnation(), reason);
    if (relaying) {
      owner.onTruncated(text);
    } else if (sent) {
      owner.onLost(text);
    } else {
      owner.onNotRun("connect", false, text);
    }
  }

  private void send(ServerConnection ready) {
    if (state == State.ENDED) {
      ready.abort();
      return;
    }
    connection = ready;
    state = State.SENT;
    connection.send(owner.outboundRequest(server), this);
  }

  private void end() {
    state = State.ENDED;
    context.loads().onDone(serverId(), this);
  }

  private String serverId() {
    return server.incarnation().id();
  }

  private boolean isNotRun(HttpResponse head) {
    return head.status().code() == STATUS_MISDIRECTED
        || head.headers().contains(context.headers().notRun());
  }

  private void readLoad(HttpResponse head) {
    HttpHeaders headers = head.headers();
    String text = headers.get(context.headers().load());
    if (text == null) {
      return;
    }
    String[] fields = text.split(",", -1);
    try {
      if (fields.length >= LOAD_FIELDS) {
        int running = Integer.parseInt(fields[0].trim());
        int queued = Integer.parseInt(fields[1].trim());
        context.loads().onReport(serverId(), running, queued);
      }
    } catch (NumberFormatException e) {
      context.events().record(EventKind.SERVER_UNREADABLE, serverId(), "load \"" + text + "\"");
    }
  }
}
