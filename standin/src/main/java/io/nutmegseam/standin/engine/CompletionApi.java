package io.nutmegseam.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.nutmegseam.standin.fault.FaultInjector;
import io.nutmegseam.standin.fault.FaultMode;
import io.nutmegseam.standin.fault.FaultRule;
import io.nutmegseam.standin.http.HttpExchange;
import java.io.IOException;
import java.time.Clock;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** Completions as server-sent events, with continuous batching, cancel and resume. */
final class CompletionApi {
  private static final int MAX_BATCH = 16;
  private static final int KEPT_GENERATIONS = 256;
  private static final int PREFIX_CHARACTERS = 64;
  private static final int CACHED_PREFIXES = 32;
  private static final long STEP_MILLIS = 40;
  private static final double SLOWDOWN_PER_STREAM = 0.125;
  private static final double PROMPT_TOKENS_PER_TOKEN = 20;
  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final EngineProfile profile;
  private final EngineMemory memory;
  private final FaultInjector faults;
  private final Clock clock;
  private final Runnable crash;
  private final Semaphore batch = new Semaphore(MAX_BATCH, true);
  private final Map<String, TokenStream> generations = new ConcurrentHashMap<>();
  private final LinkedHashSet<String> cachedPrefixes = new LinkedHashSet<>();
  private String lastAttempt = "";

  CompletionApi(
      EngineProfile profile,
      EngineMemory memory,
      FaultInjector faults,
      Clock clock,
      Runnable crash) {
    this.profile = profile;
    this.memory = memory;
    this.faults = faults;
    this.clock = clock;
    this.crash = crash;
  }

  int runningRequests() {
    return MAX_BATCH - batch.availablePermits();
  }

  int queuedRequests() {
    return batch.getQueueLength();
  }

  void cancelAll() {
    generations.values().forEach(TokenStream::cancel);
    generations.clear();
  }

  void handle(HttpExchange exchange) throws IOException, InterruptedException {
    if (exchange.path().startsWith("/attempts/")) {
      handleAttempt(exchange);
      return;
    }
    boolean known =
        exchange.path().equals("/v1/chat/completions") || exchange.path().equals("/v1/completions");
    if (known) {
      complete(exchange);
    } else {
      exchange.respondJson(404, Map.of("error", "no such path"));
    }
  }

  private void handleAttempt(HttpExchange exchange) throws IOException, InterruptedException {
    String attempt = exchange.path().substring("/attempts/".length());
    TokenStream generation = generations.get(attempt);
    if (generation == null) {
      exchange.respondJson(404, Map.of("error", "unknown attempt"));
    } else if (exchange.method().equals("DELETE")) {
      generation.cancel();
      exchange.respondJson(200, Map.of());
    } else {
      int from = Integer.parseInt(exchange.queryParameter("from", "0"));
      stream(exchange, generation, from, Optional.empty());
    }
  }

  private void complete(HttpExchange exchange) throws IOException, InterruptedException {
    Optional<FaultRule> fault = faults.consumeMatch("completion", exchange.bodyText());
    FaultMode mode = fault.map(FaultRule::mode).orElse(null);
    if (mode == FaultMode.SLOW) {
      Thread.sleep(fault.get().delayMillis());
    }
    if (mode == FaultMode.REFUSE) {
      exchange.respondJson(503, Map.of("error", "refused", "ran", "no"));
      return;
    }
    if (mode == FaultMode.DROP) {
      exchange.abort();
      return;
    }
    JsonNode body = exchange.bodyJson();
    String unit = body.path("model").asText();
    String base = exchange.header("X-Base-Model", "");
    if (!memory.beginRequest(unit, base, clock.millis())) {
      exchange.respondJson(404, Map.of("error", "model not loaded", "ran", "no"));
      return;
    }
    if (mode == FaultMode.CRASH) {
      Thread.sleep(fault.get().delayMillis());
      crash.run();
      return;
    }
    runInBatch(exchange, body, unit, base, Optional.ofNullable(mode));
  }

  private void runInBatch(
      HttpExchange exchange, JsonNode body, String unit, String base, Optional<FaultMode> mode)
      throws InterruptedException {
    try {
      batch.acquire();
      try {
        generate(exchange, body, mode);
      } finally {
        batch.release();
      }
    } finally {
      memory.endRequest(unit, base, clock.millis());
    }
  }

  private void generate(HttpExchange exchange, JsonNode body, Optional<FaultMode> mode)
      throws InterruptedException {
    String prompt = prompt(body);
    int limit = Math.max(1, body.path("max_tokens").asInt(16));
    TokenStream generation = new TokenStream(exchange.header("X-Attempt-Id", ""), prompt);
    remember(generation);
    Thread reader = startReader(exchange, generation, mode);
    double owed = -promptCost(prompt);
    while (!generation.isDone()) {
      TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
      double slowdown = 1 + SLOWDOWN_PER_STREAM * Math.max(0, runningRequests() - 1);
      owed += profile.tokensPerSecond() * STEP_MILLIS / MILLIS_PER_SECOND / slowdown;
      if (owed >= 1) {
        generation.generate((int) owed, limit);
        owed -= (int) owed;
      }
    }
    reader.join();
  }

  private Thread startReader(
      HttpExchange exchange, TokenStream generation, Optional<FaultMode> mode) {
    Thread reader =
        new Thread(
            () -> {
              try {
                stream(exchange, generation, 0, mode);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "standin-stream");
    reader.setDaemon(true);
    reader.start();
    return reader;
  }

  private void stream(
      HttpExchange exchange, TokenStream generation, int from, Optional<FaultMode> mode)
      throws InterruptedException {
    String attempt = answeredAttempt(generation, mode);
    exchange.startStream("text/event-stream", Map.of("X-Attempt-Id", attempt));
    int sent = from;
    while (true) {
      List<String> tokens = generation.awaitTokens(sent);
      if (tokens.isEmpty()) {
        break;
      }
      sent += tokens.size();
      String event = event(generation.attemptId(), sent, String.join("", tokens));
      exchange.writeChunk(event);
      if (mode.filter(m -> m == FaultMode.DUPLICATE).isPresent()) {
        exchange.writeChunk(event);
      }
      if (mode.filter(m -> m == FaultMode.CUT).isPresent()) {
        exchange.abort();
        return;
      }
    }
    if (!generation.isCancelled()) {
      exchange.writeChunk("data: [DONE]\n\n");
    }
    exchange.endStream();
  }

  private synchronized String answeredAttempt(TokenStream generation, Optional<FaultMode> mode) {
    boolean crossed = mode.filter(m -> m == FaultMode.CROSS).isPresent();
    String other = lastAttempt.isEmpty() ? "another-attempt" : lastAttempt;
    lastAttempt = generation.attemptId();
    return crossed ? other : generation.attemptId();
  }

  private static String event(String attempt, int tokensSoFar, String text) {
    return "id: "
        + tokensSoFar
        + "\ndata: {\"id\":\""
        + attempt
        + "\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\""
        + text
        + "\"}}]}\n\n";
  }

  private synchronized void remember(TokenStream generation) {
    generations.put(generation.attemptId(), generation);
    if (generations.size() > KEPT_GENERATIONS) {
      generations.values().removeIf(TokenStream::isDone);
    }
  }

  private synchronized double promptCost(String prompt) {
    String prefix = prompt.substring(0, Math.min(PREFIX_CHARACTERS, prompt.length()));
    boolean cached = !cachedPrefixes.add(prefix);
    if (cachedPrefixes.size() > CACHED_PREFIXES) {
      cachedPrefixes.remove(cachedPrefixes.iterator().next());
    }
    double tokens = prompt.length() / (double) CHARACTERS_PER_TOKEN;
    return cached ? 0 : tokens / PROMPT_TOKENS_PER_TOKEN;
  }

  private static String prompt(JsonNode body) {
    if (body.has("prompt")) {
      return body.path("prompt").asText();
    }
    Map<String, String> parts = new LinkedHashMap<>();
    body.path("messages").forEach(m -> parts.put(parts.size() + "", m.path("content").asText()));
    return String.join("\n", parts.values());
  }
}
