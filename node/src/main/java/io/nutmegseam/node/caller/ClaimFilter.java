package io.nutmegseam.node.caller;

import io.nutmegseam.core.claim.ClaimRow;
import io.nutmegseam.core.error.RanStatus;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.node.claim.ClaimRegister;
import java.util.Map;
import java.util.Optional;
import okio.ByteString;

/** Lets a call that may not be repeated run only under a confirmed claim. */
public final class ClaimFilter implements Filter {
  private final ClaimRegister register;

  /**
   * Creates the filter.
   *
   * @param register writes and reads claims
   */
  public ClaimFilter(ClaimRegister register) {
    this.register = register;
  }

  @Override
  public Answered apply(Call call, AnswerSink sink, Next next) throws RequestException {
    if (call.isCompletion() || call.idempotent()) {
      return next.proceed(call);
    }
    ClaimRegister.Request request =
        new ClaimRegister.Request(
            ClaimRow.key(call.caller(), call.name(), call.idempotencyKey().orElseThrow()),
            call.id(),
            call.fingerprint(),
            call.deadlineMillis());
    ClaimRegister.Claim claim = register.claim(request);
    Optional<ClaimRow> stored = claim.stored();
    return stored.isPresent() ? replay(stored.get(), sink) : run(call, claim, next);
  }

  private Answered run(Call call, ClaimRegister.Claim claim, Next next) throws RequestException {
    try {
      Answered answered = next.proceed(call);
      register.finish(claim, answered.status(), answered.contentType(), answered.body());
      return answered;
    } catch (RequestException e) {
      if (e.kind().ran() == RanStatus.NO) {
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
