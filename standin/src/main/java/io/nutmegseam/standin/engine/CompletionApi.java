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

/**
 * Serves completions as server-sent events. Simulates continuous batching; a client can cancel an
 * attempt and resume its stream.
 */
final class CompletionApi {
  private static final int MAX_BATCH_SIZE = 16;
  private static final int STREAMS_BEFORE_PRUNING = 256;
  private static final int CACHE_PREFIX_CHARACTERS = 64;
  private static final int MAX_CACHED_PREFIXES = 32;
  private static final long STEP_MILLIS = 40;
  private static final double SLOWDOWN_PER_OTHER_REQUEST = 0.125;
  private static final double PROMPT_TOKENS_PER_GENERATED_TOKEN = 20;
  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final EngineProfile profile;
  private final EngineMemory memory;
  private final FaultInjector faults;
  private final Clock clock;
  private final Runnable crash;
  private final Semaphore batchSlots = new Semaphore(MAX_BATCH_SIZE, true);
  private final Map<String, TokenStream> tokenStreams = new ConcurrentHashMap<>();
  private final LinkedHashSet<String> cachedPrefixes = new LinkedHashSet<>();
  private String lastAttemptId = "";

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

  /** Returns the number of requests in the batch. */
  int runningRequests() {
    return MAX_BATCH_SIZE - batchSlots.availablePermits();
  }

  /** Returns the number of requests that wait for a place in the batch. */
  int queuedRequests() {
    return batchSlots.getQueueLength();
  }

  /** Cancels and removes all token streams. */
  void cancelAll() {
    tokenStreams.values().forEach(TokenStream::cancel);
    tokenStreams.clear();
  }

  void handle(HttpExchange exchange) throws IOException, InterruptedException {
    if (exchange.path().startsWith("/attempts/")) {
      handleAttempt(exchange);
      return;
    }
    boolean isCompletionPath =
        exchange.path().equals("/v1/chat/completions") || exchange.path().equals("/v1/completions");
    if (isCompletionPath) {
      complete(exchange);
    } else {
      exchange.respondJson(404, Map.of("error", "no such path"));
    }
  }

  private void handleAttempt(HttpExchange exchange) throws IOException, InterruptedException {
    String attemptId = exchange.path().substring("/attempts/".length());
    TokenStream tokenStream = tokenStreams.get(attemptId);
    if (tokenStream == null) {
      exchange.respondJson(404, Map.of("error", "unknown attempt"));
    } else if (exchange.method().equals("DELETE")) {
      tokenStream.cancel();
      exchange.respondJson(200, Map.of());
    } else {
      int from = Integer.parseInt(exchange.queryParameter("from", "0"));
      sendTokens(exchange, tokenStream, from, Optional.empty());
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
      batchSlots.acquire();
      try {
        generate(exchange, body, mode);
      } finally {
        batchSlots.release();
      }
    } finally {
      memory.endRequest(unit, base, clock.millis());
    }
  }

  /** Generates tokens at the speed of the engine while another thread sends them. */
  private void generate(HttpExchange exchange, JsonNode body, Optional<FaultMode> mode)
      throws InterruptedException {
    String prompt = extractPrompt(body);
    int limit = Math.max(1, body.path("max_tokens").asInt(16));
    TokenStream tokenStream = new TokenStream(exchange.header("X-Attempt-Id", ""), prompt);
    register(tokenStream);
    Thread sender = startSender(exchange, tokenStream, mode);
    double dueTokens = -promptCost(prompt);
    while (!tokenStream.isDone()) {
      TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
      double slowdown = 1 + SLOWDOWN_PER_OTHER_REQUEST * Math.max(0, runningRequests() - 1);
      dueTokens += profile.tokensPerSecond() * STEP_MILLIS / MILLIS_PER_SECOND / slowdown;
      if (dueTokens >= 1) {
        tokenStream.generate((int) dueTokens, limit);
        dueTokens -= (int) dueTokens;
      }
    }
    sender.join();
  }

  private Thread startSender(
      HttpExchange exchange, TokenStream tokenStream, Optional<FaultMode> mode) {
    Thread sender =
        new Thread(
            () -> {
              try {
                sendTokens(exchange, tokenStream, 0, mode);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "standin-stream");
    sender.setDaemon(true);
    sender.start();
    return sender;
  }

  /** Sends the tokens from an index on as they are generated, with the fault applied. */
  private void sendTokens(
      HttpExchange exchange, TokenStream tokenStream, int from, Optional<FaultMode> mode)
      throws InterruptedException {
    String attemptId = responseAttemptId(tokenStream, mode);
    exchange.startStream("text/event-stream", Map.of("X-Attempt-Id", attemptId));
    int sent = from;
    while (true) {
      List<String> tokens = tokenStream.awaitTokens(sent);
      if (tokens.isEmpty()) {
        break;
      }
      sent += tokens.size();
      String event = formatEvent(tokenStream.attemptId(), sent, String.join("", tokens));
      exchange.writeChunk(event);
      if (mode.filter(m -> m == FaultMode.DUPLICATE).isPresent()) {
        exchange.writeChunk(event);
      }
      if (mode.filter(m -> m == FaultMode.CUT).isPresent()) {
        exchange.abort();
        return;
      }
    }
    if (!tokenStream.isCancelled()) {
      exchange.writeChunk("data: [DONE]\n\n");
    }
    exchange.endStream();
  }

  /** Returns the attempt id for the response header; another attempt's id under CROSS. */
  private synchronized String responseAttemptId(TokenStream tokenStream, Optional<FaultMode> mode) {
    boolean isCrossed = mode.filter(m -> m == FaultMode.CROSS).isPresent();
    String otherAttemptId = lastAttemptId.isEmpty() ? "another-attempt" : lastAttemptId;
    lastAttemptId = tokenStream.attemptId();
    return isCrossed ? otherAttemptId : tokenStream.attemptId();
  }

  private static String formatEvent(String attemptId, int tokensSoFar, String text) {
    return "id: "
        + tokensSoFar
        + "\ndata: {\"id\":\""
        + attemptId
        + "\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\""
        + text
        + "\"}}]}\n\n";
  }

  private synchronized void register(TokenStream tokenStream) {
    tokenStreams.put(tokenStream.attemptId(), tokenStream);
    if (tokenStreams.size() > STREAMS_BEFORE_PRUNING) {
      tokenStreams.values().removeIf(TokenStream::isDone);
    }
  }

  /**
   * Returns the cost of processing a prompt, as the number of tokens that could be generated in the
   * same time; zero if the prefix of the prompt is cached.
   */
  private synchronized double promptCost(String prompt) {
    String prefix = prompt.substring(0, Math.min(CACHE_PREFIX_CHARACTERS, prompt.length()));
    boolean isCached = !cachedPrefixes.add(prefix);
    if (cachedPrefixes.size() > MAX_CACHED_PREFIXES) {
      cachedPrefixes.remove(cachedPrefixes.iterator().next());
    }
    double tokens = prompt.length() / (double) CHARACTERS_PER_TOKEN;
    return isCached ? 0 : tokens / PROMPT_TOKENS_PER_GENERATED_TOKEN;
  }

  private static String extractPrompt(JsonNode body) {
    if (body.has("prompt")) {
      return body.path("prompt").asText();
    }
    Map<String, String> contents = new LinkedHashMap<>();
    body.path("messages")
        .forEach(m -> contents.put(contents.size() + "", m.path("content").asText()));
    return String.join("\n", contents.values());
  }
}
