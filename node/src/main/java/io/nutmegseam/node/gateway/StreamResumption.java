package io.nutmegseam.node.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.core.gateway.Route;
import java.util.Optional;

/**
 * What a request says of the stream that it resumes.
 *
 * @param firstRequest id of the request that brought the first event; empty if it is not stated
 * @param lastEventId id of the last event that the caller has; empty if it is not stated
 */
record StreamResumption(String firstRequest, String lastEventId) {
  /**
   * Returns the stream that a request resumes; empty if it begins one. The stream may have begun
   * while the route had resumable streams, although it has none now.
   */
  static Optional<StreamResumption> of(HttpHeaders headers, GatewayHeaders names, Route route) {
    StreamResumption resumption =
        new StreamResumption(
            headers.get(names.resumes(), ""), headers.get(names.lastEventId(), ""));
    boolean stated = !resumption.firstRequest().isEmpty() || !resumption.lastEventId().isEmpty();
    return stated && route.kind() == RequestKind.STREAMING
        ? Optional.of(resumption)
        : Optional.empty();
  }
}
