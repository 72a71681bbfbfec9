package io.nutmegseam.standin.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers that send chats and payments with short random pauses and check each response. Safe for
 * use by several threads.
 */
final class SoakCallers {
  private static final int TOKENS = 10;
  private static final int MAX_ATTEMPTS = 3;
  private static final int MAX_PAUSE_MILLIS = 120;

  /** Deadline of a chat, and the time-out of a payment in the service record. */
  private static final long DEADLINE_MILLIS = 8_000;

  /**
   * Longest permitted duration of a call: the deadline, 2.7 s for the longest suspension of a node,
   * because a node may be suspended when the deadline passes, and a margin.
   */
  private static final long MAX_CALL_MILLIS = DEADLINE_MILLIS + 2_700 + 1_000;

  private static final Map<String, String> DEADLINE_HEADER =
      Map.of("X-Deadline-Millis", Long.toString(DEADLINE_MILLIS));

  private final Cluster cluster;
  private final List<String> nodes;
  private final List<String> models;
  private final List<Payment> payments = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private volatile boolean running = true;

  /** The outcome of a payment as reported to its caller. */
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

  /** Runs one caller until {@link #stop()}. */
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
    ApiResponse response = cluster.chat(anyNode(random), model, prompt, TOKENS, DEADLINE_HEADER);
    checkResponse(response, "chat with " + model);
    if (response.status() == 200
        && !response.completionText().equals(Cluster.expectedCompletion(prompt, TOKENS))) {
      addViolation("wrong response to \"" + prompt + "\": " + response.body());
    }
  }

  /**
   * Sends a payment, and retries it with the same idempotency key after any other status than 200.
   */
  private void pay(Random random, String id) {
    String body = "{\"amount\":1,\"order\":\"" + id + "\"}";
    boolean paid = false;
    boolean notRun = true;
    for (int attempt = 0; attempt < MAX_ATTEMPTS && !paid; attempt++) {
      ApiResponse response = cluster.pay(anyNode(random), "key-" + id, body);
      checkResponse(response, "payment " + id);
      paid = response.status() == 200;
      notRun &= response.status() != 0 && !paid && response.errorRan().equals("no");
    }
    synchronized (this) {
      payments.add(new Payment(body, paid, notRun));
    }
  }

  private void checkResponse(ApiResponse response, String description) {
    if (response.status() == 200) {
      answered.incrementAndGet();
    } else {
      refused.incrementAndGet();
    }
    if (response.elapsedMillis() > MAX_CALL_MILLIS) {
      addViolation(description + " took " + response.elapsedMillis() + " ms");
    }
  }

  /**
   * Returns descriptions of all violations: wrong or late responses, and payments that ran more
   * than once or contradict the reported outcome.
   *
   * @param runsByCall number of runs at the services, by path and body of the call
   */
  synchronized List<String> violations(Map<String, Integer> runsByCall) {
    List<String> all = new ArrayList<>(violations);
    for (Payment payment : payments) {
      int runs = runsByCall.getOrDefault("/pay " + payment.body(), 0);
      if (runs > 1) {
        all.add(payment + " ran " + runs + " times");
      }
      if (runs == 0 && payment.paid()) {
        all.add(payment + " was reported as paid but did not run");
      }
      if (runs > 0 && payment.certainlyNotRun()) {
        all.add(payment + " was reported as not run but ran");
      }
    }
    return all;
  }

  private synchronized void addViolation(String description) {
    violations.add(description);
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
