package io.nutmegseam.node.command;

/** Ends a command with an exit status and a message for the error stream. */
final class CommandException extends Exception {
  private static final long serialVersionUID = 1L;

  private final ExitStatus status;

  CommandException(ExitStatus status, String message) {
    super(message);
    this.status = status;
  }

  ExitStatus status() {
    return status;
  }
}
