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
 * Resource usage of all nodes: counters and current memory sizes.
 *
 * @param controlCpuSeconds processor time of the control threads of all nodes
 * @param sentBytesByKind bytes that all nodes sent to other nodes, by message kind
 * @param residentBytes sum of the resident memory of all node processes
 * @param heapKibibytes heap in use on the first node after a garbage collection; 0 if the node
 *     returned an error
 */
record NodeTotals(
    double controlCpuSeconds,
    Map<String, Double> sentBytesByKind,
    long residentBytes,
    long heapKibibytes) {
  private static final Pattern CONTROL_CPU_SECONDS =
      Pattern.compile("^nutmegseam_control_cpu_seconds_total (\\S+)", Pattern.MULTILINE);
  private static final Pattern SENT_BYTES =
      Pattern.compile(
          "^nutmegseam_peer_sent_bytes_total\\{message=\"(\\w+)\"\\} (\\S+)", Pattern.MULTILINE);
  private static final Pattern RESIDENT_KIBIBYTES = Pattern.compile("VmRSS:\\s+(\\d+) kB");
  private static final long BYTES_PER_KIBIBYTE = 1_024;

  static NodeTotals read(List<String> operatorUrls, Path pidFile) throws IOException {
    OkHttpClient client = new OkHttpClient();
    double cpuSeconds = 0;
    Map<String, Double> sentBytes = new TreeMap<>();
    for (String operatorUrl : operatorUrls) {
      Request request = new Request.Builder().url(operatorUrl + "/metrics").build();
      try (Response response = client.newCall(request).execute()) {
        String text = response.body().string();
        for (Matcher matcher = CONTROL_CPU_SECONDS.matcher(text); matcher.find(); ) {
          cpuSeconds += Double.parseDouble(matcher.group(1));
        }
        for (Matcher matcher = SENT_BYTES.matcher(text); matcher.find(); ) {
          sentBytes.merge(matcher.group(1), Double.parseDouble(matcher.group(2)), Double::sum);
        }
      }
    }
    return new NodeTotals(
        cpuSeconds,
        sentBytes,
        readResidentBytes(pidFile),
        readHeapKibibytes(client, operatorUrls.get(0)));
  }

  /** Requests a garbage collection on a node and returns the heap in use afterwards. */
  private static long readHeapKibibytes(OkHttpClient client, String operatorUrl)
      throws IOException {
    Request request = new Request.Builder().url(operatorUrl + "/v1/heap").build();
    try (Response response = client.newCall(request).execute()) {
      String body = response.body().string();
      return response.isSuccessful()
          ? HttpExchange.JSON.readTree(body).path("usedBytes").asLong() / BYTES_PER_KIBIBYTE
          : 0;
    }
  }

  NodeTotals minus(NodeTotals earlier) {
    Map<String, Double> sentBytes = new TreeMap<>(sentBytesByKind);
    earlier.sentBytesByKind.forEach((kind, bytes) -> sentBytes.merge(kind, -bytes, Double::sum));
    return new NodeTotals(
        controlCpuSeconds - earlier.controlCpuSeconds, sentBytes, residentBytes, heapKibibytes);
  }

  double sentBytes() {
    return sentBytesByKind.values().stream().mapToDouble(Double::doubleValue).sum();
  }

  private static long readResidentBytes(Path pidFile) throws IOException {
    long bytes = 0;
    List<String> pids = new ArrayList<>();
    if (Files.exists(pidFile)) {
      pids.addAll(Files.readAllLines(pidFile));
    }
    for (String pid : pids) {
      Path status = Path.of("/proc", pid.trim(), "status");
      if (Files.exists(status)) {
        Matcher matcher = RESIDENT_KIBIBYTES.matcher(Files.readString(status));
        bytes += matcher.find() ? Long.parseLong(matcher.group(1)) * BYTES_PER_KIBIBYTE : 0;
      }
    }
    return bytes;
  }
}
