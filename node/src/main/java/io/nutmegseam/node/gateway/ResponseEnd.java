package io.nutmegseam.node.gateway;

/**
 * How a response ended.
 *
 * @param framing how the end of its body is marked
 * @param requestWritten whether the whole request had been written by then
 */
record ResponseEnd(BodyFraming framing, boolean requestWritten) {
  @Override
  public String toString() {
    return "ended by " + framing.label() + (requestWritten ? "" : ", request not fully written");
  }
}
