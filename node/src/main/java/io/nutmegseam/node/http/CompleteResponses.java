package io.nutmegseam.node.http;

import java.io.IOException;
import okhttp3.Interceptor;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSink;

/**
 * Network interceptor that fails calls without a valid final status, and early responses whose end
 * cannot be told from that of a broken connection. OkHttp reads a response after a failed write as
 * well, and then takes a reset for the end of a body without a length.
 */
public final class CompleteResponses implements Interceptor {
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  @Override
  public Response intercept(Chain chain) throws IOException {
    Request request = chain.request();
    WrittenBody body = request.body() == null ? null : new WrittenBody(request.body());
    Request observed =
        body == null ? request : request.newBuilder().method(request.method(), body).build();
    Response response = chain.proceed(observed);
    if (!ResponseStatus.isFinal(response.code())) {
      discard(chain, response);
      throw new IOException(response.code() + " is no status of a final response");
    }
    if (body != null && !body.written && endsWithConnection(response)) {
      discard(chain, response);
      throw new IOException("response without a length before the request was written");
    }
    return response.newBuilder().request(request).build();
  }

  /** Closes the connection, which must not carry another request. */
  private static void discard(Chain chain, Response response) throws IOException {
    chain.connection().socket().close();
    response.close();
  }

  private static boolean endsWithConnection(Response response) {
    return response.code() != NO_CONTENT
        && response.code() != NOT_MODIFIED
        && response.header("Content-Length") == null
        && !"chunked".equalsIgnoreCase(response.header("Transfer-Encoding"));
  }

  /** A request body that tells whether all of it was written to the connection. */
  private static final class WrittenBody extends RequestBody {
    private final RequestBody body;
    private boolean written;

    private WrittenBody(RequestBody body) {
      this.body = body;
    }

    @Override
    public MediaType contentType() {
      return body.contentType();
    }

    @Override
    public long contentLength() throws IOException {
      return body.contentLength();
    }

    @Override
    public void writeTo(BufferedSink sink) throws IOException {
      body.writeTo(sink);
      sink.flush();
      written = true;
    }
  }
}
