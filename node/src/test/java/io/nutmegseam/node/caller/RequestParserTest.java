package io.nutmegseam.node.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.nutmegseam.core.config.Catalog;
import io.nutmegseam.core.config.RecordChange;
import io.nutmegseam.core.config.RecordKind;
import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.node.settings.NodeSettings;
import io.nutmegseam.node.settings.SettingsParser;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import okio.ByteString;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.threeten.extra.MutableClock;

class RequestParserTest {
  private static final String CHAT_PATH = "/v1/chat/completions";
  private static final String VALID_BODY =
      "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";
  private static final MutableClock CLOCK = MutableClock.of(Instant.EPOCH, ZoneOffset.UTC);

  @Nested
  class InvalidRequests {
    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        quoteCharacter = '`',
        value = {
          "{|BAD_REQUEST",
          "[]|BAD_REQUEST",
          "{\"model\":\"m\",\"model\":\"m\"}|BAD_REQUEST",
          "{\"model\":\"m\"}|BAD_REQUEST",
          "{\"model\":\"m\",\"messages\":[]}|BAD_REQUEST",
          "{\"model\":\"m\",\"messages\":[{}],\"max_tokens\":0}|BAD_REQUEST",
          "{\"model\":\"other\",\"messages\":[{}]}|UNKNOWN_MODEL"
        })
    void should_report_error_kind_of_invalid_body(String body, ErrorKind kind) {
      // WHEN
      RequestException error = error(CHAT_PATH, body, Map.of());
      // THEN
      assertThat(error.kind()).isEqualTo(kind);
    }

    @ParameterizedTest
    @CsvSource({
      "X-Deadline-Millis,0,HEADER_OUT_OF_RANGE",
      "X-Deadline-Millis,soon,HEADER_OUT_OF_RANGE",
      "X-Deadline-Millis,86400001,HEADER_OUT_OF_RANGE",
      "X-Priority,urgent,HEADER_OUT_OF_RANGE",
      "Idempotency-Key,a b,HEADER_OUT_OF_RANGE",
      "Content-Type,multipart/form-data,BAD_REQUEST"
    })
    void should_report_error_kind_of_invalid_header(String name, String value, ErrorKind kind) {
      // WHEN
      RequestException error = error(CHAT_PATH, VALID_BODY, Map.of(name, value));
      // THEN
      assertThat(error.kind()).isEqualTo(kind);
    }

    @Test
    void should_reject_body_over_the_limit() {
      // GIVEN
      String body = VALID_BODY + " ".repeat(2_000);
      // WHEN
      RequestException error = error(CHAT_PATH, body, Map.of());
      // THEN
      assertThat(error.kind()).isEqualTo(ErrorKind.BODY_TOO_LARGE);
      assertThat(error).hasMessageContaining("the limit is 1000");
    }

    @Test
    void should_reject_caller_with_unknown_key() {
      // GIVEN
      RequestParser parser = parser("[{\"name\":\"school\",\"key\":\"secret\"}]");
      // WHEN
      RequestException error =
          catchThrowableOfType(
              RequestException.class,
              () ->
                  parser.parse(
                      "id", raw(CHAT_PATH, VALID_BODY, Map.of("Authorization", "Bearer x"))));
      // THEN
      assertThat(error.kind()).isEqualTo(ErrorKind.UNAUTHENTICATED);
    }

    private RequestException error(String path, String body, Map<String, String> headers) {
      return catchThrowableOfType(
          RequestException.class, () -> parser("[]").parse("id", raw(path, body, headers)));
    }
  }

  @Nested
  class ValidRequests {
    @Test
    void should_convert_remaining_time_to_monotonic_deadline() throws RequestException {
      // WHEN
      CallerRequest request =
          parser("[]").parse("id", raw(CHAT_PATH, VALID_BODY, Map.of("X-Deadline-Millis", "1500")));
      // THEN
      assertThat(request.deadlineMillis()).isEqualTo(CLOCK.millis() + 1_500);
    }

    @Test
    void should_identify_caller_by_its_key() throws RequestException {
      // GIVEN
      RequestParser parser = parser("[{\"name\":\"school\",\"key\":\"secret\"}]");
      // WHEN
      CallerRequest request =
          parser.parse("id", raw(CHAT_PATH, VALID_BODY, Map.of("Authorization", "Bearer secret")));
      // THEN
      assertThat(request.caller()).isEqualTo("school");
    }
  }

  private static RequestParser parser(String callers) {
    String settings =
        """
        {"node":"n","vm":"v","dataCentre":"d","callerAddress":"127.0.0.1:1",
         "operatorAddress":"127.0.0.1:2","peerAddress":"127.0.0.1:3",
         "platformAddress":"http://h","bodyBytes":1000,"callers":%s}
        """
            .formatted(callers);
    NodeSettings parsed = SettingsParser.parse(settings, new ArrayList<>()).orElseThrow();
    String model =
        "{\"schemaVersion\":2,\"kind\":\"Model\",\"name\":\"m\",\"memoryBytes\":1,"
            + "\"maxReplicas\":1}";
    Catalog catalog =
        Catalog.empty()
            .withChanges(
                1, List.of(new RecordChange(RecordKind.MODEL, "m", 1, Optional.of(model))));
    return new RequestParser(parsed, () -> catalog, CLOCK);
  }

  private static RawRequest raw(String path, String body, Map<String, String> headers) {
    return new RawRequest(
        "POST",
        path,
        "",
        name -> Optional.ofNullable(headers.get(name)),
        ByteString.encodeUtf8(body));
  }
}
