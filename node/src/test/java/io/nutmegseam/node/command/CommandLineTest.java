package io.nutmegseam.node.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CommandLineTest {
  private static final Path ROOT = Path.of(System.getProperty("repository.root"));

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final CommandLine commandLine = new CommandLine(print(out), print(err), "test");

  @TempDir private Path folder;

  @Nested
  class Check {
    @Test
    void should_accept_the_samples() {
      // WHEN
      ExitStatus status =
          commandLine.run(
              "check",
              ROOT.resolve("samples/node.jsonc").toString(),
              ROOT.resolve("samples/records.jsonc").toString());
      // THEN
      assertThat(text(out)).isEmpty();
      assertThat(status).isEqualTo(ExitStatus.OK);
    }

    @Test
    void should_print_every_error_of_a_settings_file_with_its_position() throws IOException {
      // GIVEN
      Path file = folder.resolve("node.json");
      Files.writeString(
          file,
          """
          {"node":"n","vm":"v","dataCentre":"d","callerAddress":"nowhere",
           "operatorAddress":"127.0.0.1:2","peerAddress":"127.0.0.1:3",
           "platformAddress":"http://h","leaseMillis":100,"renewMillis":90}
          """);
      // WHEN
      ExitStatus status = commandLine.run("check", file.toString());
      // THEN
      assertThat(status).isEqualTo(ExitStatus.USAGE);
      assertThat(text(out))
          .contains(":1:55: \"callerAddress\" is \"nowhere\", not host:port")
          .contains(":3:63: \"renewMillis\" is 90, more than half of \"leaseMillis\" 100");
    }
  }

  @Nested
  class Usage {
    @Test
    void should_exit_with_status_two_on_an_unknown_command() {
      // WHEN
      ExitStatus status = commandLine.run("launch");
      // THEN
      assertThat(status.code()).isEqualTo(2);
    }

    @Test
    void should_exit_with_status_three_if_the_node_is_unreachable() {
      // WHEN
      ExitStatus status = commandLine.run("status", "--address", "http://127.0.0.1:1");
      // THEN
      assertThat(status.code()).isEqualTo(3);
      assertThat(text(err)).contains("can't be reached");
    }
  }

  private static PrintStream print(ByteArrayOutputStream bytes) {
    return new PrintStream(bytes, true, StandardCharsets.UTF_8);
  }

  private static String text(ByteArrayOutputStream bytes) {
    return bytes.toString(StandardCharsets.UTF_8);
  }
}
