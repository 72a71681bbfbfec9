package io.nutmegseam.node.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Prints results of commands as JSON or as text tables. */
final class ResultPrinter {
  private static final String COLUMN_GAP = "  ";

  private final PrintStream out;
  private final boolean json;

  ResultPrinter(PrintStream out, boolean json) {
    this.out = out;
    this.json = json;
  }

  void printLine(String text) {
    out.println(text);
  }

  /** Prints an array of objects, or a single object. */
  void print(JsonNode node) {
    if (json) {
      out.println(node.toPrettyString());
    } else if (node.isArray()) {
      printTable(node);
    } else {
      node.fields()
          .forEachRemaining(
              field -> {
                if (field.getValue().isArray()) {
                  out.println();
                  out.println(field.getKey() + ":");
                  printTable(field.getValue());
                } else {
                  out.println(field.getKey() + ": " + field.getValue().asText());
                }
              });
    }
  }

  private void printTable(JsonNode rows) {
    if (rows.isEmpty()) {
      out.println("(none)");
      return;
    }
    List<String> names = new ArrayList<>();
    for (Iterator<String> it = rows.get(0).fieldNames(); it.hasNext(); ) {
      names.add(it.next());
    }
    int[] widths = new int[names.size()];
    for (int i = 0; i < names.size(); i++) {
      widths[i] = names.get(i).length();
      for (JsonNode row : rows) {
        widths[i] = Math.max(widths[i], cell(row, names.get(i)).length());
      }
    }
    StringBuilder header = new StringBuilder();
    for (int i = 0; i < names.size(); i++) {
      header.append(pad(names.get(i), widths[i]));
    }
    out.println(header.toString().stripTrailing());
    for (JsonNode row : rows) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < names.size(); i++) {
        line.append(pad(cell(row, names.get(i)), widths[i]));
      }
      out.println(line.toString().stripTrailing());
    }
  }

  private static String cell(JsonNode row, String name) {
    JsonNode value = row.path(name);
    return value.isValueNode() ? value.asText() : value.toString();
  }

  private static String pad(String text, int width) {
    return text + " ".repeat(width - text.length()) + COLUMN_GAP;
  }
}
