package io.nutmegseam.standin.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** Represents an HTTP request and its connection, on which the response is sent. */
public final class HttpExchange {
  /** Shared mapper that reads and writes JSON. */
  public static final ObjectMapper JSON = new ObjectMapper();

  private final Channel channel;
  private final FullHttpRequest request;
  private final QueryStringDecoder uriDecoder;
  private final byte[] body;

  HttpExchange(Channel channel, FullHttpRequest request) {
    this.channel = channel;
    this.request = request;
    this.uriDecoder = new QueryStringDecoder(request.uri());
    this.body = new byte[request.content().readableBytes()];
    request.content().readBytes(body);
  }

  /** Returns the method, such as {@code POST}. */
  public String method() {
    return request.method().name();
  }

  /** Returns the path without the query. */
  public String path() {
    return uriDecoder.path();
  }

  /** Returns the first value of a query parameter, or the default if the parameter is absent. */
  public String queryParameter(String name, String defaultValue) {
    List<String> values = uriDecoder.parameters().getOrDefault(name, List.of());
    return values.isEmpty() ? defaultValue : values.get(0);
  }

  /** Returns a request header, or the default if the header is absent. */
  public String header(String name, String defaultValue) {
    return request.headers().get(name, defaultValue);
  }

  /** Returns the request body as UTF-8 text. */
  public String bodyText() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** Returns the request body as JSON. */
  public JsonNode bodyJson() throws IOException {
    return JSON.readTree(body);
  }

  /** Returns whether the client is still connected. */
  public boolean isConnected() {
    return channel.isActive();
  }

  /** Sends a complete response whose body is the value encoded as JSON. */
  public void respondJson(int status, Object value) throws IOException {
    respond(status, "application/json", JSON.writeValueAsString(value), Map.of());
  }

  /** Sends a complete response. */
  public void respond(int status, String contentType, String text, Map<String, String> headers) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(bytes));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    headers.forEach((name, value) -> response.headers().set(name, value));
    HttpUtil.setContentLength(response, bytes.length);
    send(response);
  }

  /** Sends the headers and the first half of the body, then closes the connection. */
  public void respondTruncated(int status, String contentType, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    HttpResponse head =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    head.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    HttpUtil.setContentLength(head, bytes.length);
    send(head);
    byte[] half = java.util.Arrays.copyOf(bytes, bytes.length / 2);
    send(new DefaultHttpContent(Unpooled.wrappedBuffer(half)));
    abort();
  }

  /** Sends the headers of a chunked response with status 200. */
  public void startStream(String contentType, Map<String, String> headers) {
    HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    head.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    headers.forEach((name, value) -> head.headers().set(name, value));
    HttpUtil.setTransferEncodingChunked(head, true);
    send(head);
  }

  /** Sends one chunk of a chunked response. */
  public void writeChunk(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    send(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
  }

  /** Sends the end of a chunked response. */
  public void endStream() {
    send(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  /** Closes the connection. */
  public void abort() {
    channel.close();
  }

  /** Writes to the connection. Data is lost if the connection is closed, as on a real network. */
  private void send(Object message) {
    channel.writeAndFlush(message);
  }
}
