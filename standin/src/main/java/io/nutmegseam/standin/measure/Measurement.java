package io.nutmegseam.standin.measure;

import io.nutmegseam.standin.http.Exchange;
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
  public static MeasurementResult run(
      Deployment deployment, String label, long seed, int seconds, Path folder)
      throws IOException, InterruptedException {
    DeploymentPlan plan = DeploymentPlan.read(folder);
    EngineSampler watch = new EngineSampler(plan.engines());
    watch.start();
    Path pids = folder.resolve("node-pids");
    final EngineTotals enginesBefore = watch.readTotals();
    final TableTotals tableBefore = TableTotals.read(plan.platform());
    final NodeTotals nodesBefore = NodeTotals.read(plan.operators(), pids);
    final long startNanos = System.nanoTime();
    List<Arrival> arrivals = new WorkloadGenerator(deployment, seed).generate(seconds);
    List<RequestOutcome> outcomes = new LoadDriver(plan, watch).run(arrivals);
    double spentSeconds = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) / 1_000.0;
    watch.stop();
    ResultCalculator.RunTotals counted =
        new ResultCalculator.RunTotals(
            watch.readTotals().minus(enginesBefore),
            NodeTotals.read(plan.operators(), pids).minus(nodesBefore),
            TableTotals.read(plan.platform()).minus(tableBefore),
            watch.idleWhileWaitingMillis(),
            spentSeconds);
    MeasurementResult result =
        ResultCalculator.calculate(label, seconds, deployment.nodes(), outcomes, counted);
    Files.writeString(
        folder.resolve("result.json"),
        Exchange.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(result));
    Files.writeString(folder.resolve("outcomes.json"), Exchange.JSON.writeValueAsString(outcomes));
    return result;
  }
}
