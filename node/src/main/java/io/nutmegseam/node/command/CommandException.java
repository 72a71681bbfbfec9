package io.nutmegseam.node.command;

/** A command ends with a status and a message. */
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
