package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.gateway.RequestKind;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Guards against requests that crash servers by one part of their prompts, which are sent to
 * servers again and again since no two of them are alike.
 */
@Execution(ExecutionMode.CONCURRENT)
class CrashingPartTest {
  /** Time after which all nodes must know what the crashes show. */
  private static final long STABLE_MILLIS = 3_000;

  /** Number of crashes after which requests with the part may be sent a few more times only. */
  private static final int CRASHES = 5;

  private static final int MAX_LATER_ARRIVALS = 3;
  private static final int SERVERS = 10;
  private static final CrashingServers.Timing TIMING = new CrashingServers.Timing(3_600, 2_000);

  private static final String BAD = "prompt: f00d:96,bad:30,c{n}:200\r\n";
  private static final String SOUND = "prompt: f00d:96,5e55{n}:30,d{n}:200\r\n";

  @Nested
  class NoTwoAlike {
    @Test
    void should_not_send_requests_with_a_part_to_servers_after_it_crashed_five() throws Exception {
      try (CrashScenario scenario = scenario(RequestKind.STREAMING, false)) {
        play(scenario, 32);
        check(scenario);
      }
    }

    @Test
    void should_not_resume_streams_with_a_part_that_crashed_five_servers() throws Exception {
      try (CrashScenario scenario = scenario(RequestKind.STREAMING, true)) {
        play(scenario, 32);
        check(scenario);
      }
    }

    @Test
    void should_not_send_them_after_a_node_has_restarted() throws Exception {
      try (CrashScenario scenario = scenario(RequestKind.STREAMING, false)) {
        // GIVEN
        play(scenario, 28);
        long restartMillis = System.currentTimeMillis();
        // WHEN
        scenario.cluster().stop("n2");
        scenario.cluster().start("n2");
        play(scenario, 8);
        // THEN
        assertThat(scenario.arrivalsSince(restartMillis, ",bad:"))
            .isLessThanOrEqualTo(MAX_LATER_ARRIVALS);
      }
    }
  }

  /** Servers of another software version appear after the verdict. */
  @Nested
  class NewVersion {
    @Test
    void should_serve_requests_with_the_part_on_a_version_that_does_not_crash() throws Exception {
      try (CrashScenario scenario = scenario(RequestKind.STREAMING, false)) {
        // GIVEN
        play(scenario, 8);
        scenario.results("");
        // WHEN
        scenario.servers().addServerOfNewVersion(head -> false);
        Thread.sleep(1_500);
        long versionMillis = System.currentTimeMillis();
        play(scenario, 12);
        // THEN requests are served, none of them by the old version
        assertThat(scenario.servedShare("bad", versionMillis + 1_000)).isGreaterThan(0.9);
        assertThat(scenario.servers().crashMillis().stream().filter(at -> at > versionMillis))
            .isEmpty();
      }
    }

    @Test
    void should_try_one_request_on_a_version_that_crashes_as_well() throws Exception {
      try (CrashScenario scenario = scenario(RequestKind.STREAMING, true)) {
        // GIVEN
        play(scenario, 8);
        scenario.results("");
        // WHEN
        scenario
            .servers()
            .addServerOfNewVersion(head -> StubServer.header(head, "prompt").contains(",bad:"));
        long versionMillis = System.currentTimeMillis();
        play(scenario, 24);
        scenario.results("");
        // THEN
        assertThat(scenario.arrivalsSince(versionMillis, ",bad:")).isLessThanOrEqualTo(1);
      }
    }
  }

  /** Sound requests share the first part with those that crash servers, and parts among them. */
  @Nested
  class Sound {
    @Test
    void should_serve_sound_requests_as_often_as_without_the_fault() throws Exception {
      double shareWithFault;
      double shareWithout;
      try (CrashScenario scenario = scenario(RequestKind.STREAMING, false)) {
        play(scenario, 24);
        scenario.results("");
        long verdictMillis = scenario.servers().crashMillis().get(2) + 500;
        shareWithFault = scenario.servedShare("sound", verdictMillis);
      }
      try (CrashScenario scenario = scenario(RequestKind.STREAMING, false)) {
        scenario.sendEvery(25, 24 * 8, "sound", "y-{n}", SOUND);
        shareWithout = scenario.servedShare("sound", 0);
      }
      assertThat(shareWithFault).isGreaterThan(shareWithout - 0.02);
    }

    @Test
    void should_condemn_no_part_for_crashes_of_other_causes() throws Exception {
      try (CrashScenario scenario = scenario(RequestKind.STREAMING, false)) {
        // GIVEN a few parts that all requests share, and servers that crash on their own
        for (int i = 0; i < 6; i++) {
          for (int session = 0; session < 20; session++) {
            String prompt = "prompt: f00d:96,5e55%d:30,e%d-%d:200\r\n";
            scenario.send(
                "sound",
                session,
                "z-" + i + "-" + session,
                prompt.formatted(session % 4, i, session));
            Thread.sleep(10);
          }
          scenario.servers().crash(i);
        }
        Thread.sleep(500);
        // WHEN
        long calmMillis = System.currentTimeMillis();
        for (int session = 0; session < 40; session++) {
          String prompt = "prompt: f00d:96,5e55%d:30,g%d:200\r\n";
          scenario.send("sound", session, "w-" + session, prompt.formatted(session % 4, session));
          Thread.sleep(10);
        }
        // THEN
        assertThat(scenario.servedShare("sound", calmMillis)).isGreaterThan(0.95);
      }
    }
  }

  /** Sends requests with the part at all nodes, beside sound ones with the same first part. */
  private static void play(CrashScenario scenario, int rounds) throws InterruptedException {
    for (int i = 0; i < rounds; i++) {
      String number = System.nanoTime() + "-" + i;
      scenario.send("bad", i % 3, "x-" + number, BAD.replace("{n}", number));
      scenario.sendEvery(25, 8, "sound", "y-" + number + "-{n}", SOUND);
    }
  }

  private static void check(CrashScenario scenario) throws Exception {
    scenario.results("");
    List<Long> crashes = scenario.servers().crashMillis();
    assertThat(crashes).hasSizeGreaterThanOrEqualTo(3);
    long lastMillis = crashes.get(Math.min(CRASHES, crashes.size()) - 1);
    assertThat(scenario.arrivalsSince(lastMillis + STABLE_MILLIS, ",bad:"))
        .as(
            "arrivals later than %d ms after %d of %d crashes",
            STABLE_MILLIS, CRASHES, crashes.size())
        .isLessThanOrEqualTo(MAX_LATER_ARRIVALS);
    assertThat(scenario.servedShare("sound", lastMillis + 1_000)).isGreaterThan(0.95);
  }

  private static CrashScenario scenario(RequestKind kind, boolean resumable) throws Exception {
    return new CrashScenario(
        TestGateway.route(kind, resumable),
        SERVERS,
        TIMING,
        head -> StubServer.header(head, "prompt").contains(",bad:"));
  }
}
