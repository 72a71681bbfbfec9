package io.nutmegseam.node.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.platform.CommitResult;
import io.nutmegseam.core.platform.PlatformException;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.TableService;
import io.nutmegseam.core.platform.Transaction;
import io.nutmegseam.node.claim.ClaimRegistry;
import io.nutmegseam.node.claim.GroupCommitter;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import okio.ByteString;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Calls that may run once, through two nodes with one table service. */
class ClaimFilterTest {
  private final MemoryTable table = new MemoryTable();
  private final GroupCommitter committer = new GroupCommitter(table);
  private final List<String> runs = new ArrayList<>();

  @AfterEach
  void stop() {
    committer.close();
  }

  // Guards against a payment that is answered 409 although its first answer has been given.
  @Test
  void should_answer_a_repeat_that_comes_as_soon_as_the_first_answer_is_given() throws Exception {
    // GIVEN a caller that repeats the call through another node once it has the answer
    RecordingSink repeated = new RecordingSink();
    RecordingSink first =
        new RecordingSink() {
          @Override
          public void sendResponse(
              int status, String contentType, ByteString body, Map<String, String> headers) {
            super.sendResponse(status, contentType, body, headers);
            call("node-b", "r2", repeated);
          }
        };
    // WHEN
    call("node-a", "r1", first);
    // THEN
    assertThat(first.responses).containsExactly("200 paid");
    assertThat(repeated.responses).containsExactly("200 paid");
    assertThat(runs).containsExactly("r1");
  }

  @Test
  void should_give_the_answer_although_the_outcome_cannot_be_recorded() {
    // GIVEN
    RecordingSink sink = new RecordingSink();
    // WHEN the table service is away from the run on
    ClaimFilter filter = filter("node-a");
    run(
        filter,
        "r1",
        sink,
        (request, used) -> {
          table.away = true;
          return pay(request, used);
        });
    // THEN
    assertThat(sink.responses).containsExactly("200 paid");
  }

  @Test
  void should_reject_a_repeat_while_the_call_runs() {
    // GIVEN
    RecordingSink sink = new RecordingSink();
    // WHEN
    run(
        filter("node-a"),
        "r1",
        sink,
        (request, used) -> {
          assertThatThrownBy(
                  () -> filter("node-b").apply(request("r2"), new RecordingSink(), this::pay))
              .isInstanceOfSatisfying(
                  RequestException.class,
                  e -> assertThat(e.kind()).isEqualTo(ErrorKind.CALL_IN_PROGRESS));
          return pay(request, used);
        });
    // THEN
    assertThat(runs).containsExactly("r1");
  }

  private void call(String node, String id, ResponseSink sink) {
    run(filter(node), id, sink, this::pay);
  }

  private void run(ClaimFilter filter, String id, ResponseSink sink, Filter.Next next) {
    try {
      filter.apply(request(id), sink, next);
    } catch (RequestException e) {
      sink.sendResponse(409, "text/plain", ByteString.encodeUtf8(e.kind().name()), Map.of());
    }
  }

  private SentResponse pay(CallerRequest request, ResponseSink sink) {
    runs.add(request.id());
    ByteString body = ByteString.encodeUtf8("paid");
    sink.sendResponse(200, "text/plain", body, Map.of());
    return new SentResponse("s", 200, "text/plain", body, 0);
  }

  private ClaimFilter filter(String node) {
    return new ClaimFilter(
        new ClaimRegistry(
            node,
            node + "-1",
            table,
            committer,
            row -> true,
            1_000,
            Clock.fixed(Instant.EPOCH, ZoneOffset.UTC),
            (kind, subject, detail) -> {}));
  }

  private static CallerRequest request(String id) {
    return new CallerRequest(
        id,
        "caller",
        CallerRequest.Kind.SERVICE,
        "payments",
        "POST",
        "/pay",
        "application/json",
        ByteString.EMPTY,
        "fingerprint",
        CallerRequest.Size.none(),
        false,
        true,
        false,
        Optional.of("family-7"),
        1_000,
        Optional.empty(),
        0);
  }

  private static class RecordingSink implements ResponseSink {
    private final List<String> responses = new ArrayList<>();

    @Override
    public boolean isStarted() {
      return !responses.isEmpty();
    }

    @Override
    public void sendResponse(
        int status, String contentType, ByteString body, Map<String, String> headers) {
      responses.add(status + " " + body.utf8());
    }

    @Override
    public boolean sendEvent(String event) {
      throw new UnsupportedOperationException(event);
    }

    @Override
    public void endStream() {}
  }

  private static final class MemoryTable implements TableService {
    private final Map<String, Row> rowByKey = new TreeMap<>();
    private long version;
    private boolean away;

    @Override
    public synchronized CommitResult commit(Transaction transaction) throws PlatformException {
      checkAvailable();
      boolean expected =
          transaction.checks().stream()
              .allMatch(
                  check ->
                      Optional.ofNullable(rowByKey.get(check.key())).map(Row::version).orElse(0L)
                          == check.version());
      if (expected) {
        version++;
        transaction
            .puts()
            .forEach(put -> rowByKey.put(put.key(), new Row(put.key(), put.value(), version)));
      }
      return new CommitResult(expected, version);
    }

    @Override
    public synchronized List<Row> range(String prefix, long sinceVersion, int limit)
        throws PlatformException {
      checkAvailable();
      return rowByKey.values().stream().filter(row -> row.key().startsWith(prefix)).toList();
    }

    private void checkAvailable() throws PlatformException {
      if (away) {
        throw new PlatformException("away", false);
      }
    }
  }
}
