package io.nutmegseam.standin.fault;

import com.fasterxml.jackson.databind.JsonNode;
import io.nutmegseam.standin.http.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** The faults in force at one stand-in; replaced as a whole by an HTTP call. */
public final class FaultInjector {
  private List<FaultRule> rules = List.of();

  /** Replaces the faults with those of a request body, an array of rules. */
  public void handleSetRules(HttpExchange exchange) throws IOException {
    List<FaultRule> next = new ArrayList<>();
    for (JsonNode rule : exchange.bodyJson()) {
      next.add(
          new FaultRule(
              rule.path("target").asText("*"),
              FaultMode.valueOf(rule.path("mode").asText().toUpperCase(Locale.ROOT)),
              rule.path("count").asInt(-1),
              rule.path("delayMillis").asLong(0),
              rule.path("match").asText("")));
    }
    setRules(next);
    exchange.respondJson(200, List.of());
  }

  /** Replaces the faults. */
  public synchronized void setRules(List<FaultRule> next) {
    rules = List.copyOf(next);
  }

  /**
   * Takes the fault that hits a call, if there is one.
   *
   * @param call name of the call
   * @param body the request body
   */
  public synchronized Optional<FaultRule> consumeMatch(String call, String body) {
    for (int i = 0; i < rules.size(); i++) {
      FaultRule rule = rules.get(i);
      if (rule.matches(call, body)) {
        List<FaultRule> next = new ArrayList<>(rules);
        next.set(i, rule.withDecrementedCount());
        rules = List.copyOf(next);
        return Optional.of(rule);
      }
    }
    return Optional.empty();
  }

  /**
   * Runs a call whose answer is one body under the fault that hits it.
   *
   * @param call name of the call
   * @param exchange the request
   * @param effect runs the call and returns its answer
   */
  public void run(String call, HttpExchange exchange, Operation effect)
      throws IOException, InterruptedException {
    Optional<FaultRule> fault = consumeMatch(call, exchange.bodyText());
    FaultMode mode = fault.map(FaultRule::mode).orElse(null);
    if (mode == null) {
      send(exchange, effect.run());
      return;
    }
    switch (mode) {
      case SLOW -> {
        Thread.sleep(fault.get().delayMillis());
        send(exchange, effect.run());
      }
      case LATE -> {
        Response answer = effect.run();
        Thread.sleep(fault.get().delayMillis());
        send(exchange, answer);
      }
      case REFUSE ->
          exchange.respond(503, "application/json", "[]", java.util.Map.of("X-Ran", "no"));
      case DROP, CRASH -> exchange.abort();
      case CUT -> {
        Response answer = effect.run();
        exchange.respondTruncated(answer.status(), "application/json", answer.body());
      }
      default -> {
        effect.run();
        exchange.abort();
      }
    }
  }

  /**
   * The answer of a call.
   *
   * @param status HTTP status
   * @param body JSON text
   */
  public record Response(int status, String body) {
    /** Returns an answer with a value encoded as JSON. */
    public static Response of(int status, Object value) throws IOException {
      return new Response(status, HttpExchange.JSON.writeValueAsString(value));
    }
  }

  /** The effect of a call. */
  @FunctionalInterface
  public interface Operation {
    /** Runs the call and returns its answer. */
    Response run() throws IOException, InterruptedException;
  }

  private static void send(HttpExchange exchange, Response answer) {
    exchange.respond(answer.status(), "application/json", answer.body(), java.util.Map.of());
  }
}
