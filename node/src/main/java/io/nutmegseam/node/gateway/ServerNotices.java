package io.nutmegseam.node.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.node.pace.RemoteBytes;
import io.nutmegseam.node.quota.SendQuotas;

/** Respects and applies what servers say of themselves in responses to orders and reports. */
final class ServerNotices implements BufferedHttpClient.ServerCallGuard {
  private final LeavingServers leaving;
  private final NamedLimits limits;
  private final SendQuotas quotas;
  private final Transfers transfers;

  /** Receives the bytes of calls to servers. */
  @FunctionalInterface
  interface Transfers {
    /** Counts the bytes of the bodies of a call and of its response. */
    void add(Incarnation server, HttpMethod method, long bytes);

    /** Returns a receiver that counts orders and reports of servers in other data centres. */
    static Transfers of(TrafficContext context) {
      return (server, method, bytes) ->
          context
              .state()
              .fleet()
              .entry(server.id())
              .ifPresent(
                  entry ->
                      context
                          .chooser()
                          .paces()
                          .remoteBytes()
                          .add(
                              method.equals(HttpMethod.GET)
                                  ? RemoteBytes.Kind.REPORT
                                  : RemoteBytes.Kind.ORDER,
                              entry.dataCentre(),
                              bytes));
    }
  }

  /**
   * Creates a guard of these calls.
   *
   * @param leaving reads which servers are leaving
   * @param limits reads for how long servers ask for no requests
   * @param quotas knows which servers have asked for that
   * @param transfers receives the bytes of calls
   */
  ServerNotices(
      LeavingServers leaving, NamedLimits limits, SendQuotas quotas, Transfers transfers) {
    this.leaving = leaving;
    this.limits = limits;
    this.quotas = quotas;
    this.transfers = transfers;
  }

  /** Returns a guard with the components of a node. */
  static ServerNotices of(TrafficContext context) {
    return new ServerNotices(
        context.leaving(), context.limits(), context.quotas(), Transfers.of(context));
  }

  @Override
  public void onTransferred(Incarnation server, HttpMethod method, long bytes) {
    transfers.add(server, method, bytes);
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
