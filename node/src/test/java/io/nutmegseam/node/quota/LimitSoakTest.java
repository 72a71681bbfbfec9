package io.nutmegseam.node.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.quota.ServerLimits;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against limits that are exceeded under faults drawn from a seed: nodes are killed, frozen
 * and restarted, data centres are cut off, and the limit begins and ends. More seeds: {@code mvn
 * -pl core,node verify -Dtest=LimitSoakTest -Dlimits.seed=N -Dlimits.seeds=K}.
 */
class LimitSoakTest {
  private static final long FIRST_SEED = Long.getLong("limits.seed", 1);
  private static final int SEEDS = Integer.getInteger("limits.seeds", 30);
  private static final List<String> DATA_CENTRES = List.of("a", "b", "c");
  private static final int STEPS = 40;

  /** Time after which nodes in touch must keep a limit. */
  private static final long STABLE_MILLIS = 3_000;

  @Test
  void should_keep_limits_under_faults() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      run(seed);
    }
    System.out.printf("limits: seeds %d to %d%n", FIRST_SEED, FIRST_SEED + SEEDS - 1);
  }

  private static void run(long seed) {
    Random random = new Random(seed);
    QuotaNetwork network = new QuotaNetwork(seed, DATA_CENTRES.get(random.nextInt(3)));
    DATA_CENTRES.forEach(dataCentre -> network.addNodes(dataCentre, 2 + random.nextInt(6)));
    List<String> nodes = network.nodes();
    nodes.forEach(node -> network.setDemand(node, 20 * random.nextDouble(), random.nextBoolean()));
    network.start();
    network.advance(1_000);
    double perSecond = 0.5 + 6 * random.nextDouble();
    network.setLimits(new ServerLimits(perSecond));
    long namedMillis = network.nowMillis();
    for (int step = 0; step < STEPS; step++) {
      disturb(network, nodes.get(random.nextInt(nodes.size())), random);
      network.advance(random.nextInt(1_500));
    }
    long allowed = (long) (1.5 * 4 * perSecond) + 5;
    assertThat(network.arrivals().mostWithinWindow(namedMillis + STABLE_MILLIS))
        .as("requests within 4 s, seed %d, limit %.2f per second", seed, perSecond)
        .isLessThanOrEqualTo(allowed);
  }

  private static void disturb(QuotaNetwork network, String node, Random random) {
    switch (random.nextInt(7)) {
      case 0 -> network.kill(node);
      case 1 -> network.restart(node);
      case 2 -> network.setFrozen(node, true);
      case 3 -> network.setFrozen(node, false);
      case 4 -> network.setCut(DATA_CENTRES.get(random.nextInt(3)), true);
      case 5 -> DATA_CENTRES.forEach(dataCentre -> network.setCut(dataCentre, false));
      default -> network.restart(network.grantingNode());
    }
  }
}
