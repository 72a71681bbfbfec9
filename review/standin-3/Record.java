import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start of the case. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  synchronized double add(String text) {
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    out.println(String.format(Locale.ROOT, "%8.3f s  %s", seconds, text));
    return seconds;
  }

  @Override
  public void close() {
    out.close();
  }
}
