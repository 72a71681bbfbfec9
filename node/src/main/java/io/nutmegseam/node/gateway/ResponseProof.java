package io.nutmegseam.node.gateway;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.nutmegseam.core.error.ErrorKind;
import java.util.Set;

/**
 * Tells what the response of a server, or of another node, proves of the request.
 *
 * @param names names of the headers
 * @param fromPeer whether another node sent the response
 */
record ResponseProof(GatewayHeaders names, boolean fromPeer) {
  /** Refusals of a node after which another one may serve the request. */
  private static final Set<String> OTHER_PEER_KINDS =
      Set.of(ErrorKind.NO_BACKEND_SERVER.wireName(), ErrorKind.NOT_READY.wireName());

  /** Statuses that callers take as a promise that the request has not run. */
  private static final Set<HttpResponseStatus> NOT_RUN_STATUSES =
      Set.of(
          HttpResponseStatus.REQUEST_TIMEOUT,
          HttpResponseStatus.TOO_MANY_REQUESTS,
          HttpResponseStatus.SERVICE_UNAVAILABLE);

  /**
   * Returns whether a response proves that the request did not run and may be sent elsewhere. Other
   * refusals of a node, such as that of an overload, hold for all nodes and are forwarded.
   */
  boolean provesNotRun(HttpResponse head) {
    String notRun = head.headers().get(names.notRun());
    return fromPeer
        ? notRun != null && OTHER_PEER_KINDS.contains(notRun)
        : notRun != null || head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
  }

  /**
   * Returns whether a response would tell the caller of a success, or that the request has not run,
   * while nothing proves it.
   */
  boolean isMissing(HttpResponse head) {
    boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS;
    boolean statesNotRun =
        !fromPeer && NOT_RUN_STATUSES.contains(head.status()) && !provesNotRun(head);
    return (success || statesNotRun) && !head.headers().contains(names.receipt());
  }
}
