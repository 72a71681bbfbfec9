package io.nutmegseam.node;

import io.nutmegseam.node.command.CommandLine;
import java.util.Optional;

/** Entry point of the product. */
public final class Nutmegseam {
  private Nutmegseam() {}

  /**
   * Runs the command line and exits with its status.
   *
   * @param args the arguments; {@code --help} lists the commands
   */
  public static void main(String[] args) {
    String version =
        Optional.ofNullable(Nutmegseam.class.getPackage().getImplementationVersion())
            .orElse("unpackaged");
    CommandLine commandLine = new CommandLine(System.out, System.err, version);
    System.exit(commandLine.run(args).code());
  }
}
