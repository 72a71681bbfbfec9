package io.nutmegseam.standin.fault;

import com.fasterxml.jackson.databind.JsonNode;
import io.nutmegseam.standin.http.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Injects faults into the calls of one stand-in according to a list of rules. */
public final class FaultInjector {
  private List<FaultRule> rules = List.of();

  /** Replaces all rules with those of the request body, a JSON array, and responds with 200. */
  public void handleSetRules(HttpExchange exchange) throws IOException {
    List<FaultRule> newRules = new ArrayList<>();
    for (JsonNode rule : exchange.bodyJson()) {
      newRules.add(
          new FaultRule(
              rule.path("target").asText("*"),
              FaultMode.valueOf(rule.path("mode").asText().toUpperCase(Locale.ROOT)),
              rule.path("count").asInt(-1),
              rule.path("delayMillis").asLong(0),
              rule.path("match").asText("")));
    }
    setRules(newRules);
    exchange.respondJson(200, List.of());
  }

  /** Replaces all rules. */
  public synchronized void setRules(List<FaultRule> newRules) {
    rules = List.copyOf(newRules);
  }

  /**
   * Returns the first rule that matches a call, if any, and decrements its remaining calls.
   *
   * @param call name of the call
   * @param body body of the request
   */
  public synchronized Optional<FaultRule> consumeMatch(String call, String body) {
    for (int i = 0; i < rules.size(); i++) {
      FaultRule rule = rules.get(i);
      if (rule.matches(call, body)) {
        List<FaultRule> newRules = new ArrayList<>(rules);
        newRules.set(i, rule.withDecrementedCount());
        rules = List.copyOf(newRules);
        return Optional.of(rule);
      }
    }
    return Optional.empty();
  }

  /**
   * Runs a call and sends its response, with the fault of the first matching rule applied.
   *
   * @param call name of the call
   * @param exchange the request and its connection
   * @param operation runs the call and returns its response
   */
  public void run(String call, HttpExchange exchange, Operation operation)
      throws IOException, InterruptedException {
    Optional<FaultRule> fault = consumeMatch(call, exchange.bodyText());
    FaultMode mode = fault.map(FaultRule::mode).orElse(null);
    if (mode == null) {
      send(exchange, operation.run());
      return;
    }
    switch (mode) {
      case SLOW -> {
        Thread.sleep(fault.get().delayMillis());
        send(exchange, operation.run());
      }
      case LATE -> {
        Response response = operation.run();
        Thread.sleep(fault.get().delayMillis());
        send(exchange, response);
      }
      case REFUSE ->
          exchange.respond(503, "application/json", "[]", java.util.Map.of("X-Ran", "no"));
      case DROP, CRASH -> exchange.abort();
      case CUT -> {
        Response response = operation.run();
        exchange.respondTruncated(response.status(), "application/json", response.body());
      }
      default -> {
        operation.run();
        exchange.abort();
      }
    }
  }

  /**
   * The response to a call.
   *
   * @param status HTTP status
   * @param body JSON text
   */
  public record Response(int status, String body) {
    /** Returns a response whose body is the value encoded as JSON. */
    public static Response of(int status, Object value) throws IOException {
      return new Response(status, HttpExchange.JSON.writeValueAsString(value));
    }
  }

  /** Runs a call. */
  @FunctionalInterface
  public interface Operation {
    /** Runs the call and returns its response. */
    Response run() throws IOException, InterruptedException;
  }

  private static void send(HttpExchange exchange, Response response) {
    exchange.respond(response.status(), "application/json", response.body(), java.util.Map.of());
  }
}
