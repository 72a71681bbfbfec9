package io.nutmegseam.node.caller;

import io.nutmegseam.core.config.BackendServerRecord;
import java.util.Optional;
import okio.ByteString;

/**
 * An identified request.
 *
 * @param id names the request
 * @param caller name of the caller
 * @param kind what it asks for
 * @param name the model, adapter or service
 * @param method HTTP method
 * @param path path at the backend server
 * @param contentType content type of the body
 * @param body body for the backend server
 * @param fingerprint hash of method, path and body
 * @param size size of the work
 * @param stream whether the caller wants server-sent events
 * @param interactive whether a person waits for the answer
 * @param idempotent whether it may be repeated
 * @param idempotencyKey the caller's key
 * @param deadlineMillis monotonic time by which the answer must be complete
 * @param target the chosen backend server
 * @param attempt number of the attempt, from 0
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
  /** What a request asks for. */
  public enum Kind {
    /** A chat completion. */
    CHAT,
    /** A text completion. */
    TEXT,
    /** A call of a plain service. */
    SERVICE
  }

  /**
   * The size of a request's work.
   *
   * @param promptTokens estimated length of the prompt
   * @param maxCompletionTokens most tokens of the answer
   * @param prefixHash hash of the prompt's beginning
   */
  public record Size(int promptTokens, int maxCompletionTokens, int prefixHash) {
    /** Returns the size of a request that generates nothing. */
    public static Size none() {
      return new Size(0, 0, 0);
    }
  }

  /** Returns whether a model engine runs the request. */
  public boolean isCompletion() {
    return kind != Kind.SERVICE;
  }

  /** Returns the id of the present attempt. */
  public String attemptId() {
    return id + "-" + attempt;
  }

  /** Returns the request as a further attempt at a backend server. */
  public CallerRequest withTarget(BackendServerRecord server, int nextAttempt) {
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
        nextAttempt);
  }
}
