package io.nutmegseam.node.command;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Renders a timeline as a self-contained HTML page: one row per node, one mark per event. */
final class TimelinePage {
  private static final int LEFT_PX = 120;
  private static final int ROW_HEIGHT_PX = 46;
  private static final int WIDTH_PX = 1_500;
  private static final int MARK_RADIUS_PX = 5;
  private static final int TOP_PX = 30;

  private final Timeline timeline;
  private final List<String> nodes;

  TimelinePage(Timeline timeline) {
    this.timeline = timeline;
    TreeSet<String> names = new TreeSet<>();
    timeline.events().forEach(event -> names.add(event.node()));
    this.nodes = new ArrayList<>(names);
  }

  String render() {
    StringBuilder page = new StringBuilder();
    page.append("<!doctype html><meta charset=utf-8><title>nutmegseam time line</title>");
    page.append("<style>body{font:14px sans-serif;margin:16px}td,th{text-align:left;")
        .append("padding:2px 10px 2px 0;font-size:13px;vertical-align:top}")
        .append("svg{background:#fafafa}circle:hover{stroke:#000;stroke-width:2}</style>");
    page.append("<h1>Time line</h1><p>").append(timeline.events().size());
    page.append(" events of ").append(nodes.size());
    page.append(
        " nodes. Hover over a mark for its event; lines connect events of one subject.</p>");
    page.append(chart()).append(table());
    return page.toString();
  }

  private String chart() {
    int height = TOP_PX + ROW_HEIGHT_PX * Math.max(1, nodes.size());
    StringBuilder svg = new StringBuilder();
    svg.append("<svg width=%d height=%d>".formatted(LEFT_PX + WIDTH_PX + 20, height + 20));
    for (int i = 0; i < nodes.size(); i++) {
      int y = TOP_PX + i * ROW_HEIGHT_PX;
      svg.append("<text x=4 y=%d>%s</text>".formatted(y + 4, escape(nodes.get(i))));
      svg.append(
          "<line x1=%d y1=%d x2=%d y2=%d stroke=#ccc />"
              .formatted(LEFT_PX, y, LEFT_PX + WIDTH_PX, y));
    }
    svg.append(subjectLines());
    for (Timeline.Event event : timeline.events()) {
      svg.append(
          "<circle cx=%d cy=%d r=%d fill=%s><title>%s</title></circle>"
              .formatted(
                  x(event),
                  y(event),
                  MARK_RADIUS_PX,
                  colour(event.number()),
                  escape(event.toText())));
    }
    return svg.append("</svg>").toString();
  }

  /** Returns lines between consecutive events of one subject that occurred on different nodes. */
  private String subjectLines() {
    StringBuilder lines = new StringBuilder();
    Map<String, Timeline.Event> lastBySubject = new LinkedHashMap<>();
    for (Timeline.Event event : timeline.events()) {
      Timeline.Event previous = lastBySubject.put(event.subject(), event);
      if (previous != null && !previous.node().equals(event.node()) && !event.subject().isEmpty()) {
        lines.append(
            "<line x1=%d y1=%d x2=%d y2=%d stroke=#9bd stroke-width=1 />"
                .formatted(x(previous), y(previous), x(event), y(event)));
      }
    }
    return lines.toString();
  }

  private String table() {
    StringBuilder table = new StringBuilder("<table><tr><th>time<th>node<th>event<th>subject");
    table.append("<th>detail</tr>");
    for (Timeline.Event event : timeline.events()) {
      table
          .append("<tr><td>")
          .append(java.time.Instant.ofEpochMilli(event.at().wallMillis()))
          .append("<td>")
          .append(escape(event.node()))
          .append("<td>")
          .append(event.number())
          .append(' ')
          .append(event.name())
          .append("<td>")
          .append(escape(event.subject()))
          .append("<td>")
          .append(escape(event.detail()))
          .append("</tr>");
    }
    return table.append("</table>").toString();
  }

  private int x(Timeline.Event event) {
    List<Timeline.Event> all = timeline.events();
    long first = all.get(0).at().wallMillis();
    long span = Math.max(1, all.get(all.size() - 1).at().wallMillis() - first);
    return LEFT_PX + (int) ((event.at().wallMillis() - first) * WIDTH_PX / span);
  }

  private int y(Timeline.Event event) {
    return TOP_PX + nodes.indexOf(event.node()) * ROW_HEIGHT_PX;
  }

  private static String colour(int number) {
    return switch (number / 100) {
      case 1 -> "#888888";
      case 2 -> "#2a7f3f";
      case 3 -> "#c77f12";
      case 4 -> "#2b62b3";
      default -> "#b32b2b";
    };
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
