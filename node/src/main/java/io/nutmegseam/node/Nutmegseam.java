package io.nutmegseam.node;

/** Placeholder entry point. */
public final class Nutmegseam {
  private Nutmegseam() {}

  /** Runs the command line. */
  public static void main(String[] args) {}
}
