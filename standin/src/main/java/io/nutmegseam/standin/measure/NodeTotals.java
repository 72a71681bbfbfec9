package io.nutmegseam.standin.measure;

import io.nutmegseam.standin.http.HttpExchange;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/**
 * What all nodes spent on control.
 *
 * @param controlCpuSeconds processor time of the control threads
 * @param sentBytesByKind bytes sent to other nodes, by message kind
 * @param residentBytes resident memory of the node processes, sum
 * @param heapKibibytes heap of the first node after a collection; 0 if not read
 */
record NodeTotals(
    double controlCpuSeconds,
    Map<String, Double> sentBytesByKind,
    long residentBytes,
    long heapKibibytes) {
  private static final Pattern CPU =
      Pattern.compile("^nutmegseam_control_cpu_seconds_total (\\S+)", Pattern.MULTILINE);
  private static final Pattern SENT =
      Pattern.compile(
          "^nutmegseam_peer_sent_bytes_total\\{message=\"(\\w+)\"\\} (\\S+)", Pattern.MULTILINE);
  private static final Pattern RESIDENT = Pattern.compile("VmRSS:\\s+(\\d+) kB");
  private static final long KIBIBYTE = 1_024;

  static NodeTotals read(List<String> operators, Path pidFile) throws IOException {
    OkHttpClient client = new OkHttpClient();
    double cpuSeconds = 0;
    Map<String, Double> sent = new TreeMap<>();
    for (String operator : operators) {
      Request request = new Request.Builder().url(operator + "/metrics").build();
      try (Response response = client.newCall(request).execute()) {
        String text = response.body().string();
        for (Matcher m = CPU.matcher(text); m.find(); ) {
          cpuSeconds += Double.parseDouble(m.group(1));
        }
        for (Matcher m = SENT.matcher(text); m.find(); ) {
          sent.merge(m.group(1), Double.parseDouble(m.group(2)), Double::sum);
        }
      }
    }
    return new NodeTotals(cpuSeconds, sent, residentBytes(pidFile), heap(client, operators.get(0)));
  }

  /** Asks the first node for its heap after a collection. */
  private static long heap(OkHttpClient client, String operator) throws IOException {
    Request request = new Request.Builder().url(operator + "/v1/heap").build();
    try (Response response = client.newCall(request).execute()) {
      String body = response.body().string();
      return response.isSuccessful()
          ? HttpExchange.JSON.readTree(body).path("usedBytes").asLong() / KIBIBYTE
          : 0;
    }
  }

  NodeTotals minus(NodeTotals earlier) {
    Map<String, Double> sent = new TreeMap<>(sentBytesByKind);
    earlier.sentBytesByKind.forEach((kind, bytes) -> sent.merge(kind, -bytes, Double::sum));
    return new NodeTotals(
        controlCpuSeconds - earlier.controlCpuSeconds, sent, residentBytes, heapKibibytes);
  }

  double sentBytes() {
    return sentBytesByKind.values().stream().mapToDouble(Double::doubleValue).sum();
  }

  private static long residentBytes(Path pidFile) throws IOException {
    long bytes = 0;
    List<String> pids = new ArrayList<>();
    if (Files.exists(pidFile)) {
      pids.addAll(Files.readAllLines(pidFile));
    }
    for (String pid : pids) {
      Path status = Path.of("/proc", pid.trim(), "status");
      if (Files.exists(status)) {
        Matcher m = RESIDENT.matcher(Files.readString(status));
        bytes += m.find() ? Long.parseLong(m.group(1)) * KIBIBYTE : 0;
      }
    }
    return bytes;
  }
}
