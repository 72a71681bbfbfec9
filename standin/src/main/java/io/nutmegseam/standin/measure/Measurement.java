package io.nutmegseam.standin.measure;

import io.nutmegseam.standin.http.HttpExchange;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs one measurement against the processes of a deployment, which must already be running. */
public final class Measurement {
  private Measurement() {}

  /**
   * Sends the workload and writes {@code result.json} and {@code outcomes.json} into the folder.
   *
   * @param deployment sizes of the deployment
   * @param label label of the run in reports
   * @param seed seed of the workload
   * @param seconds length of the workload, in seconds
   * @param folder folder that contains the deployment plan
   * @return the figures of the run
   */
  public static MeasurementResult run(
      Deployment deployment, String label, long seed, int seconds, Path folder)
      throws IOException, InterruptedException {
    DeploymentPlan plan = DeploymentPlan.read(folder);
    EngineSampler sampler = new EngineSampler(plan.engines());
    sampler.start();
    Path pidFile = folder.resolve("node-pids");
    final EngineTotals enginesBefore = sampler.readTotals();
    final TableTotals tableBefore = TableTotals.read(plan.platform());
    final NodeTotals nodesBefore = NodeTotals.read(plan.operators(), pidFile);
    final long startNanos = System.nanoTime();
    List<Arrival> arrivals = new WorkloadGenerator(deployment, seed).generate(seconds);
    List<RequestOutcome> outcomes = new LoadDriver(plan, sampler).run(arrivals);
    double elapsedSeconds = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) / 1_000.0;
    sampler.stop();
    ResultCalculator.RunTotals totals =
        new ResultCalculator.RunTotals(
            sampler.readTotals().minus(enginesBefore),
            NodeTotals.read(plan.operators(), pidFile).minus(nodesBefore),
            TableTotals.read(plan.platform()).minus(tableBefore),
            sampler.idleWhileWaitingMillis(),
            elapsedSeconds);
    MeasurementResult result =
        ResultCalculator.calculate(label, seconds, deployment.nodes(), outcomes, totals);
    Files.writeString(
        folder.resolve("result.json"),
        HttpExchange.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(result));
    Files.writeString(
        folder.resolve("outcomes.json"), HttpExchange.JSON.writeValueAsString(outcomes));
    return result;
  }
}
