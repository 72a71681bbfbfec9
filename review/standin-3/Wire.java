import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages. */
final class Wire {
  private static final int HEXADECIMAL = 16;

  private Wire() {}

  /** The start line and the headers of a message. */
  record Head(String start, Map<String, String> headers) {
    String word(int index) {
      return start.split(" ", -1)[index];
    }

    int status() {
      return Integer.parseInt(word(1));
    }

    String header(String name) {
      return headers.getOrDefault(name, "");
    }
  }

  /** Reads a head; null at the end of the input. */
  static Head readHead(InputStream in) throws IOException {
    String start = readLine(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = require(in); !line.isEmpty(); line = require(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
    }
    return new Head(start, headers);
  }

  /** Reads a body that has a length or chunks; empty if the head names neither. */
  static byte[] readBody(InputStream in, Head head) throws IOException {
    if (!isChunked(head)) {
      String length = head.header("Content-Length");
      return readFully(in, length.isEmpty() ? 0 : Integer.parseInt(length));
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
      body.write(chunk);
    }
    return body.toByteArray();
  }

  static boolean isChunked(Head head) {
    return head.header("Transfer-Encoding").toLowerCase(Locale.ROOT).equals("chunked");
  }

  /** Reads a chunk; the last one is empty. */
  static byte[] readChunk(InputStream in) throws IOException {
    byte[] chunk = readFully(in, Integer.parseInt(require(in).trim(), HEXADECIMAL));
    require(in);
    return chunk;
  }

  /** Returns a response with a length. */
  static byte[] response(int status, String headers, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    ByteArrayOutputStream message = new ByteArrayOutputStream();
    message.writeBytes(
        bytes("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + bytes.length
            + "\r\n\r\n"));
    message.writeBytes(bytes);
    return message.toByteArray();
  }

  static byte[] chunk(String text) {
    return bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static byte[] readFully(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("connection closed inside a body");
    }
    return bytes;
  }

  private static String require(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      throw new EOFException("connection closed inside a message");
    }
    return line;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0 && line.size() > 0) {
        throw new EOFException("connection closed inside a line");
      } else if (b < 0) {
        return null;
      } else if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
