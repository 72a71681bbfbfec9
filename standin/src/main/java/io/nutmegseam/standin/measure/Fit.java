package io.nutmegseam.standin.measure;

import io.nutmegseam.standin.http.HttpExchange;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Fits a line through the figures of runs in which one size was varied. */
public final class Fit {
  private final List<Double> sizes;
  private final List<Result> results = new ArrayList<>();

  /**
   * A fitted line.
   *
   * @param figure what was fitted
   * @param base value at size 0
   * @param slope increase for each unit of the size
   * @param spread largest distance of a point from the line
   * @param points the measured values
   */
  public record Line(
      String figure, double base, double slope, double spread, List<Double> points) {}

  /**
   * Reads results.
   *
   * @param sizes the varied size of each run
   * @param folders the folders of the runs, in the same order
   */
  public Fit(List<Double> sizes, List<Path> folders) throws IOException {
    this.sizes = List.copyOf(sizes);
    for (Path folder : folders) {
      results.add(
          HttpExchange.JSON.readValue(
              Files.readString(folder.resolve("result.json")), Result.class));
    }
  }

  /** Returns the lines of the figures that control is bounded by. */
  public List<Line> lines() {
    return List.of(
        line("control thread of a node [% of a core]", Result::controlCorePercent),
        line("sent by a node [B/s]", Result::sentBytesPerSecond),
        line("heap of a node after collection [KiB]", Result::heapKibibytes),
        line("table reads [1/s]", Result::tableReadsPerSecond),
        line("table commits [1/s]", Result::tableCommitsPerSecond));
  }

  /** Returns the lines as a Markdown table. */
  public String markdown() {
    StringBuilder table = new StringBuilder("| figure | points at " + sizes);
    table.append(" | base | slope | spread |\n| --- | --- | --- | --- | --- |\n");
    for (Line line : lines()) {
      table.append(
          "| %s | %s | %.3f | %.5f | %.3f |\n"
              .formatted(line.figure(), line.points(), line.base(), line.slope(), line.spread()));
    }
    return table.toString();
  }

  private Line line(String figure, ToDoubleFunction<Result> value) {
    List<Double> points = results.stream().map(r -> value.applyAsDouble(r)).toList();
    double meanSize = mean(sizes);
    double meanPoint = mean(points);
    double covariance = 0;
    double variance = 0;
    for (int i = 0; i < points.size(); i++) {
      covariance += (sizes.get(i) - meanSize) * (points.get(i) - meanPoint);
      variance += (sizes.get(i) - meanSize) * (sizes.get(i) - meanSize);
    }
    double slope = variance == 0 ? 0 : covariance / variance;
    double base = meanPoint - slope * meanSize;
    double spread = 0;
    for (int i = 0; i < points.size(); i++) {
      spread = Math.max(spread, Math.abs(points.get(i) - base - slope * sizes.get(i)));
    }
    return new Line(figure, base, slope, spread, points);
  }

  private static double mean(List<Double> values) {
    return values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
  }
}
