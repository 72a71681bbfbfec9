package io.nutmegseam.node.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Waits until a configuration revision is active on every live node, and reports each node. */
final class RevisionWaiter {
  private static final long POLL_MILLIS = 100;

  private final OperatorClient client;
  private final ResultPrinter printer;

  RevisionWaiter(OperatorClient client, ResultPrinter printer) {
    this.client = client;
    this.printer = printer;
  }

  ExitStatus run(long revision, int waitSeconds) throws CommandException {
    long startedNanos = System.nanoTime();
    long endNanos = startedNanos + TimeUnit.SECONDS.toNanos(waitSeconds);
    Set<String> pending = liveNodeAddresses();
    while (!pending.isEmpty() && System.nanoTime() < endNanos) {
      for (String address : Set.copyOf(pending)) {
        if (isActive(address, revision)) {
          pending.remove(address);
          long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
          printer.printLine(
              "%s: revision %d active after %d ms".formatted(address, revision, tookMillis));
        }
      }
      pause();
    }
    pending.forEach(address -> printer.printLine(address + ": revision not active"));
    return pending.isEmpty() ? ExitStatus.OK : ExitStatus.NO;
  }

  private Set<String> liveNodeAddresses() throws CommandException {
    Set<String> addresses = new LinkedHashSet<>();
    for (JsonNode node : client.get("/v1/status").path("nodes")) {
      if (node.path("state").asText().equals("live") || node.path("connected").asBoolean()) {
        addresses.add(node.path("operatorAddress").asText());
      }
    }
    return addresses;
  }

  private boolean isActive(String address, long revision) {
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
