package io.nutmegseam.node.connection;

import java.util.Optional;

/** What is known of a server's process when only its connection has ended a response. */
public enum ProcessCheck {
  /** The end of the response is marked otherwise, or another node has sent it. */
  NOT_NEEDED("", true),
  /** It accepted a connection after the end. */
  LISTENS(", server listens", true),
  /** It refused a connection after the end, but one that it had accepted before is still open. */
  HOLDS_CONNECTION(", server holds another connection", true),
  /** A connection that it had accepted before the end of the response ended too. */
  ENDED(", server's process has ended", false),
  /**
   * Something accepted a connection after the end, but nothing shows that it is the same process:
   * this node was late, so that the next one may listen.
   */
  LISTENS_AFTER_PAUSE(", server listens after a pause of this node", false),
  /** It refused a connection before the end, as a leaving server that completes its responses. */
  STOPPED_BEFORE(", server had stopped listening before", true),
  /** It refused a connection after the end, but was not seen to do so before. */
  REFUSED(", server refused a connection", false),
  /** It neither accepted nor refused a connection in time; an ended process would refuse it. */
  SILENT(", server did not respond to a connection", true),
  /** As before, of a leaving server, whose machine may have gone with it. */
  SILENT_LEAVING(", leaving server did not respond to a connection", false);

  private final String text;
  private final boolean responseWhole;

  ProcessCheck(String text, boolean responseWhole) {
    this.text = text;
    this.responseWhole = responseWhole;
  }

  /** Returns why a response is not taken as whole, or empty if it is. */
  public Optional<String> truncation() {
    return responseWhole ? Optional.empty() : Optional.of("the server's process may have ended");
  }

  @Override
  public String toString() {
    return text;
  }
}
