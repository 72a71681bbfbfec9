package io.nutmegseam.node.caller;

import io.nutmegseam.core.config.BackendServerRecord;
import java.util.Optional;
import okio.ByteString;

/**
 * A parsed request of an authenticated caller.
 *
 * @param id id of the request, unique among all nodes
 * @param caller name of the caller
 * @param kind kind of work that is requested
 * @param name name of the requested model, adapter or service
 * @param method HTTP method
 * @param path path at the backend server; includes the query for a plain service
 * @param contentType content type of the body
 * @param body body that is sent to the backend server
 * @param fingerprint hash of method, path and body; equal for a repeated request
 * @param size estimated size of the work
 * @param stream whether the caller requests server-sent events
 * @param interactive whether the request has interactive priority, not batch
 * @param idempotent whether the request may run more than once
 * @param idempotencyKey the caller's idempotency key; empty if not given
 * @param deadlineMillis monotonic time by which the response must be complete, in milliseconds
 * @param target backend server of the current attempt; empty before one is chosen
 * @param attempt number of the current attempt, from 0
 */
public record CallerRequest(
    String id,
    String caller,
    Kind kind,
    String name,
    String method,
    String path,
    String contentType,
    ByteString body,
    String fingerprint,
    Size size,
    boolean stream,
    boolean interactive,
    boolean idempotent,
    Optional<String> idempotencyKey,
    long deadlineMillis,
    Optional<BackendServerRecord> target,
    int attempt) {
  /** The kind of work that is requested. */
  public enum Kind {
    /** A chat completion. */
    CHAT,
    /** A text completion. */
    TEXT,
    /** A request to a plain service. */
    SERVICE
  }

  /**
   * The size of a request's work.
   *
   * @param promptTokens estimated length of the prompt, in tokens
   * @param maxCompletionTokens maximum length of the completion, in tokens
   * @param prefixHash hash of the first characters of the prompt
   */
  public record Size(int promptTokens, int maxCompletionTokens, int prefixHash) {
    /** Returns the size of a request that generates no tokens. */
    public static Size none() {
      return new Size(0, 0, 0);
    }
  }

  /** Returns whether the request is a completion, which a model engine runs. */
  public boolean isCompletion() {
    return kind != Kind.SERVICE;
  }

  /** Returns the id of the current attempt. */
  public String attemptId() {
    return id + "-" + attempt;
  }

  /** Returns a copy of the request for an attempt at a backend server. */
  public CallerRequest withTarget(BackendServerRecord server, int attemptNumber) {
    return new CallerRequest(
        id,
        caller,
        kind,
        name,
        method,
        path,
        contentType,
        body,
        fingerprint,
        size,
        stream,
        interactive,
        idempotent,
        idempotencyKey,
        deadlineMillis,
        Optional.of(server),
        attemptNumber);
  }
}
