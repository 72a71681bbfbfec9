import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** Consumers of streams: each request has an id and, unless it is kept, a channel of its own. */
final class Consumers {
  private static final AtomicInteger LAST = new AtomicInteger();

  private final Record record;

  Consumers(Record record) {
    this.record = record;
  }

  /** Sends a request for a stream and reads its answer; returns the status, 0 if it was cut. */
  int stream(int port, String model, int events, long deadlineMillis) {
    String id = String.format("%016x", 0x5a00_0000_0000_0000L + LAST.incrementAndGet());
    String result;
    int status = 0;
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout((int) deadlineMillis);
      record.add("request %s for %s sent to port %d".formatted(id, model, port));
      socket
          .getOutputStream()
          .write(
              Wire.bytes(
                  "POST /chat/x/" + events + " HTTP/1.1\r\nHost: review.example\r\nRequest-Id: " + id
                      + "\r\nModel: " + model + "\r\nToken-Count: 646,60\r\n"
                      + "Prompt-Prefix: 5c1e07a2:155," + id.substring(8) + ":491\r\n"
                      + "Deadline-Ms: " + deadlineMillis + "\r\nContent-Length: 2\r\n\r\n{}"));
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      Wire.Head head = Wire.readHead(in);
      if (head == null) {
        throw new IOException("closed without an answer");
      }
      status = head.status();
      int bytes = Wire.readBody(in, head).length;
      result = status + ", whole, " + bytes + " bytes";
    } catch (IOException e) {
      result = (status == 0 ? "no answer: " : status + ", cut: ") + e.getMessage();
      status = 0;
    }
    record.add("request %s for %s ends: %s".formatted(id, model, result));
    return status;
  }
}
