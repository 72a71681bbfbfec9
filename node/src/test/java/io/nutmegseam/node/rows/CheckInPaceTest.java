package io.nutmegseam.node.rows;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class CheckInPaceTest {
  private static final int SERVERS = 4;
  private static final long INTERVAL_MILLIS = 1_200;
  private static final long POLL_MILLIS = 500;

  /** Guards against cuts that are taken for outages since all servers check in together. */
  @Property
  void should_show_check_ins_of_servers_that_went_on(
      @ForAll @IntRange(min = 4_200, max = 60_000) int observedMillis,
      @ForAll @IntRange(max = 1_199) int phaseMillis,
      @ForAll @IntRange(min = 2_500, max = 8_000) int gapMillis) {
    CheckInPace pace = observe(observedMillis, phaseMillis);
    assertThat(
            pace.showsCheckIns(
                new CheckInPace.Interval(
                    gapMillis, writes(observedMillis, gapMillis, phaseMillis), SERVERS)))
        .isTrue();
  }

  /** Guards against cuts that are taken for outages since three check-ins give a rough pace. */
  @Example
  void should_show_check_ins_if_the_observed_pace_is_known_to_a_poll_only() {
    int observedMillis = 4_200;
    int phaseMillis = 600;
    int gapMillis = 7_000;
    assertThat(
            observe(observedMillis, phaseMillis)
                .showsCheckIns(
                    new CheckInPace.Interval(
                        gapMillis, writes(observedMillis, gapMillis, phaseMillis), SERVERS)))
        .isTrue();
  }

  /** Guards against servers that are dropped although their entries lapsed with the store. */
  @Property
  void should_not_show_check_ins_of_servers_that_were_silent_for_four_intervals(
      @ForAll @IntRange(min = 4_200, max = 60_000) int observedMillis,
      @ForAll @IntRange(max = 1_199) int phaseMillis,
      @ForAll @IntRange(max = 2_000) int answeredLateMillis) {
    CheckInPace pace = observe(observedMillis, phaseMillis);
    long outageMillis = 4 * INTERVAL_MILLIS;
    assertThat(
            pace.showsCheckIns(
                new CheckInPace.Interval(
                    outageMillis + answeredLateMillis,
                    writes(observedMillis, answeredLateMillis, phaseMillis),
                    SERVERS)))
        .isFalse();
  }

  /** Observes servers that check in together until a time. */
  private static CheckInPace observe(int untilMillis, int phaseMillis) {
    CheckInPace pace = new CheckInPace();
    for (long millis = 0; millis + POLL_MILLIS <= untilMillis; millis += POLL_MILLIS) {
      pace.observe(
          new CheckInPace.Interval(POLL_MILLIS, writes(millis, POLL_MILLIS, phaseMillis), SERVERS));
    }
    return pace;
  }

  private static long writes(long fromMillis, long lengthMillis, int phaseMillis) {
    long rounds =
        (fromMillis + lengthMillis + phaseMillis) / INTERVAL_MILLIS
            - (fromMillis + phaseMillis) / INTERVAL_MILLIS;
    return rounds * SERVERS;
  }
}
