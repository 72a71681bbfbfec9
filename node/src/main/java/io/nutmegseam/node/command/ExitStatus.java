package io.nutmegseam.node.command;

/** Exit statuses of the command line. */
public enum ExitStatus {
  /** The command did what was asked. */
  OK(0),
  /** The answer is no. */
  NO(1),
  /** Wrong usage or bad input. */
  USAGE(2),
  /** The service can't be reached. */
  UNREACHABLE(3);

  private final int code;

  ExitStatus(int code) {
    this.code = code;
  }

  /** Returns the number given to the operating system. */
  public int code() {
    return code;
  }
}
