package io.nutmegseam.node.command;

/** Exit statuses of the command line. */
public enum ExitStatus {
  /** The command succeeded. */
  OK(0),
  /** Records differ, a revision is not active, or a node refused the request. */
  NO(1),
  /** Invalid arguments, settings or records. */
  USAGE(2),
  /** The node cannot be reached, or it failed to process the request. */
  UNREACHABLE(3);

  private final int code;

  ExitStatus(int code) {
    this.code = code;
  }

  /** Returns the exit code of the process. */
  public int code() {
    return code;
  }
}
