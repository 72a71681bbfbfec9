package io.nutmegseam.node.caller;

import io.nutmegseam.core.claim.ClaimRow;
import io.nutmegseam.core.error.RanStatus;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.node.claim.ClaimRegistry;
import java.util.Map;
import java.util.Optional;
import okio.ByteString;

/**
 * Runs a request that is not idempotent only under a confirmed claim of its idempotency key, and
 * replays the stored response of an earlier request with the same key.
 */
public final class ClaimFilter implements Filter {
  private final ClaimRegistry registry;

  /**
   * Creates the filter.
   *
   * @param registry writes and reads claims
   */
  public ClaimFilter(ClaimRegistry registry) {
    this.registry = registry;
  }

  @Override
  public SentResponse apply(CallerRequest request, ResponseSink sink, Next next)
      throws RequestException {
    if (request.isCompletion() || request.idempotent()) {
      return next.proceed(request, sink);
    }
    ClaimRegistry.Request claimRequest =
        new ClaimRegistry.Request(
            ClaimRow.key(request.caller(), request.name(), request.idempotencyKey().orElseThrow()),
            request.id(),
            request.fingerprint(),
            request.deadlineMillis());
    ClaimRegistry.Claim claim = registry.claim(claimRequest);
    Optional<ClaimRow> stored = claim.completedRow();
    return stored.isPresent() ? replay(stored.get(), sink) : run(request, claim, sink, next);
  }

  /**
   * Runs a request, and sends its response once the outcome is recorded: a caller that repeats the
   * request as soon as it has the response gets it again, through any node.
   */
  private SentResponse run(
      CallerRequest request, ClaimRegistry.Claim claim, ResponseSink sink, Next next)
      throws RequestException {
    try {
      DeferredResponse deferred = new DeferredResponse();
      SentResponse response = next.proceed(request, deferred);
      registry.finish(claim, response.status(), response.contentType(), response.body());
      deferred.sendTo(sink);
      return response;
    } catch (RequestException e) {
      if (e.kind().ran() == RanStatus.NO) {
        registry.abandon(claim);
      } else {
        registry.finishUnknown(claim);
      }
      throw e;
    }
  }

  private static SentResponse replay(ClaimRow row, ResponseSink sink) {
    ByteString body =
        Optional.ofNullable(ByteString.decodeBase64(row.answerBase64())).orElse(ByteString.EMPTY);
    sink.sendResponse(row.status(), row.contentType(), body, Map.of("Idempotent-Replay", "true"));
    return new SentResponse("", row.status(), row.contentType(), body, 0);
  }
}
