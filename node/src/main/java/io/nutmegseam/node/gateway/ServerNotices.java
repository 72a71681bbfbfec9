package io.nutmegseam.node.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.node.quota.SendQuotas;

/** Respects and applies what servers say of themselves in responses to orders and reports. */
final class ServerNotices implements BufferedHttpClient.ServerCallGuard {
  private final LeavingServers leaving;
  private final NamedLimits limits;
  private final SendQuotas quotas;

  /**
   * Creates a guard of these calls.
   *
   * @param leaving reads which servers are leaving
   * @param limits reads for how long servers ask for no requests
   * @param quotas knows which servers have asked for that
   */
  ServerNotices(LeavingServers leaving, NamedLimits limits, SendQuotas quotas) {
    this.leaving = leaving;
    this.limits = limits;
    this.quotas = quotas;
  }

  @Override
  public boolean mayCall(Incarnation server) {
    return quotas.pauseMillis(server) == 0;
  }

  @Override
  public void onResponse(Incarnation server, HttpResponseStatus status, HttpHeaders headers) {
    leaving.onResponse(server, status, headers);
    limits.readPause(server, status, headers);
  }
}
