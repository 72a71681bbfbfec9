package io.nutmegseam.standin.measure;

import io.nutmegseam.standin.http.HttpExchange;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Fits a line by least squares to each figure of several runs that differ in one size. */
public final class LinearFit {
  private final List<Double> sizes;
  private final List<MeasurementResult> results = new ArrayList<>();

  /**
   * A line fitted to one figure.
   *
   * @param figure name and unit of the figure
   * @param intercept value of the line at size 0
   * @param slope increase of the figure per unit of the size
   * @param maxResidual largest absolute difference between a measured value and the line
   * @param points the measured values, in the order of the runs
   */
  public record Line(
      String figure, double intercept, double slope, double maxResidual, List<Double> points) {}

  /**
   * Reads the results of the runs.
   *
   * @param sizes value of the varied size in each run
   * @param folders folders of the runs, in the same order, each with a {@code result.json}
   */
  public LinearFit(List<Double> sizes, List<Path> folders) throws IOException {
    this.sizes = List.copyOf(sizes);
    for (Path folder : folders) {
      results.add(
          HttpExchange.JSON.readValue(
              Files.readString(folder.resolve("result.json")), MeasurementResult.class));
    }
  }

  /** Returns the lines of the figures that limit how far the control of nodes scales. */
  public List<Line> lines() {
    return List.of(
        fitLine("control thread of a node [% of a core]", MeasurementResult::controlCorePercent),
        fitLine("sent by a node [B/s]", MeasurementResult::sentBytesPerSecond),
        fitLine("heap of a node after collection [KiB]", MeasurementResult::heapKibibytes),
        fitLine("table reads [1/s]", MeasurementResult::tableReadsPerSecond),
        fitLine("table commits [1/s]", MeasurementResult::tableCommitsPerSecond));
  }

  /** Returns the lines as a Markdown table with one row per figure. */
  public String markdown() {
    StringBuilder table = new StringBuilder("| figure | points at " + sizes);
    table.append(" | base | slope | spread |\n| --- | --- | --- | --- | --- |\n");
    for (Line line : lines()) {
      table.append(
          "| %s | %s | %.3f | %.5f | %.3f |\n"
              .formatted(
                  line.figure(),
                  line.points(),
                  line.intercept(),
                  line.slope(),
                  line.maxResidual()));
    }
    return table.toString();
  }

  private Line fitLine(String figure, ToDoubleFunction<MeasurementResult> extractor) {
    List<Double> values = results.stream().map(r -> extractor.applyAsDouble(r)).toList();
    double meanSize = mean(sizes);
    double meanValue = mean(values);
    double covariance = 0;
    double variance = 0;
    for (int i = 0; i < values.size(); i++) {
      covariance += (sizes.get(i) - meanSize) * (values.get(i) - meanValue);
      variance += (sizes.get(i) - meanSize) * (sizes.get(i) - meanSize);
    }
    double slope = variance == 0 ? 0 : covariance / variance;
    double intercept = meanValue - slope * meanSize;
    double maxResidual = 0;
    for (int i = 0; i < values.size(); i++) {
      maxResidual =
          Math.max(maxResidual, Math.abs(values.get(i) - intercept - slope * sizes.get(i)));
    }
    return new Line(figure, intercept, slope, maxResidual, values);
  }

  private static double mean(List<Double> values) {
    return values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
  }
}
