package io.nutmegseam.node.rows;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.peer.generated.StoreAnswersAsk;
import io.nutmegseam.node.peer.generated.StoreAnswersReply;
import io.nutmegseam.node.rows.TableWatcherFixture.ManualClock;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OutageInquiryTest {
  private static final long POLL_MILLIS = 500;
  private static final long OBSERVED_MILLIS = 20_000;
  private static final long GAP_MILLIS = 6_000;
  private static final int SERVERS = 12;

  private final ManualClock clock = new ManualClock();
  private final Set<String> connected = new LinkedHashSet<>();
  private final List<String> receivers = new ArrayList<>();
  private final List<PeerFrame> sent = new ArrayList<>();
  private boolean alone;
  private long ownWrites;
  private long suspendedMillis;
  private long version;
  private boolean answeredMeanwhile;

  private final OutageInquiry inquiry =
      new OutageInquiry(
          new OutageInquiry.Dependencies(
              new PeerTransport() {
                @Override
                public boolean send(String node, PeerFrame.Builder frame) {
                  receivers.add(node);
                  sent.add(frame.build());
                  return true;
                }

                @Override
                public Set<String> connectedNodes() {
                  return Set.copyOf(connected);
                }
              },
              () -> alone,
              () -> ownWrites,
              clock,
              () -> clock.instant().plusMillis(suspendedMillis),
              new Random(1),
              (kind, subject, detail) -> {}));

  @BeforeEach
  void observeAnswers() {
    for (long millis = 0; millis < OBSERVED_MILLIS; millis += POLL_MILLIS) {
      answer(SERVERS / 2);
    }
  }

  /** Other nodes tell for how long the store has answered them. */
  @Nested
  class Others {
    @Test
    void should_conclude_that_the_store_answered_a_node_all_the_while() {
      // GIVEN
      connected.add("n2");
      gap(0);
      // WHEN
      reply(0, 100, GAP_MILLIS + 1_000);
      // THEN
      assertThat(answeredMeanwhile).isTrue();
    }

    @Test
    void should_not_conclude_it_from_a_node_that_saw_the_outage_too() {
      // GIVEN
      connected.add("n2");
      gap(0);
      // WHEN
      reply(0, 100, 400);
      // THEN
      assertThat(answeredMeanwhile).isFalse();
    }

    // Guards against a node that lost the store as well, and has not noticed its return yet.
    @Test
    void should_not_conclude_it_from_a_node_whose_last_answer_is_from_before_the_gap() {
      // GIVEN
      connected.add("n2");
      gap(0);
      // WHEN
      reply(0, GAP_MILLIS, 60_000);
      // THEN
      assertThat(answeredMeanwhile).isFalse();
    }

    // Guards against a reply that was on its way for long, as during a freeze.
    @ParameterizedTest
    @CsvSource({"200, true", "2400, false"})
    void should_count_the_time_that_the_reply_took(long delayMillis, boolean expected) {
      // GIVEN
      connected.add("n2");
      gap(0);
      // WHEN a span that covers the gap only if it was sent at once
      clock.nowMillis += delayMillis;
      reply(0, 100, GAP_MILLIS + 500);
      // THEN
      assertThat(answeredMeanwhile).isEqualTo(expected);
    }

    @Test
    void should_ask_a_node_that_connects_later() {
      // GIVEN
      gap(0);
      // WHEN
      connected.add("n2");
      clock.nowMillis += 50;
      inquiry.tick();
      inquiry.tick();
      // THEN
      assertThat(receivers).containsExactly("n2");
    }

    @Test
    void should_ignore_a_reply_of_another_node_than_the_asked_one() {
      // GIVEN
      connected.add("n2");
      gap(0);
      // WHEN
      inquiry.onFrame("n3", replyFrame(0, 100, GAP_MILLIS + 1_000));
      // THEN
      assertThat(answeredMeanwhile).isFalse();
    }

    // Guards against two outages of which only the second one is explained.
    @Test
    void should_explain_an_earlier_gap_together_with_the_next_one() {
      // GIVEN
      connected.add("n2");
      gap(0);
      gap(0);
      // WHEN
      reply(1, 100, GAP_MILLIS + 1_000);
      // THEN
      assertThat(answeredMeanwhile).isFalse();
    }

    @Test
    void should_tell_others_for_how_long_the_store_has_answered() {
      // WHEN
      inquiry.onFrame("n2", ask());
      // THEN
      StoreAnswersReply reply = sent.get(0).getStoreAnswersReply();
      assertThat(reply.getId()).isEqualTo(5);
      assertThat(reply.getAgeMillis()).isZero();
      assertThat(reply.getLengthMillis()).isEqualTo(OBSERVED_MILLIS - POLL_MILLIS);
    }

    @Test
    void should_tell_others_of_no_time_before_a_gap_that_is_not_explained() {
      // GIVEN
      gap(0);
      // WHEN
      inquiry.onFrame("n2", ask());
      // THEN
      assertThat(sent.get(0).getStoreAnswersReply().getLengthMillis()).isZero();
    }

    // Guards against an outage that a node denies since it was suspended meanwhile.
    @Test
    void should_tell_others_of_no_time_before_a_suspension() {
      // GIVEN
      suspendedMillis = GAP_MILLIS;
      // WHEN
      inquiry.onFrame("n2", ask());
      answer(0);
      inquiry.onFrame("n2", ask());
      // THEN
      assertThat(sent).hasSize(1);
      assertThat(sent.get(0).getStoreAnswersReply().getLengthMillis()).isZero();
    }

    private PeerFrame ask() {
      return PeerFrame.newBuilder()
          .setStoreAnswersAsk(StoreAnswersAsk.newBuilder().setId(5))
          .build();
    }
  }

  /** No other node is registered. Servers check in each second. */
  @Nested
  class Alone {
    @BeforeEach
    void setAlone() {
      alone = true;
    }

    @Test
    void should_conclude_that_the_store_was_not_away_from_check_ins() {
      // WHEN
      gap((int) (SERVERS * GAP_MILLIS / 1_000));
      // THEN
      assertThat(answeredMeanwhile).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"0", "1", "2"})
    void should_not_conclude_it_from_check_ins_after_an_outage(int rounds) {
      // WHEN
      gap(SERVERS * rounds);
      // THEN
      assertThat(answeredMeanwhile).isFalse();
    }

    // Guards against writes of this node that look like those of servers.
    @Test
    void should_not_count_its_own_writes() {
      // GIVEN
      ownWrites += SERVERS * GAP_MILLIS / 1_000;
      // WHEN
      gap((int) (SERVERS * GAP_MILLIS / 1_000));
      // THEN
      assertThat(answeredMeanwhile).isFalse();
    }

    // Guards against check-ins during a suspension that look like those during an outage.
    @Test
    void should_not_conclude_it_from_check_ins_while_this_node_was_suspended() {
      // GIVEN
      suspendedMillis = GAP_MILLIS;
      // WHEN
      gap((int) (SERVERS * GAP_MILLIS / 1_000));
      // THEN
      assertThat(answeredMeanwhile).isFalse();
    }

    // Guards against a pace that counts the check-ins during a suspension, but not its time.
    @Test
    void should_not_count_check_ins_during_a_suspension_toward_the_pace() {
      // GIVEN
      suspendedMillis = 60_000;
      answer((int) (SERVERS * suspendedMillis / 1_000));
      answer(SERVERS / 2);
      // WHEN
      gap((int) (SERVERS * GAP_MILLIS / 1_000));
      // THEN
      assertThat(answeredMeanwhile).isTrue();
    }

    @Test
    void should_expect_no_check_ins_of_servers_that_have_left() {
      // WHEN half of the servers leave at the beginning of the gap
      gap((int) (SERVERS * GAP_MILLIS / 1_000 / 2), SERVERS / 2);
      // THEN
      assertThat(answeredMeanwhile).isTrue();
    }
  }

  private void answer(int writes) {
    clock.nowMillis += POLL_MILLIS;
    version += writes;
    inquiry.onAnswer(new AnswerObserver.State(clock.millis(), version, SERVERS));
  }

  private void gap(int writes) {
    gap(writes, 0);
  }

  /** Hears of no answer for some time, in which others write to the store. */
  private void gap(int writes, int removedRows) {
    AnswerObserver.State before = new AnswerObserver.State(clock.millis(), version, SERVERS);
    clock.nowMillis += GAP_MILLIS;
    version += writes;
    AnswerObserver.State after =
        new AnswerObserver.State(clock.millis(), version, SERVERS - removedRows);
    inquiry.onGap(
        new AnswerObserver.Gap(before, after, removedRows), () -> answeredMeanwhile = true);
  }

  private void reply(int question, long ageMillis, long lengthMillis) {
    inquiry.onFrame("n2", replyFrame(question, ageMillis, lengthMillis));
  }

  private PeerFrame replyFrame(int question, long ageMillis, long lengthMillis) {
    return PeerFrame.newBuilder()
        .setStoreAnswersReply(
            StoreAnswersReply.newBuilder()
                .setId(sent.get(question).getStoreAnswersAsk().getId())
                .setAgeMillis(ageMillis)
                .setLengthMillis(lengthMillis))
        .build();
  }
}
