package io.nutmegseam.core.pace;

import java.util.HashMap;
import java.util.Map;

/**
 * The prompts that this node has sent to each server and whose first event is outstanding. Not
 * thread-safe.
 */
public final class PromptBacklog {
  private final Map<String, Waiting> waitingByServer = new HashMap<>();

  /** The prompts at one server. */
  private static final class Waiting {
    private final Map<Object, Prompt> prompts = new HashMap<>();
    private long tokens;
    private int longPrompts;
  }

  private record Prompt(long tokens, boolean isLong) {}

  /**
   * Adds a prompt.
   *
   * @param server id of the server
   * @param request identity of the request
   * @param tokens prompt tokens that the server has to process
   * @param isLong whether the prompt delays short ones noticeably
   */
  public void add(String server, Object request, long tokens, boolean isLong) {
    remove(server, request);
    Waiting waiting = waitingByServer.computeIfAbsent(server, s -> new Waiting());
    waiting.prompts.put(request, new Prompt(tokens, isLong));
    waiting.tokens += tokens;
    waiting.longPrompts += isLong ? 1 : 0;
  }

  /** Removes a prompt whose first event has arrived or that has ended, if it is still there. */
  public void remove(String server, Object request) {
    Waiting waiting = waitingByServer.get(server);
    Prompt prompt = waiting == null ? null : waiting.prompts.remove(request);
    if (prompt != null) {
      waiting.tokens -= prompt.tokens();
      waiting.longPrompts -= prompt.isLong() ? 1 : 0;
      if (waiting.prompts.isEmpty()) {
        waitingByServer.remove(server);
      }
    }
  }

  /** Returns the prompt tokens at a server whose first event is outstanding. */
  public long tokens(String server) {
    Waiting waiting = waitingByServer.get(server);
    return waiting == null ? 0 : waiting.tokens;
  }

  /** Returns the number of long prompts at a server whose first event is outstanding. */
  public int longPrompts(String server) {
    Waiting waiting = waitingByServer.get(server);
    return waiting == null ? 0 : waiting.longPrompts;
  }
}
