package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.StreamOrigin;

/**
 * Possible origins in answers to a node that asks for the streams of one service. An origin at this
 * service is its version alone; one at another service is marked, so that builds that know versions
 * of one service only take it for a further version.
 */
final class OriginText {
  private static final String MARK = "\n";

  private OriginText() {}

  /** Returns the text of an origin for a node that asks for a service. */
  static String of(StreamOrigin origin, String service) {
    return origin.service().equals(service)
        ? origin.softwareVersion()
        : MARK + origin.service() + MARK + origin.softwareVersion();
  }

  /** Returns the origin of a text in the answer to a node that asks for a service. */
  static StreamOrigin parse(String text, String service) {
    int end = text.indexOf(MARK, MARK.length());
    return text.startsWith(MARK) && end > 0
        ? new StreamOrigin(text.substring(MARK.length(), end), text.substring(end + MARK.length()))
        : new StreamOrigin(service, text);
  }
}
