package io.nutmegseam.node.gateway;

import io.nutmegseam.core.crash.Fingerprint;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Fingerprints by which a request is recognised when it comes again, or what it has in common with
 * other requests.
 *
 * @param content fingerprint of the content; a repeat has the same one, although its id, deadline
 *     and last event id differ
 * @param sharedParts fingerprints of the parts of the prompt that other requests may have as well,
 *     which are all but the last one, in their order
 */
record RequestFingerprints(Fingerprint content, List<Fingerprint> sharedParts) {
  private static final String PART = "part";
  private static final int MAX_PARTS = 32;

  /** Bounds the time on the traffic thread; the size of the body counts as well. */
  private static final int MAX_HASHED_BODY_BYTES = 64 << 10;

  /** Specificity of the content; higher than that of any part. */
  private static final int CONTENT_SPECIFICITY = 100;

  /** Creates the fingerprints with a copy of the list. */
  RequestFingerprints {
    sharedParts = List.copyOf(sharedParts);
  }

  /**
   * Returns the fingerprints of a request.
   *
   * @param request the request
   * @param names names of the platform's headers
   */
  static RequestFingerprints of(InboundRequest request, GatewayHeaders names) {
    return new RequestFingerprints(ofContent(request), ofSharedParts(request, names));
  }

  /** Returns all fingerprints, the content first. */
  List<Fingerprint> all() {
    List<Fingerprint> all = new ArrayList<>();
    all.add(content);
    all.addAll(sharedParts);
    return all;
  }

  /** Returns the specificity of each fingerprint: later parts are shared by fewer requests. */
  Map<Fingerprint, Integer> specificities() {
    Map<Fingerprint, Integer> specificities = new HashMap<>();
    for (int i = 0; i < sharedParts.size(); i++) {
      specificities.put(sharedParts.get(i), i);
    }
    specificities.put(content, CONTENT_SPECIFICITY);
    return specificities;
  }

  private static Fingerprint ofContent(InboundRequest request) {
    int hashedBytes = Math.min(request.body().size(), MAX_HASHED_BODY_BYTES);
    return Fingerprint.builder()
        .add(request.method().name())
        .add(request.host())
        .add(request.target())
        .add(String.valueOf(request.body().size()))
        .add(request.body().substring(0, hashedBytes).asReadOnlyByteBuffer())
        .build();
  }

  private static List<Fingerprint> ofSharedParts(InboundRequest request, GatewayHeaders names) {
    List<String> parts =
        Arrays.asList(request.headers().get(names.prompt(), "").split(",", MAX_PARTS + 1));
    List<Fingerprint> shared = new ArrayList<>();
    for (String part : parts.subList(0, parts.size() - 1)) {
      shared.add(Fingerprint.builder().add(PART).add(partId(part)).build());
    }
    return shared;
  }

  /** Returns the id of a part that is written as {@code id:tokens}. */
  private static String partId(String part) {
    int colon = part.indexOf(':');
    return (colon < 0 ? part : part.substring(0, colon)).trim().toLowerCase(Locale.ROOT);
  }

  @Override
  public String toString() {
    return "content %s, shared parts %s".formatted(content, sharedParts);
  }
}
