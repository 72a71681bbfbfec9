package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.node.connection.ProcessCheck;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ListenerWatchTest extends ListenerWatchFixture {
  @Nested
  class Looks {
    @Test
    void should_not_look_at_a_server_that_is_not_leaving() {
      // GIVEN
      begin();
      // WHEN
      advance(10 * ListenerWatch.LOOK_INTERVAL_MILLIS);
      // THEN
      assertThat(lookedAt).isEmpty();
    }

    @Test
    void should_look_at_once_if_the_server_is_leaving_at_the_head_of_the_response() {
      // GIVEN
      leave(server);
      // WHEN
      begin();
      // THEN
      assertThat(lookedAt).containsExactly(server.incarnation());
    }

    @Test
    void should_look_within_an_interval_after_the_server_is_known_to_be_leaving() {
      // GIVEN
      begin();
      advance(ListenerWatch.LOOK_INTERVAL_MILLIS / 2);
      leave(server);
      // WHEN
      advance(ListenerWatch.LOOK_INTERVAL_MILLIS);
      // THEN
      assertThat(lookedAt).containsExactly(server.incarnation());
    }

    @Test
    void should_look_once_an_interval_for_all_responses_of_a_process() {
      // GIVEN
      leave(server);
      begin();
      begin();
      answer(ACCEPTED);
      // WHEN
      for (int i = 0; i < 3; i++) {
        advance(ListenerWatch.LOOK_INTERVAL_MILLIS);
        answer(ACCEPTED);
      }
      // THEN
      assertThat(lookedAt).hasSize(4);
    }

    @Test
    void should_not_look_again_before_the_process_has_answered() {
      // GIVEN
      leave(server);
      begin();
      // WHEN
      advance(10 * ListenerWatch.LOOK_INTERVAL_MILLIS);
      // THEN
      assertThat(lookedAt).hasSize(1);
    }

    @Test
    void should_look_at_each_process_with_a_response_in_progress_until_it_ends() {
      // GIVEN
      ServerEntry other = server("b");
      leave(server);
      leave(other);
      ListenerWatch.Response ended = begin();
      watch.begin(other, SENT_MILLIS);
      answer(ACCEPTED);
      answer(ACCEPTED);
      lookedAt.clear();
      ended.close();
      // WHEN
      advance(ListenerWatch.LOOK_INTERVAL_MILLIS);
      // THEN
      assertThat(lookedAt).containsExactly(other.incarnation());
    }

    @Test
    void should_schedule_nothing_once_all_responses_have_ended() {
      // GIVEN
      begin().close();
      // WHEN
      advance(ListenerWatch.LOOK_INTERVAL_MILLIS);
      // THEN
      assertThat(tasks).isEmpty();
    }
  }

  @Nested
  class Outcome {
    @ParameterizedTest
    @CsvSource({
      "true, ACCEPTED, LISTENS",
      "true, REFUSED, REFUSED",
      "true, NO_ANSWER, SILENT_LEAVING",
      "false, ACCEPTED, LISTENS",
      "false, REFUSED, REFUSED",
      "false, NO_ANSWER, SILENT"
    })
    void should_follow_the_answer_after_the_end_if_the_server_listened_before(
        boolean isLeaving, String answer, ProcessCheck expected) {
      // GIVEN
      if (isLeaving) {
        leave(server);
      }
      ListenerWatch.Response response = begin();
      if (isLeaving) {
        answer(ACCEPTED);
      }
      response.onConnectionEnded();
      // THEN
      Optional<Boolean> listens =
          switch (answer) {
            case "ACCEPTED" -> ACCEPTED;
            case "REFUSED" -> REFUSED;
            default -> NO_ANSWER;
          };
      assertThat(check(response, listens)).isEqualTo(expected);
    }

    @Test
    void should_tell_a_server_that_stopped_listening_during_the_response() {
      // GIVEN
      leave(server);
      ListenerWatch.Response response = begin();
      answer(ACCEPTED);
      advance(ListenerWatch.LOOK_INTERVAL_MILLIS);
      answer(REFUSED);
      advance(SETTLE_MILLIS);
      // WHEN
      response.onConnectionEnded();
      // THEN
      assertThat(check(response, REFUSED)).isEqualTo(ProcessCheck.STOPPED_BEFORE);
    }

    // Guards against ended processes whose refusal is seen before the end of their connections.
    @ParameterizedTest
    @ValueSource(longs = {0, SETTLE_MILLIS - 1})
    void should_not_count_a_refusal_right_before_the_end(long millis) {
      // GIVEN
      leave(server);
      ListenerWatch.Response response = begin();
      answer(ACCEPTED);
      advance(ListenerWatch.LOOK_INTERVAL_MILLIS);
      answer(REFUSED);
      advance(millis);
      // WHEN
      response.onConnectionEnded();
      advance(SETTLE_MILLIS);
      // THEN
      assertThat(check(response, REFUSED)).isEqualTo(ProcessCheck.REFUSED);
    }

    // Guards against ended processes whose connections are not read from, for a slow caller.
    @Test
    void should_not_count_a_refusal_while_the_connection_is_not_read_from() {
      // GIVEN
      leave(server);
      ListenerWatch.Response response = begin();
      answer(ACCEPTED);
      advance(ListenerWatch.LOOK_INTERVAL_MILLIS);
      response.onReading(false);
      answer(REFUSED);
      response.onReading(true);
      advance(SETTLE_MILLIS);
      // WHEN
      response.onConnectionEnded();
      // THEN
      assertThat(check(response, REFUSED)).isEqualTo(ProcessCheck.REFUSED);
    }

    @Test
    void should_count_a_refusal_after_the_connection_is_read_from_again() {
      // GIVEN
      leave(server);
      ListenerWatch.Response response = begin();
      answer(ACCEPTED);
      response.onReading(false);
      response.onReading(true);
      advance(ListenerWatch.LOOK_INTERVAL_MILLIS);
      answer(REFUSED);
      advance(SETTLE_MILLIS);
      // WHEN
      response.onConnectionEnded();
      // THEN
      assertThat(check(response, REFUSED)).isEqualTo(ProcessCheck.STOPPED_BEFORE);
    }

    @Test
    void should_count_a_look_at_the_head_that_is_answered_after_the_end() {
      // GIVEN
      leave(server);
      ListenerWatch.Response response = begin();
      // WHEN
      response.onConnectionEnded();
      answer(REFUSED);
      // THEN
      assertThat(check(response, REFUSED)).isEqualTo(ProcessCheck.STOPPED_BEFORE);
    }

    // Guards against processes that ended before a late node read the head of their response.
    @ParameterizedTest
    @CsvSource({"true, false", "false, true"})
    void should_not_count_a_look_at_the_head_if_the_node_was_late(
        boolean lateAtHead, boolean lateAtAnswer) {
      // GIVEN
      leave(server);
      late = lateAtHead;
      ListenerWatch.Response response = begin();
      late = lateAtAnswer;
      answer(REFUSED);
      late = false;
      // WHEN
      response.onConnectionEnded();
      // THEN
      assertThat(check(response, REFUSED)).isEqualTo(ProcessCheck.REFUSED);
    }

    @Test
    void should_count_a_refusal_after_the_head_if_the_response_of_a_late_node_goes_on() {
      // GIVEN
      leave(server);
      late = true;
      ListenerWatch.Response response = begin();
      answer(REFUSED);
      advance(SETTLE_MILLIS);
      // WHEN
      response.onConnectionEnded();
      // THEN
      assertThat(check(response, REFUSED)).isEqualTo(ProcessCheck.STOPPED_BEFORE);
    }

    // Guards against ended processes that look as if they had stopped listening before.
    @Test
    void should_not_count_a_look_that_began_after_the_end() {
      // GIVEN
      leave(server);
      ListenerWatch.Response response = begin();
      answer(ACCEPTED);
      response.onConnectionEnded();
      // WHEN
      advance(ListenerWatch.LOOK_INTERVAL_MILLIS);
      answer(REFUSED);
      // THEN
      assertThat(check(response, REFUSED)).isEqualTo(ProcessCheck.REFUSED);
    }

    // Guards against a refusal of a moment, as in a cut, that hides the end of the process.
    @Test
    void should_forget_a_refusal_once_the_server_listens_again() {
      // GIVEN
      leave(server);
      ListenerWatch.Response response = begin();
      answer(REFUSED);
      advance(SETTLE_MILLIS + ListenerWatch.LOOK_INTERVAL_MILLIS);
      answer(ACCEPTED);
      // WHEN
      response.onConnectionEnded();
      // THEN
      assertThat(check(response, REFUSED)).isEqualTo(ProcessCheck.REFUSED);
    }

    @Test
    void should_count_a_refusal_for_each_response_of_the_process() {
      // GIVEN
      leave(server);
      ListenerWatch.Response first = begin();
      ListenerWatch.Response last = begin();
      answer(ACCEPTED);
      advance(ListenerWatch.LOOK_INTERVAL_MILLIS);
      answer(REFUSED);
      advance(SETTLE_MILLIS);
      first.onConnectionEnded();
      first.close();
      // WHEN
      last.onConnectionEnded();
      // THEN
      assertThat(check(last, REFUSED)).isEqualTo(ProcessCheck.STOPPED_BEFORE);
    }
  }
}
