package io.nutmegseam.node.backend;

import io.nutmegseam.core.backend.BackendException;
import io.nutmegseam.core.backend.BackendException.Outcome;
import java.io.IOException;
import java.net.ConnectException;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.ByteString;

/**
 * Sends calls to plain services. A service proves with the response header {@code X-Ran: no} that
 * it did not run a call; every other response, whatever its status, is the result of the call.
 */
public final class PlainServiceClient {
  private static final String RAN_HEADER = "X-Ran";

  private final OkHttpClient client;

  /**
   * Creates a client.
   *
   * @param client HTTP client; must not retry by itself
   */
  public PlainServiceClient(OkHttpClient client) {
    this.client = client;
  }

  /**
   * A call of a plain service.
   *
   * @param address base address of the backend server
   * @param method HTTP method
   * @param path path within the service
   * @param contentType content type of the body
   * @param body request body
   * @param timeoutMillis longest time until the complete response, in milliseconds
   */
  public record ServiceCall(
      String address,
      String method,
      String path,
      String contentType,
      ByteString body,
      long timeoutMillis) {}

  /**
   * The complete response to a call.
   *
   * @param status HTTP status
   * @param contentType content type of the body
   * @param body response body
   */
  public record ServiceResponse(int status, String contentType, ByteString body) {}

  /**
   * Sends a call and waits for its response.
   *
   * @param serviceCall the call
   * @return the complete response
   * @throws BackendException if the service did not run the call or the response is not complete
   */
  public ServiceResponse run(ServiceCall serviceCall) throws BackendException {
    boolean hasBody = !serviceCall.method().equals("GET");
    RequestBody body =
        hasBody
            ? RequestBody.create(serviceCall.body(), MediaType.parse(serviceCall.contentType()))
            : null;
    Request request =
        new Request.Builder()
            .url(serviceCall.address() + serviceCall.path())
            .method(serviceCall.method(), body)
            .build();
    Call call = client.newCall(request);
    call.timeout().timeout(Math.max(1, serviceCall.timeoutMillis()), TimeUnit.MILLISECONDS);
    try (Response response = call.execute()) {
      if (response.header(RAN_HEADER, "").equals("no")) {
        throw new BackendException(
            Outcome.REFUSED, "service did not run the call, status " + response.code());
      }
      String type = response.header("Content-Type", "application/octet-stream");
      return new ServiceResponse(response.code(), type, response.body().byteString());
    } catch (ConnectException e) {
      throw new BackendException(Outcome.NOT_SENT, "cannot connect: " + e.getMessage());
    } catch (IOException e) {
      throw new BackendException(Outcome.UNKNOWN, "no complete response: " + e.getMessage());
    }
  }
}
