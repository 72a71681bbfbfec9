package io.nutmegseam.standin.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers that send requests without a pause and check each answer. Safe for several threads. */
final class SoakCallers {
  private static final int TOKENS = 10;
  private static final int MAX_TRIES = 3;
  private static final int MAX_PAUSE_MILLIS = 120;

  /** Deadline of a chat; a payment has the same by its record. */
  private static final long DEADLINE_MILLIS = 8_000;

  /** A node is suspended for 2.7 s at most, and may be so when the deadline passes. */
  private static final long MAX_CALL_MILLIS = DEADLINE_MILLIS + 2_700 + 1_000;

  private static final Map<String, String> DEADLINE =
      Map.of("X-Deadline-Millis", Long.toString(DEADLINE_MILLIS));

  private final Cluster cluster;
  private final List<String> nodes;
  private final List<String> models;
  private final List<Payment> payments = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private volatile boolean running = true;

  /** What a caller was told of its payment. */
  private record Payment(String body, boolean paid, boolean certainlyNotRun) {}

  SoakCallers(Cluster cluster, List<String> nodes, List<String> models) {
    this.cluster = cluster;
    this.nodes = nodes;
    this.models = models;
  }

  void stop() {
    running = false;
  }

  int answered() {
    return answered.get();
  }

  int refused() {
    return refused.get();
  }

  /** Sends requests until the callers are stopped. */
  void run(long seed) {
    Random random = new Random(seed);
    for (int i = 0; running; i++) {
      String id = seed + "-" + i;
      if (random.nextBoolean()) {
        chat(random, "prompt " + id);
      } else {
        pay(random, id);
      }
      pause(random.nextInt(MAX_PAUSE_MILLIS));
    }
  }

  private void chat(Random random, String prompt) {
    String model = models.get(random.nextInt(models.size()));
    ApiResponse reply = cluster.chat(anyNode(random), model, prompt, TOKENS, DEADLINE);
    check(reply, "chat with " + model);
    if (reply.status() == 200
        && !reply.completionText().equals(Cluster.expectedCompletion(prompt, TOKENS))) {
      violate("wrong answer to \"" + prompt + "\": " + reply.body());
    }
  }

  /** A caller repeats its payment under the same key while it is told to, or told nothing. */
  private void pay(Random random, String id) {
    String body = "{\"amount\":1,\"order\":\"" + id + "\"}";
    boolean paid = false;
    boolean notRun = true;
    for (int attempt = 0; attempt < MAX_TRIES && !paid; attempt++) {
      ApiResponse reply = cluster.pay(anyNode(random), "key-" + id, body);
      check(reply, "payment " + id);
      paid = reply.status() == 200;
      notRun &= reply.status() != 0 && !paid && reply.errorRan().equals("no");
    }
    synchronized (this) {
      payments.add(new Payment(body, paid, notRun));
    }
  }

  private void check(ApiResponse reply, String what) {
    if (reply.status() == 200) {
      answered.incrementAndGet();
    } else {
      refused.incrementAndGet();
    }
    if (reply.elapsedMillis() > MAX_CALL_MILLIS) {
      violate(what + " took " + reply.elapsedMillis() + " ms");
    }
  }

  /**
   * Returns what was violated.
   *
   * @param runsByCall how often the services ran each call
   */
  synchronized List<String> violations(Map<String, Integer> runsByCall) {
    List<String> all = new ArrayList<>(violations);
    for (Payment payment : payments) {
      int runs = runsByCall.getOrDefault("/pay " + payment.body(), 0);
      if (runs > 1) {
        all.add(payment + " ran " + runs + " times");
      }
      if (runs == 0 && payment.paid()) {
        all.add(payment + " was answered and did not run");
      }
      if (runs > 0 && payment.certainlyNotRun()) {
        all.add(payment + " was said not to have run");
      }
    }
    return all;
  }

  private synchronized void violate(String what) {
    violations.add(what);
  }

  private String anyNode(Random random) {
    return nodes.get(random.nextInt(nodes.size()));
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
