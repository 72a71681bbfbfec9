package io.nutmegseam.node.rows;

/** Learns when the store answers, and finds out whether it was away in between. */
public interface AnswerObserver {
  /** Observes nothing. */
  AnswerObserver NONE =
      new AnswerObserver() {
        @Override
        public void onAnswer(State state) {}

        @Override
        public void onGap(Gap gap, Runnable onAnsweredMeanwhile) {}
      };

  /**
   * State of a table when the store answered.
   *
   * @param atMillis monotonic time of the answer, in milliseconds
   * @param version version of the table
   * @param rows number of its rows
   */
  record State(long atMillis, long version, int rows) {}

  /**
   * A time in which a node heard of no answer of the store, although it asked.
   *
   * @param before state at the last answer before it
   * @param after state at the first answer after it
   * @param removedRows rows that were removed meanwhile
   */
  record Gap(State before, State after, int removedRows) {}

  /** Records an answer, to this node or to another one. */
  void onAnswer(State state);

  /**
   * Records an answer after a gap.
   *
   * @param onAnsweredMeanwhile to be run, perhaps at once, if the store was not away in the gap
   */
  void onGap(Gap gap, Runnable onAnsweredMeanwhile);
}
