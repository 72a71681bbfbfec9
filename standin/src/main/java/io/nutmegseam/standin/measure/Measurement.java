package io.nutmegseam.standin.measure;

import io.nutmegseam.standin.http.HttpExchange;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs one measurement against processes that already run. */
public final class Measurement {
  private Measurement() {}

  /**
   * Drives the load and writes the result and the outcomes into the folder.
   *
   * @param deployment the deployment
   * @param label what is measured
   * @param seed seed of the load
   * @param seconds length of the load
   * @param folder folder with the plan
   * @return the figures
   */
  public static Result run(Deployment deployment, String label, long seed, int seconds, Path folder)
      throws IOException, InterruptedException {
    Plan plan = Plan.read(folder);
    EngineWatch watch = new EngineWatch(plan.engines());
    watch.start();
    Path pids = folder.resolve("node-pids");
    final EngineTotals enginesBefore = watch.totals();
    final TableTotals tableBefore = TableTotals.read(plan.platform());
    final NodeTotals nodesBefore = NodeTotals.read(plan.operators(), pids);
    final long startNanos = System.nanoTime();
    List<Arrival> arrivals = new Workload(deployment, seed).arrivals(seconds);
    List<Outcome> outcomes = new Driver(plan, watch).run(arrivals);
    double spentSeconds = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) / 1_000.0;
    watch.stop();
    ResultBuilder.Counted counted =
        new ResultBuilder.Counted(
            watch.totals().minus(enginesBefore),
            NodeTotals.read(plan.operators(), pids).minus(nodesBefore),
            TableTotals.read(plan.platform()).minus(tableBefore),
            watch.idleWhileWaitingMillis(),
            spentSeconds);
    Result result = ResultBuilder.build(label, seconds, deployment.nodes(), outcomes, counted);
    Files.writeString(
        folder.resolve("result.json"),
        HttpExchange.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(result));
    Files.writeString(
        folder.resolve("outcomes.json"), HttpExchange.JSON.writeValueAsString(outcomes));
    return result;
  }
}
