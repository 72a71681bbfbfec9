package io.nutmegseam.standin;

import io.nutmegseam.standin.world.StandinSettings;
import io.nutmegseam.standin.world.StandinWorld;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Entry point of the stand-ins. They never ship with the product. */
public final class Standin {
  private static final int USAGE_STATUS = 2;

  private Standin() {}

  /**
   * Runs stand-ins until the process is ended.
   *
   * @param args {@code run --settings FILE}
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    ArgumentParser parser = ArgumentParsers.newFor("standin").build();
    Subparsers commands = parser.addSubparsers().dest("command");
    commands.addParser("run").addArgument("--settings").required(true);
    Namespace arguments;
    try {
      arguments = parser.parseArgs(args);
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(USAGE_STATUS);
      return;
    }
    String text = Files.readString(Path.of(arguments.getString("settings")));
    StandinWorld.start(StandinSettings.parse(text), Clock.systemUTC());
    System.out.println("standin: ready");
    Thread.currentThread().join();
  }
}
