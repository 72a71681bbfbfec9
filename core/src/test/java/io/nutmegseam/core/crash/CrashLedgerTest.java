package io.nutmegseam.core.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against blaming the wrong requests for crashes of servers, and against blaming none. */
class CrashLedgerTest {
  private static final String SOFTWARE = "s v1";
  private static final long SETTLED_MILLIS = 1_000;
  private static final long MINUTE_MILLIS = 60_000;

  @Nested
  class Verdicts {
    @Test
    void should_condemn_what_ran_at_three_crashes() {
      CrashLedger ledger = crashes(CrashLedger.empty(), "cause other1", "cause", "cause other2");
      assertThat(condemned(ledger.settle(SETTLED_MILLIS, 0))).containsExactly(id("cause"));
    }

    @Test
    void should_wait_for_reports_of_successful_runs() {
      CrashLedger ledger = crashes(CrashLedger.empty(), "cause", "cause", "cause");
      assertThat(condemned(ledger.settle(100, 0))).isEmpty();
    }

    @Test
    void should_count_a_crash_once_that_several_nodes_report() {
      CrashLedger ledger = CrashLedger.empty();
      for (int i = 0; i < 3; i++) {
        ledger = ledger.withCrash(report("p", "cause node" + i), 0, 0);
      }
      assertThat(condemned(ledger.settle(SETTLED_MILLIS, 0))).isEmpty();
    }

    @Test
    void should_condemn_nothing_at_crashes_without_a_common_suspect() {
      CrashLedger ledger = crashes(CrashLedger.empty(), "a b", "b c", "c a", "d");
      assertThat(condemned(ledger.settle(SETTLED_MILLIS, 0))).isEmpty();
    }

    @Test
    void should_condemn_only_the_cause_of_most_crashes_that_others_ran_beside() {
      // GIVEN a neighbour that ran beside the cause at three of four crashes
      CrashLedger ledger =
          crashes(
              CrashLedger.empty(), "cause beside", "cause beside", "cause beside", "cause other");
      // THEN
      assertThat(condemned(ledger.settle(SETTLED_MILLIS, 0))).containsExactly(id("cause"));
    }

    @Test
    void should_condemn_two_causes_of_different_crashes() {
      CrashLedger ledger = crashes(CrashLedger.empty(), "a", "a", "a", "b", "b", "b");
      assertThat(condemned(ledger.settle(SETTLED_MILLIS, 0)))
          .containsExactlyInAnyOrder(id("a"), id("b"));
    }

    @Test
    void should_lift_a_verdict_if_a_process_had_not_crashed() {
      // GIVEN
      CrashLedger ledger =
          crashes(CrashLedger.empty(), "cause", "cause", "cause").settle(SETTLED_MILLIS, 0);
      // WHEN
      CrashLedger after = ledger.withoutCrash("p0", 0);
      // THEN
      assertThat(condemned(after.settle(SETTLED_MILLIS, 0))).isEmpty();
    }

    @Test
    void should_end_a_verdict_when_no_request_comes() {
      CrashLedger ledger =
          crashes(CrashLedger.empty(), "cause", "cause", "cause").settle(SETTLED_MILLIS, 0);
      assertThat(condemned(ledger.settle(9 * MINUTE_MILLIS, 9 * MINUTE_MILLIS))).isNotEmpty();
      assertThat(ledger.settle(11 * MINUTE_MILLIS, 11 * MINUTE_MILLIS).verdicts()).isEmpty();
    }

    @Test
    void should_extend_a_verdict_while_requests_come() {
      // GIVEN
      CrashLedger ledger =
          crashes(CrashLedger.empty(), "cause", "cause", "cause").settle(SETTLED_MILLIS, 0);
      // WHEN a request comes every four minutes for an hour
      long nowMillis = 0;
      for (int i = 0; i < 15; i++) {
        nowMillis += 4 * MINUTE_MILLIS;
        ledger = ledger.settle(nowMillis, nowMillis).withRefusal(id("cause"), nowMillis);
      }
      // THEN
      assertThat(condemned(ledger)).containsExactly(id("cause"));
    }
  }

  /** Parts of prompts, which requests share: a digit says at which place the part stands. */
  @Nested
  class Parts {
    @Test
    void should_condemn_the_later_of_two_parts_that_ran_at_the_same_crashes() {
      CrashLedger ledger =
          crashes(CrashLedger.empty(), "a first0 bad1", "b first0 bad1", "c first0 bad1");
      assertThat(condemned(ledger.settle(SETTLED_MILLIS, 0))).containsExactly(id("bad1"));
    }

    @Test
    void should_not_condemn_the_first_part_for_crashes_that_a_later_part_explains() {
      // GIVEN a neighbour with the same first part, which has not run to its end of late
      CrashLedger ledger =
          crashes(
                  CrashLedger.empty(),
                  "a first0 bad1 n1 first0",
                  "b first0 bad1",
                  "c first0 bad1",
                  "d first0 bad1",
                  "e first0 bad1")
              .settle(SETTLED_MILLIS, 0);
      // WHEN a server crashes on its own while it runs the neighbour
      CrashLedger after = ledger.withCrash(report("other", "m first0 n1"), 0, 0);
      // THEN
      assertThat(condemned(after.settle(SETTLED_MILLIS, 0))).containsExactly(id("bad1"));
    }

    @Test
    void should_condemn_the_content_if_no_other_request_crashed_with_its_parts() {
      CrashLedger ledger =
          crashes(CrashLedger.empty(), "same first0 p1", "same first0 p1", "same first0 p1");
      assertThat(condemned(ledger.settle(SETTLED_MILLIS, 0))).containsExactly(id("same"));
    }

    @Test
    void should_condemn_a_part_after_the_content_by_the_fifth_crash() {
      // GIVEN the repeats of one request crashed three servers
      CrashLedger ledger =
          crashes(CrashLedger.empty(), "same f0 bad1", "same f0 bad1", "same f0 bad1")
              .settle(SETTLED_MILLIS, 0);
      // WHEN
      ledger =
          ledger
              .withSuccess(id("f0"), SOFTWARE, 0)
              .withCrash(report("p4", "b f0 bad1"), 0, 0)
              .withCrash(report("p5", "c f0 bad1"), 0, 0);
      // THEN
      assertThat(condemned(ledger.settle(SETTLED_MILLIS, 0))).contains(id("bad1"));
    }

    @Test
    void should_condemn_a_part_beside_sound_requests_that_share_the_first_one() {
      CrashLedger ledger =
          crashes(
                  CrashLedger.empty(),
                  "a f0 bad1 s f0 s1",
                  "b f0 bad1 s f0 s1",
                  "c f0 bad1 s f0 s1")
              .withSuccess(id("f0"), SOFTWARE, 0)
              .withSuccess(id("s1"), SOFTWARE, 0)
              .withSuccess(id("s"), SOFTWARE, 0);
      assertThat(condemned(ledger.settle(SETTLED_MILLIS, 0))).containsExactly(id("bad1"));
    }
  }

  @Nested
  class Successes {
    @Test
    void should_acquit_what_ran_to_its_end() {
      CrashLedger ledger =
          crashes(CrashLedger.empty(), "sound", "sound", "sound")
              .withSuccess(id("sound"), SOFTWARE, 0);
      assertThat(condemned(ledger.settle(SETTLED_MILLIS, 0))).isEmpty();
      assertThat(ledger.view().strikes()).isEmpty();
    }

    @Test
    void should_not_acquit_by_a_run_on_other_software() {
      CrashLedger ledger =
          crashes(CrashLedger.empty(), "cause", "cause", "cause")
              .withSuccess(id("cause"), "s v2", 0);
      assertThat(condemned(ledger.settle(SETTLED_MILLIS, 0))).containsExactly(id("cause"));
    }

    @Test
    void should_lift_the_verdict_on_what_ran_to_its_end_on_the_same_software() {
      CrashLedger ledger =
          crashes(CrashLedger.empty(), "sound", "sound", "sound")
              .settle(SETTLED_MILLIS, 0)
              .withSuccess(id("sound"), SOFTWARE, 0);
      assertThat(condemned(ledger.settle(SETTLED_MILLIS, 0))).isEmpty();
    }

    @Test
    void should_not_take_back_a_lifted_verdict_from_a_node_that_missed_it() {
      // GIVEN
      CrashLedger condemned =
          crashes(CrashLedger.empty(), "sound", "sound", "sound").settle(SETTLED_MILLIS, 0);
      CrashLedger lifted = condemned.withSuccess(id("sound"), SOFTWARE, 0);
      // WHEN
      CrashVerdict outdated = condemned.verdicts().iterator().next();
      // THEN
      assertThat(lifted.withVerdict(outdated, 0)).isSameAs(lifted);
    }
  }

  @Nested
  class Strikes {
    @Test
    void should_recognize_a_recorded_crash() {
      // GIVEN
      CrashLedger ledger = CrashLedger.empty().withCrash(report("s@1", "f"), 0, 0);
      // WHEN
      boolean recorded = ledger.isCrashRecorded("s@1");
      boolean unrecorded = ledger.isCrashRecorded("s@2");
      // THEN
      assertThat(recorded).isTrue();
      assertThat(unrecorded).isFalse();
    }

    @Test
    void should_count_a_crash_once_and_expire_it_after_the_retention_time() {
      // GIVEN
      CrashLedger ledger =
          CrashLedger.empty()
              .withCrash(report("s@1", "f"), 0, 0)
              .withCrash(report("s@1", "f"), 10, 10)
              .withCrash(report("t@1", "f"), 5 * MINUTE_MILLIS, 5 * MINUTE_MILLIS);
      // WHEN
      CrashLedger current = ledger.withoutExpired(6 * MINUTE_MILLIS, 0);
      CrashLedger later = ledger.withoutExpired(11 * MINUTE_MILLIS, 0);
      // THEN
      assertThat(current.view().strikes()).containsExactly(Map.entry(id("f"), 2));
      assertThat(later.view().strikes()).containsExactly(Map.entry(id("f"), 1));
    }
  }

  @Nested
  class Bounds {
    @Test
    void should_stay_bounded_with_a_million_distinct_suspects() {
      // GIVEN crashes, each with thousands of suspects of its own
      CrashLedger ledger = CrashLedger.empty();
      for (int crash = 0; crash < 500; crash++) {
        StringBuilder suspects = new StringBuilder();
        for (int i = 0; i < 2_000; i++) {
          suspects.append(crash * 2_000 + i).append("s").append(' ');
        }
        ledger = ledger.withCrash(report("p" + crash, suspects.toString().trim()), 0, 0);
      }
      // THEN
      long suspects = ledger.crashes().stream().mapToLong(c -> c.suspects().size()).sum();
      assertThat(ledger.crashes()).hasSizeLessThanOrEqualTo(128);
      assertThat(suspects).isLessThanOrEqualTo(128 * 256);
    }

    @Test
    void should_bound_the_number_of_verdicts() {
      CrashLedger ledger = CrashLedger.empty();
      for (int i = 0; i < 1_000; i++) {
        ledger =
            ledger.withVerdict(CrashVerdict.condemned(new Fingerprint(i), 1, Set.of(), 1 + i), 0);
      }
      assertThat(ledger.verdicts()).hasSizeLessThanOrEqualTo(128);
    }
  }

  private static CrashLedger crashes(CrashLedger ledger, String... suspectsOfCrash) {
    CrashLedger next = ledger;
    for (int i = 0; i < suspectsOfCrash.length; i++) {
      next = next.withCrash(report("p" + i, suspectsOfCrash[i]), 0, 0);
    }
    return next;
  }

  private static CrashReport report(String process, String suspects) {
    return new CrashReport(
        process,
        SOFTWARE,
        Arrays.stream(suspects.split(" ", -1))
            .collect(
                Collectors.toMap(CrashLedgerTest::id, CrashLedgerTest::specificity, (a, b) -> a)));
  }

  /** A digit at the end of a name is its specificity; without one it is that of a content. */
  private static int specificity(String name) {
    char last = name.charAt(name.length() - 1);
    return Character.isDigit(last) ? last - '0' : 100;
  }

  private static Fingerprint id(String name) {
    return Fingerprint.builder().add(name).build();
  }

  private static Set<Fingerprint> condemned(CrashLedger ledger) {
    return ledger.view().condemned().keySet();
  }
}
