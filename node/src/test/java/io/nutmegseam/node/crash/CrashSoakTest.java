package io.nutmegseam.node.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against late arrivals of requests that crash servers, and against refused sound ones,
 * under faults that are drawn from a seed: data centres are cut off, nodes and all nodes are
 * restarted, the store is away or returns without the verdicts, and servers crash on their own.
 * More seeds: {@code mvn -pl core,node verify -Dtest=CrashSoakTest -Dcrashes.seed=N
 * -Dcrashes.seeds=K}.
 */
class CrashSoakTest {
  private static final long FIRST_SEED = Long.getLong("crashes.seed", 1);
  private static final int SEEDS = Integer.getInteger("crashes.seeds", 40);
  private static final long DAY_MILLIS = 120_000;
  private static final long STEP_MILLIS = 50;
  private static final long STABLE_MILLIS = 3_000;
  private static final int CRASHES = 5;
  private static final int MAX_LATER_ARRIVALS = 3;
  private static final List<String> DATA_CENTRES = List.of("dc1", "dc2", "dc3");
  private static final String FIRST_PART = "first";
  private static final String BAD_PART = "bad";

  /** One day of a seed. */
  private static final class Day {
    private final Random random;
    private final CrashNetwork network;
    private final List<Long> crashMillis = new ArrayList<>();
    private long storeChangedMillis = -STABLE_MILLIS;
    private boolean storeAvailable = true;
    private int laterArrivals;
    private int refusedSound;
    private int process;

    private Day(long seed) {
      random = new Random(seed);
      network = new CrashNetwork(seed);
      DATA_CENTRES.forEach(dataCentre -> network.addNodes(dataCentre, 3));
    }

    private void run() {
      network.advance(2_000);
      while (network.nowMillis() < DAY_MILLIS) {
        sendSound();
        if (random.nextInt(4) == 0) {
          sendBad();
        }
        if (random.nextInt(40) == 0) {
          crashOnItsOwn();
        }
        injectFault();
        network.advance(STEP_MILLIS);
      }
    }

    private String node() {
      List<String> nodes = network.nodes().stream().filter(network::isRunning).toList();
      return nodes.get(random.nextInt(nodes.size()));
    }

    private String session() {
      return "session" + random.nextInt(20);
    }

    private void sendSound() {
      String node = node();
      String session = session();
      if (network.isRefused(node, FIRST_PART) || network.isRefused(node, session)) {
        refusedSound++;
      } else {
        network.succeed(node, FIRST_PART);
        network.succeed(node, session);
      }
    }

    /** A request that no other one is like; a sound one may run beside it. */
    private void sendBad() {
      String node = node();
      if (network.isRefused(node, BAD_PART)) {
        network.refuse(node, BAD_PART);
        return;
      }
      boolean inTouch =
          network.upMillis(node) >= STABLE_MILLIS
              && storeAvailable
              && network.nowMillis() - storeChangedMillis >= STABLE_MILLIS;
      if (crashMillis.size() >= CRASHES
          && network.nowMillis() - crashMillis.get(CRASHES - 1) > STABLE_MILLIS
          && inTouch) {
        laterArrivals++;
      }
      crashMillis.add(network.nowMillis());
      process++;
      network.crash(node, "p" + process, FIRST_PART, BAD_PART, "content" + process);
      if (random.nextBoolean()) {
        network.crash(node(), "p" + process, FIRST_PART, session(), "beside" + process);
      }
    }

    private void crashOnItsOwn() {
      process++;
      network.crash(node(), "p" + process, FIRST_PART, session(), "own" + process);
    }

    private void injectFault() {
      switch (random.nextInt(160)) {
        case 0 -> network.restart(node());
        case 1 -> List.copyOf(network.nodes()).forEach(network::restart);
        case 2 -> network.cut(DATA_CENTRES.get(random.nextInt(DATA_CENTRES.size())));
        case 3, 4 -> network.heal();
        case 5 -> setStoreAvailable(false);
        case 6, 7 -> setStoreAvailable(true);
        case 8 -> network.loseRow();
        default -> {}
      }
    }

    private void setStoreAvailable(boolean available) {
      if (storeAvailable != available) {
        storeAvailable = available;
        storeChangedMillis = network.nowMillis();
        network.setStoreAvailable(available);
      }
    }
  }

  @Test
  void should_keep_requests_that_crash_servers_away_and_serve_the_others() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      Day day = new Day(seed);
      day.run();
      assertThat(day.laterArrivals)
          .as("late arrivals, seed %d", seed)
          .isLessThanOrEqualTo(MAX_LATER_ARRIVALS);
      assertThat(day.refusedSound).as("refused sound requests, seed %d", seed).isZero();
    }
    System.out.printf("crashes: seeds %d to %d%n", FIRST_SEED, FIRST_SEED + SEEDS - 1);
  }
}
