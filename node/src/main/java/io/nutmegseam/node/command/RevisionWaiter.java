package io.nutmegseam.node.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Waits until a revision is in force on every live node, and reports each node. */
final class RevisionWaiter {
  private static final long POLL_MILLIS = 100;

  private final OperatorClient client;
  private final ResultPrinter output;

  RevisionWaiter(OperatorClient client, ResultPrinter output) {
    this.client = client;
    this.output = output;
  }

  ExitStatus run(long revision, int waitSeconds) throws CommandException {
    long startedNanos = System.nanoTime();
    long endNanos = startedNanos + TimeUnit.SECONDS.toNanos(waitSeconds);
    Set<String> waiting = liveNodes();
    while (!waiting.isEmpty() && System.nanoTime() < endNanos) {
      for (String address : Set.copyOf(waiting)) {
        if (isInForce(address, revision)) {
          waiting.remove(address);
          long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
          output.printLine(
              "%s: revision %d in force after %d ms".formatted(address, revision, tookMillis));
        }
      }
      pause();
    }
    waiting.forEach(address -> output.printLine(address + ": not in force"));
    return waiting.isEmpty() ? ExitStatus.OK : ExitStatus.NO;
  }

  private Set<String> liveNodes() throws CommandException {
    Set<String> addresses = new LinkedHashSet<>();
    for (JsonNode node : client.get("/v1/status").path("nodes")) {
      if (node.path("state").asText().equals("live") || node.path("connected").asBoolean()) {
        addresses.add(node.path("operatorAddress").asText());
      }
    }
    return addresses;
  }

  private boolean isInForce(String address, long revision) {
    try {
      return client.withAddress(address).get("/v1/revision").path("revision").asLong() >= revision;
    } catch (CommandException e) {
      return false;
    }
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
