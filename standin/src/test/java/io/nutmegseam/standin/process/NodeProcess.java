package io.nutmegseam.standin.process;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A node that runs in a process of its own. */
final class NodeProcess {
  private static final String JAR = "node/target/nutmegseam-0.1.0-all.jar";
  private static final long EXIT_SECONDS = 60;

  private final String name;
  private final Path settings;
  private final Path log;
  private final int callerPort;
  private final int operatorPort;
  private final int peerPort;
  private volatile Process process;

  NodeProcess(
      String name, Path settings, Path log, int callerPort, int operatorPort, int peerPort) {
    this.name = name;
    this.settings = settings;
    this.log = log;
    this.callerPort = callerPort;
    this.operatorPort = operatorPort;
    this.peerPort = peerPort;
  }

  String name() {
    return name;
  }

  int peerPort() {
    return peerPort;
  }

  String callerUrl() {
    return "http://127.0.0.1:" + callerPort;
  }

  String operatorUrl() {
    return "http://127.0.0.1:" + operatorPort;
  }

  void start() {
    File jar = new File(System.getProperty("repository.root"), JAR);
    List<String> command = new ArrayList<>(List.of(ProcessHandle.current().info().command().get()));
    command.addAll(List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    command.addAll(List.of("-jar", jar.getPath(), "node", "--settings", settings.toString()));
    try {
      process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
              .start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Kills the process without a graceful shutdown and waits for its exit. */
  void kill() {
    process.destroyForcibly();
    awaitExit();
  }

  long processId() {
    return process.pid();
  }

  /** Requests a graceful shutdown with SIGTERM; does not wait for the exit. */
  void terminate() {
    process.destroy();
  }

  int awaitExit() {
    try {
      if (!process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)) {
        throw new AssertionError(name + " did not exit in time");
      }
      return process.exitValue();
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  void suspend() {
    signal("-STOP");
  }

  void resume() {
    signal("-CONT");
  }

  String readLog() {
    try {
      return Files.readString(log);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the number of log lines of an event that contain the subject. */
  long countEvents(String eventName, String subject) {
    return readLog()
        .lines()
        .filter(line -> line.contains("\"name\":\"" + eventName + "\""))
        .filter(line -> line.contains(subject))
        .count();
  }

  private void signal(String signal) {
    try {
      new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
    } catch (IOException | InterruptedException e) {
      throw new AssertionError(e);
    }
  }
}
