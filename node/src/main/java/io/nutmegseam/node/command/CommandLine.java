package io.nutmegseam.node.command;

import com.fasterxml.jackson.databind.JsonNode;
import io.nutmegseam.core.json.ValidationError;
import io.nutmegseam.node.daemon.NodeDaemon;
import io.nutmegseam.node.settings.NodeSettings;
import io.nutmegseam.node.settings.SettingsParser;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Parses arguments and runs the command that they name. */
public final class CommandLine {
  private final PrintStream out;
  private final PrintStream err;
  private final String version;

  /**
   * Creates the command line.
   *
   * @param out receives the results of commands
   * @param err receives error messages
   * @param version version that {@code --version} prints
   */
  public CommandLine(PrintStream out, PrintStream err, String version) {
    this.out = out;
    this.err = err;
    this.version = version;
  }

  /**
   * Runs a command and prints an error if it fails.
   *
   * @param args the arguments
   * @return the exit status
   */
  public ExitStatus run(String... args) {
    ArgumentParser parser = ArgumentParserFactory.create(version);
    try {
      return dispatch(parser.parseArgs(args));
    } catch (HelpScreenException e) {
      return ExitStatus.OK;
    } catch (ArgumentParserException e) {
      err.println("nutmegseam: " + e.getMessage() + " (see --help)");
      return ExitStatus.USAGE;
    } catch (CommandException e) {
      err.println("nutmegseam: " + e.getMessage());
      return e.status();
    }
  }

  private ExitStatus dispatch(Namespace arguments) throws CommandException {
    String command = arguments.getString("command");
    return switch (command) {
      case "node" -> runNode(arguments);
      case "check" -> new CheckCommand(out).run(arguments.getList("files"));
      case "apply" -> apply(arguments);
      case "get" -> get(arguments);
      case "delete" -> delete(arguments);
      case "diff" -> new DiffCommand(client(arguments), out).run(readRecordFile(arguments));
      case "drain" -> drain(arguments);
      case "timeline" -> timeline(arguments);
      case "history" -> print(arguments, "/v1/history");
      case "status" -> print(arguments, "/v1/status");
      case "placements" -> print(arguments, "/v1/placements");
      default -> throw new CommandException(ExitStatus.USAGE, "a command is missing");
    };
  }

  private ExitStatus runNode(Namespace arguments) throws CommandException {
    String file = arguments.getString("settings");
    List<ValidationError> errors = new ArrayList<>();
    Optional<NodeSettings> settings = SettingsParser.parse(readFile(file), errors);
    if (settings.isEmpty()) {
      errors.forEach(error -> err.println(error.describe(file)));
      return ExitStatus.USAGE;
    }
    NodeDaemon daemon = new NodeDaemon(settings.get());
    try {
      daemon.start();
    } catch (RuntimeException e) {
      throw new CommandException(ExitStatus.USAGE, "the node failed to start: " + rootCause(e));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(daemon), "shutdown"));
    try {
      Thread.currentThread().join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return ExitStatus.OK;
  }

  private static String rootCause(Throwable failure) {
    Throwable cause = failure;
    while (cause.getCause() != null) {
      cause = cause.getCause();
    }
    return String.valueOf(cause.getMessage());
  }

  /**
   * Stops the node and halts with status 0; without the halt, a signal gives another exit status.
   */
  private static void shutDown(NodeDaemon daemon) {
    daemon.stop();
    Runtime.getRuntime().halt(ExitStatus.OK.code());
  }

  private ExitStatus apply(Namespace arguments) throws CommandException {
    Map<String, String> headers = changeHeaders();
    Long ifRevision = arguments.getLong("if_revision");
    if (ifRevision != null) {
      headers.put("X-If-Revision", ifRevision.toString());
    }
    OperatorClient client = client(arguments);
    JsonNode changed = client.post("/v1/records", readRecordFile(arguments), headers);
    long revision = changed.path("revision").asLong();
    printer(arguments).print(changed);
    Integer waitSeconds = arguments.getInt("wait");
    return waitSeconds == null
        ? ExitStatus.OK
        : new RevisionWaiter(client, printer(arguments)).run(revision, waitSeconds);
  }

  private ExitStatus get(Namespace arguments) throws CommandException {
    String kind = arguments.getString("kind");
    String name = arguments.getString("name");
    if (kind == null) {
      return print(arguments, "/v1/records");
    }
    return print(
        arguments, name == null ? "/v1/records?kind=" + kind : "/v1/records/" + kind + "/" + name);
  }

  private ExitStatus delete(Namespace arguments) throws CommandException {
    String path = "/v1/records/" + arguments.getString("kind") + "/" + arguments.getString("name");
    printer(arguments).print(client(arguments).delete(path, changeHeaders()));
    return ExitStatus.OK;
  }

  private ExitStatus drain(Namespace arguments) throws CommandException {
    String path =
        "/v1/drain/" + arguments.getString("name") + "?undo=" + arguments.getBoolean("undo");
    printer(arguments).print(client(arguments).post(path, "", changeHeaders()));
    return ExitStatus.OK;
  }

  private ExitStatus timeline(Namespace arguments) throws CommandException {
    Timeline timeline = Timeline.collect(client(arguments), err);
    String html = arguments.getString("html");
    if (html != null) {
      writeFile(html, new TimelinePage(timeline).render());
    } else if (arguments.getBoolean("lines")) {
      timeline.events().forEach(event -> out.println(event.json()));
    } else {
      timeline.events().forEach(event -> out.println(event.toText()));
    }
    return ExitStatus.OK;
  }

  private ExitStatus print(Namespace arguments, String path) throws CommandException {
    printer(arguments).print(client(arguments).get(path));
    return ExitStatus.OK;
  }

  private static OperatorClient client(Namespace arguments) {
    return new OperatorClient(arguments.getString("address"), arguments.getString("token"));
  }

  private ResultPrinter printer(Namespace arguments) {
    return new ResultPrinter(out, arguments.getString("output").equals("json"));
  }

  private static Map<String, String> changeHeaders() {
    Map<String, String> headers = new HashMap<>();
    headers.put("X-Change-Id", UUID.randomUUID().toString());
    headers.put("X-Operator", System.getProperty("user.name", "operator"));
    return headers;
  }

  private static String readRecordFile(Namespace arguments) throws CommandException {
    return readFile(arguments.getString("file"));
  }

  static String readFile(String file) throws CommandException {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new CommandException(ExitStatus.USAGE, file + " can't be read: " + e.getMessage());
    }
  }

  private static void writeFile(String file, String text) throws CommandException {
    try {
      Files.writeString(Path.of(file), text);
    } catch (IOException e) {
      throw new CommandException(ExitStatus.USAGE, file + " can't be written: " + e.getMessage());
    }
  }
}
