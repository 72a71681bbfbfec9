package io.nutmegseam.standin.measure;

import io.nutmegseam.standin.http.HttpExchange;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Formats the results of several runs side by side, as a text table and as an HTML page with a
 * plot.
 */
public final class MeasurementReport {
  private static final int LABEL_WIDTH = 34;
  private static final int PLOT_WIDTH = 700;
  private static final int PLOT_HEIGHT = 300;
  private static final String[] COLOURS = {"#b32b2b", "#2b62b3", "#2a7f3f", "#c77f12"};

  private final List<Path> folders;
  private final List<MeasurementResult> results = new ArrayList<>();

  /**
   * Reads the results of the runs.
   *
   * @param folders folders of the runs, each with {@code result.json} and {@code outcomes.json}
   */
  public MeasurementReport(List<Path> folders) throws IOException {
    this.folders = folders;
    for (Path folder : folders) {
      results.add(
          HttpExchange.JSON.readValue(
              Files.readString(folder.resolve("result.json")), MeasurementResult.class));
    }
  }

  /** Returns the value of one table row from a result. */
  private interface RowValue {
    Object of(MeasurementResult result);
  }

  /** Returns a text table with one row per figure and one column per run. */
  public String table() {
    StringBuilder table = new StringBuilder();
    addRow(table, "", MeasurementResult::label);
    addRow(table, "requests", MeasurementResult::requests);
    addRow(table, "whole answers", MeasurementResult::whole);
    addRow(table, "  of these late", MeasurementResult::late);
    addRow(table, "goodput [1/s]", MeasurementResult::goodputPerSecond);
    addRow(table, "refusals", MeasurementResult::refusals);
    addRow(table, "cold requests", MeasurementResult::coldRequests);
    addRow(table, "cold first token [ms]", MeasurementResult::coldMillis);
    addRow(table, "warm first token [ms]", MeasurementResult::warmMillis);
    addRow(table, "loads", MeasurementResult::loads);
    addRow(table, "loads per woken unit", MeasurementResult::loadsPerWake);
    addRow(table, "unused loads", MeasurementResult::unusedLoads);
    addRow(table, "idle accelerator time [s]", MeasurementResult::idleAcceleratorSeconds);
    addRow(table, "  while a cold request waited [s]", MeasurementResult::idleWhileWaitingSeconds);
    addRow(table, "busy accelerator time [s]", MeasurementResult::busyAcceleratorSeconds);
    addRow(table, "overcommitted loads", MeasurementResult::overcommits);
    addRow(table, "control thread [% of a core]", MeasurementResult::controlCorePercent);
    addRow(table, "resident memory of a node [MiB]", MeasurementResult::residentMebibytes);
    addRow(table, "sent by a node [B/s]", MeasurementResult::sentBytesPerSecond);
    addRow(table, "  by kind", MeasurementResult::sentBytesPerSecondByKind);
    return table.toString();
  }

  /**
   * Returns an HTML page with the table and the distribution of the time to the first token of cold
   * requests.
   */
  public String html() throws IOException {
    StringBuilder page = new StringBuilder();
    page.append("<!doctype html><meta charset=utf-8><title>nutmegseam measurement</title>")
        .append("<style>body{font:14px sans-serif;margin:16px}pre{font-size:13px}</style>")
        .append("<h1>Measurement</h1><pre>")
        .append(table().replace("&", "&amp;").replace("<", "&lt;"))
        .append("</pre><h2>Time to the first token of cold requests</h2>");
    page.append("<svg width=%d height=%d>".formatted(PLOT_WIDTH + 60, PLOT_HEIGHT + 60));
    long maxMillis = maxColdFirstTokenMillis();
    for (int i = 0; i < folders.size(); i++) {
      page.append(
          polyline(
              readColdFirstTokenMillis(folders.get(i)), maxMillis, COLOURS[i % COLOURS.length]));
      page.append(
          "<text x=60 y=%d fill=%s>%s</text>"
              .formatted(20 + 18 * i, COLOURS[i % COLOURS.length], results.get(i).label()));
    }
    page.append(
        "<line x1=40 y1=%d x2=%d y2=%d stroke=#888 />"
            .formatted(PLOT_HEIGHT, PLOT_WIDTH + 40, PLOT_HEIGHT));
    page.append(
        "<text x=40 y=%d>0 ms</text><text x=%d y=%d>%d ms</text>"
            .formatted(PLOT_HEIGHT + 18, PLOT_WIDTH - 30, PLOT_HEIGHT + 18, maxMillis));
    page.append("<text x=0 y=14>100%%</text><text x=8 y=%d>0</text>".formatted(PLOT_HEIGHT));
    return page.append(
            "</svg><p>Cumulative share of cold requests that received a first token, by time.</p>")
        .toString();
  }

  private long maxColdFirstTokenMillis() throws IOException {
    long maxMillis = 1;
    for (Path folder : folders) {
      for (long millis : readColdFirstTokenMillis(folder)) {
        maxMillis = Math.max(maxMillis, millis);
      }
    }
    return maxMillis;
  }

  private static List<Long> readColdFirstTokenMillis(Path folder) throws IOException {
    RequestOutcome[] outcomes =
        HttpExchange.JSON.readValue(
            Files.readString(folder.resolve("outcomes.json")), RequestOutcome[].class);
    List<Long> coldMillis = new ArrayList<>();
    for (RequestOutcome outcome : outcomes) {
      if (outcome.cold() && outcome.firstTokenMillis() >= 0) {
        coldMillis.add(outcome.firstTokenMillis());
      }
    }
    coldMillis.sort(null);
    return coldMillis;
  }

  private static String polyline(List<Long> sorted, long maxMillis, String colour) {
    StringBuilder points = new StringBuilder();
    for (int i = 0; i < sorted.size(); i++) {
      long x = 40 + sorted.get(i) * PLOT_WIDTH / maxMillis;
      long y = PLOT_HEIGHT - (long) (i + 1) * (PLOT_HEIGHT - 10) / sorted.size();
      points.append(x).append(',').append(y).append(' ');
    }
    return "<polyline fill=none stroke=%s stroke-width=2 points=\"%s\" />"
        .formatted(colour, points);
  }

  private void addRow(StringBuilder table, String name, RowValue value) {
    table.append(name).append(" ".repeat(LABEL_WIDTH - name.length()));
    for (MeasurementResult result : results) {
      table.append("| ").append(value.of(result)).append("  ");
    }
    table.append('\n');
  }
}
