package io.nutmegseam.node.gateway;

import io.nutmegseam.core.crash.Fingerprint;

/** Computes the fingerprints by which a request is recognised when it comes again. */
final class RequestFingerprints {
  private RequestFingerprints() {}

  /**
   * Returns the fingerprint of a request's content. A repeat has the same one, although its id,
   * deadline and last event id differ.
   */
  static Fingerprint ofContent(InboundRequest request) {
    return Fingerprint.builder()
        .add(request.method().name())
        .add(request.host())
        .add(request.target())
        .add(request.body().asReadOnlyByteBuffer())
        .build();
  }
}
