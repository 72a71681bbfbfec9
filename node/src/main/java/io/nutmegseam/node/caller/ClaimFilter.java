package io.nutmegseam.node.caller;

import io.nutmegseam.core.claim.ClaimRow;
import io.nutmegseam.core.error.Ran;
import io.nutmegseam.core.error.ServeException;
import io.nutmegseam.node.claim.ClaimRegistry;
import java.util.Map;
import java.util.Optional;
import okio.ByteString;

/** Lets a call that may not be repeated run only under a confirmed claim. */
public final class ClaimFilter implements Filter {
  private final ClaimRegistry register;

  /**
   * Creates the filter.
   *
   * @param register writes and reads claims
   */
  public ClaimFilter(ClaimRegistry register) {
    this.register = register;
  }

  @Override
  public Answered apply(Call call, AnswerSink sink, Next next) throws ServeException {
    if (call.isCompletion() || call.idempotent()) {
      return next.proceed(call);
    }
    ClaimRegistry.Request request =
        new ClaimRegistry.Request(
            ClaimRow.key(call.caller(), call.name(), call.idempotencyKey().orElseThrow()),
            call.id(),
            call.fingerprint(),
            call.deadlineMillis());
    ClaimRegistry.Claim claim = register.claim(request);
    Optional<ClaimRow> stored = claim.completedRow();
    return stored.isPresent() ? replay(stored.get(), sink) : run(call, claim, next);
  }

  private Answered run(Call call, ClaimRegistry.Claim claim, Next next) throws ServeException {
    try {
      Answered answered = next.proceed(call);
      register.finish(claim, answered.status(), answered.contentType(), answered.body());
      return answered;
    } catch (ServeException e) {
      if (e.kind().ran() == Ran.NO) {
        register.abandon(claim);
      } else {
        register.finishUnknown(claim);
      }
      throw e;
    }
  }

  private static Answered replay(ClaimRow row, AnswerSink sink) {
    ByteString body =
        Optional.ofNullable(ByteString.decodeBase64(row.answerBase64())).orElse(ByteString.EMPTY);
    sink.whole(row.status(), row.contentType(), body, Map.of("Idempotent-Replay", "true"));
    return new Answered("", row.status(), row.contentType(), body, 0);
  }
}
