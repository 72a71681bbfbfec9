package io.nutmegseam.node.connection;

/**
 * How a response ended.
 *
 * @param framing how the end of its body is marked
 * @param requestWritten whether the whole request had been written by then
 * @param process what is known of the server's process, for log lines
 */
public record ResponseEnd(BodyFraming framing, boolean requestWritten, ProcessCheck process) {
  /** Returns the end with what is known of the server's process. */
  public ResponseEnd withProcess(ProcessCheck check) {
    return new ResponseEnd(framing, requestWritten, check);
  }

  @Override
  public String toString() {
    return "ended by "
        + framing.label()
        + (requestWritten ? "" : ", request not fully written")
        + process;
  }
}
