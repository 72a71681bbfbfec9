package io.nutmegseam.standin;

import io.nutmegseam.standin.environment.StandinEnvironment;
import io.nutmegseam.standin.environment.StandinSettings;
import io.nutmegseam.standin.http.FreePorts;
import io.nutmegseam.standin.measure.Deployment;
import io.nutmegseam.standin.measure.DeploymentPlan;
import io.nutmegseam.standin.measure.LinearFit;
import io.nutmegseam.standin.measure.Measurement;
import io.nutmegseam.standin.measure.MeasurementReport;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Command line of the stand-ins and of the measuring tool. Neither is part of the released product.
 */
public final class Standin {
  private static final int USAGE_STATUS = 2;

  private Standin() {}

  /**
   * Runs one command. Exits with status 2 if the arguments are invalid.
   *
   * @param args one of {@code run}, {@code plan}, {@code drive}, {@code report}, {@code fit} and
   *     {@code ports}, followed by its arguments
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    ArgumentParser parser = createParser();
    Namespace arguments;
    try {
      arguments = parser.parseArgs(args);
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(USAGE_STATUS);
      return;
    }
    switch (arguments.getString("command")) {
      case "plan" ->
          DeploymentPlan.write(
              deployment(arguments),
              arguments.getBoolean("naive"),
              arguments.getLong("seed"),
              Path.of(arguments.getString("folder")));
      case "drive" -> drive(arguments);
      case "report" -> report(arguments);
      case "fit" -> fit(arguments);
      case "ports" -> FreePorts.find(arguments.getInt("count")).forEach(System.out::println);
      default -> run(arguments);
    }
  }

  private static ArgumentParser createParser() {
    ArgumentParser parser = ArgumentParsers.newFor("standin").build();
    Subparsers commands = parser.addSubparsers().dest("command");
    commands.addParser("run").addArgument("--settings").required(true);
    Subparser plan = commands.addParser("plan");
    plan.addArgument("--naive").action(net.sourceforge.argparse4j.impl.Arguments.storeTrue());
    addDeploymentArguments(plan);
    Subparser drive = commands.addParser("drive");
    drive.addArgument("--label").setDefault("run");
    drive.addArgument("--seconds").type(Integer.class).setDefault(60);
    addDeploymentArguments(drive);
    Subparser report = commands.addParser("report");
    report.addArgument("--html").setDefault("");
    report.addArgument("folders").nargs("+");
    commands.addParser("ports").addArgument("count").type(Integer.class);
    Subparser fit = commands.addParser("fit");
    fit.addArgument("--sizes").nargs("+").type(Double.class).required(true);
    fit.addArgument("--folders").nargs("+").required(true);
    return parser;
  }

  private static void addDeploymentArguments(Subparser command) {
    command.addArgument("--deployment").required(true);
    command.addArgument("--folder").required(true);
    command.addArgument("--seed").type(Long.class).setDefault(1L);
    command.addArgument("--nodes").type(Integer.class).setDefault(0);
    command.addArgument("--engines").type(Integer.class).setDefault(0);
    command.addArgument("--models").type(Integer.class).setDefault(0);
    command.addArgument("--adapters").type(Integer.class).setDefault(-1);
    command.addArgument("--wakes").type(Double.class).setDefault(-1.0);
  }

  private static Deployment deployment(Namespace arguments) {
    String name = arguments.getString("deployment");
    return Deployment.findByName(name)
        .orElseThrow(() -> new IllegalArgumentException("unknown deployment \"" + name + "\""))
        .resized(
            arguments.getInt("nodes"),
            arguments.getInt("engines"),
            arguments.getInt("models"),
            arguments.getInt("adapters"),
            arguments.getDouble("wakes"));
  }

  private static void drive(Namespace arguments) throws IOException, InterruptedException {
    Path folder = Path.of(arguments.getString("folder"));
    Measurement.run(
        deployment(arguments),
        arguments.getString("label"),
        arguments.getLong("seed"),
        arguments.getInt("seconds"),
        folder);
    System.out.print(new MeasurementReport(List.of(folder)).table());
    System.exit(0);
  }

  private static void report(Namespace arguments) throws IOException {
    List<String> folders = arguments.getList("folders");
    MeasurementReport report = new MeasurementReport(folders.stream().map(Path::of).toList());
    System.out.print(report.table());
    if (!arguments.getString("html").isEmpty()) {
      Files.writeString(Path.of(arguments.getString("html")), report.html());
    }
  }

  private static void fit(Namespace arguments) throws IOException {
    List<String> folders = arguments.getList("folders");
    List<Path> paths = folders.stream().map(Path::of).toList();
    System.out.print(new LinearFit(arguments.getList("sizes"), paths).markdown());
  }

  private static void run(Namespace arguments) throws IOException, InterruptedException {
    String text = Files.readString(Path.of(arguments.getString("settings")));
    StandinEnvironment environment =
        StandinEnvironment.start(StandinSettings.parse(text), Clock.systemUTC());
    System.out.println("standin: ready");
    Thread.currentThread().join();
    environment.close();
  }
}
