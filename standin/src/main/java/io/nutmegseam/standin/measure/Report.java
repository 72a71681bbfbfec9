package io.nutmegseam.standin.measure;

import io.nutmegseam.standin.http.HttpExchange;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Prints results side by side, as a table and as one HTML page with a plot. */
public final class Report {
  private static final int LABEL_WIDTH = 34;
  private static final int PLOT_WIDTH = 700;
  private static final int PLOT_HEIGHT = 300;
  private static final String[] COLOURS = {"#b32b2b", "#2b62b3", "#2a7f3f", "#c77f12"};

  private final List<Path> folders;
  private final List<Result> results = new ArrayList<>();

  /**
   * Reads results.
   *
   * @param folders folders of measured runs
   */
  public Report(List<Path> folders) throws IOException {
    this.folders = folders;
    for (Path folder : folders) {
      results.add(
          HttpExchange.JSON.readValue(
              Files.readString(folder.resolve("result.json")), Result.class));
    }
  }

  /** A row of the table. */
  private interface Cell {
    Object of(Result result);
  }

  /** Returns the table. */
  public String table() {
    StringBuilder table = new StringBuilder();
    row(table, "", Result::label);
    row(table, "requests", Result::requests);
    row(table, "whole answers", Result::whole);
    row(table, "  of these late", Result::late);
    row(table, "goodput [1/s]", Result::goodputPerSecond);
    row(table, "refusals", Result::refusals);
    row(table, "cold requests", Result::coldRequests);
    row(table, "cold first token [ms]", Result::coldMillis);
    row(table, "warm first token [ms]", Result::warmMillis);
    row(table, "loads", Result::loads);
    row(table, "loads per woken unit", Result::loadsPerWake);
    row(table, "unused loads", Result::unusedLoads);
    row(table, "idle accelerator time [s]", Result::idleAcceleratorSeconds);
    row(table, "  while a cold request waited [s]", Result::idleWhileWaitingSeconds);
    row(table, "busy accelerator time [s]", Result::busyAcceleratorSeconds);
    row(table, "overcommitted loads", Result::overcommits);
    row(table, "control thread [% of a core]", Result::controlCorePercent);
    row(table, "resident memory of a node [MiB]", Result::residentMebibytes);
    row(table, "sent by a node [B/s]", Result::sentBytesPerSecond);
    row(table, "  by kind", Result::sentBytesPerSecondByKind);
    return table.toString();
  }

  /** Returns the page. */
  public String html() throws IOException {
    StringBuilder page = new StringBuilder();
    page.append("<!doctype html><meta charset=utf-8><title>nutmegseam measurement</title>")
        .append("<style>body{font:14px sans-serif;margin:16px}pre{font-size:13px}</style>")
        .append("<h1>Measurement</h1><pre>")
        .append(table().replace("&", "&amp;").replace("<", "&lt;"))
        .append("</pre><h2>Time to the first token of cold requests</h2>");
    page.append("<svg width=%d height=%d>".formatted(PLOT_WIDTH + 60, PLOT_HEIGHT + 60));
    long longest = longestMillis();
    for (int i = 0; i < folders.size(); i++) {
      page.append(curve(coldMillis(folders.get(i)), longest, COLOURS[i % COLOURS.length]));
      page.append(
          "<text x=60 y=%d fill=%s>%s</text>"
              .formatted(20 + 18 * i, COLOURS[i % COLOURS.length], results.get(i).label()));
    }
    page.append(
        "<line x1=40 y1=%d x2=%d y2=%d stroke=#888 />"
            .formatted(PLOT_HEIGHT, PLOT_WIDTH + 40, PLOT_HEIGHT));
    page.append(
        "<text x=40 y=%d>0 ms</text><text x=%d y=%d>%d ms</text>"
            .formatted(PLOT_HEIGHT + 18, PLOT_WIDTH - 30, PLOT_HEIGHT + 18, longest));
    page.append("<text x=0 y=14>100%%</text><text x=8 y=%d>0</text>".formatted(PLOT_HEIGHT));
    return page.append("</svg><p>Share of cold requests with a first token by then.</p>")
        .toString();
  }

  private long longestMillis() throws IOException {
    long longest = 1;
    for (Path folder : folders) {
      for (long millis : coldMillis(folder)) {
        longest = Math.max(longest, millis);
      }
    }
    return longest;
  }

  private static List<Long> coldMillis(Path folder) throws IOException {
    Outcome[] outcomes =
        HttpExchange.JSON.readValue(
            Files.readString(folder.resolve("outcomes.json")), Outcome[].class);
    List<Long> cold = new ArrayList<>();
    for (Outcome outcome : outcomes) {
      if (outcome.cold() && outcome.firstTokenMillis() >= 0) {
        cold.add(outcome.firstTokenMillis());
      }
    }
    cold.sort(null);
    return cold;
  }

  private static String curve(List<Long> sorted, long longest, String colour) {
    StringBuilder points = new StringBuilder();
    for (int i = 0; i < sorted.size(); i++) {
      long x = 40 + sorted.get(i) * PLOT_WIDTH / longest;
      long y = PLOT_HEIGHT - (long) (i + 1) * (PLOT_HEIGHT - 10) / sorted.size();
      points.append(x).append(',').append(y).append(' ');
    }
    return "<polyline fill=none stroke=%s stroke-width=2 points=\"%s\" />"
        .formatted(colour, points);
  }

  private void row(StringBuilder table, String name, Cell cell) {
    table.append(name).append(" ".repeat(LABEL_WIDTH - name.length()));
    for (Result result : results) {
      table.append("| ").append(cell.of(result)).append("  ");
    }
    table.append('\n');
  }
}
