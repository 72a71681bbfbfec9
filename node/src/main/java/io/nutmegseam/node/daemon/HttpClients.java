package io.nutmegseam.node.daemon;

import io.nutmegseam.node.http.CompleteResponses;
import io.nutmegseam.node.settings.NodeSettings.Timing;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Response;

/**
 * The HTTP clients of a node. None of them retries a request on its own. Those to backend servers
 * open a connection for each request: a broken idle connection is never mistaken for a request that
 * may have run, nor a late copy of a refusal for the response to the next request.
 *
 * @param platform for the platform's services
 * @param orders for control calls to engines
 * @param completions for completion requests to engines
 * @param services for calls of plain services
 */
record HttpClients(
    OkHttpClient platform, OkHttpClient orders, OkHttpClient completions, OkHttpClient services) {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final int MAX_CONNECTIONS = 512;

  static HttpClients create(Timing timing) {
    OkHttpClient base =
        new OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .connectTimeout(CONNECT_TIMEOUT)
            .connectionPool(new ConnectionPool(MAX_CONNECTIONS, 30, TimeUnit.SECONDS))
            .addNetworkInterceptor(HttpClients::withoutRetryAfter)
            .addNetworkInterceptor(new CompleteResponses())
            .dispatcher(dispatcher())
            .build();
    OkHttpClient unshared =
        base.newBuilder().connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS)).build();
    Duration platformTimeout = Duration.ofMillis(timing.platformTimeoutMillis());
    Duration orderTimeout = Duration.ofMillis(timing.orderTimeoutMillis());
    return new HttpClients(
        base.newBuilder().callTimeout(platformTimeout).build(),
        unshared.newBuilder().callTimeout(orderTimeout).build(),
        unshared.newBuilder().readTimeout(Duration.ZERO).build(),
        unshared.newBuilder().readTimeout(Duration.ZERO).build());
  }

  /** OkHttp would repeat a request by itself after a 503 with a Retry-After of 0. */
  private static Response withoutRetryAfter(Interceptor.Chain chain) throws IOException {
    Response response = chain.proceed(chain.request());
    return response.newBuilder().removeHeader("Retry-After").build();
  }

  void close() {
    platform.dispatcher().executorService().shutdown();
  }

  private static Dispatcher dispatcher() {
    Dispatcher dispatcher = new Dispatcher();
    dispatcher.setMaxRequests(MAX_CONNECTIONS);
    dispatcher.setMaxRequestsPerHost(MAX_CONNECTIONS);
    return dispatcher;
  }
}
