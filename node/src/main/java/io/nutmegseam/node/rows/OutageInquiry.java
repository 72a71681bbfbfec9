package io.nutmegseam.node.rows;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.peer.generated.StoreAnswersAsk;
import io.nutmegseam.node.peer.generated.StoreAnswersReply;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Finds out whether the store was away while this node heard nothing of it, or only the path of
 * this node to it: other nodes tell for how long the store has answered them. A node without others
 * concludes it from the check-ins that the store accepted meanwhile. Confined to the control
 * thread.
 */
public final class OutageInquiry implements AnswerObserver {
  private final Dependencies dependencies;
  private AnsweredSpan answered = new AnsweredSpan();
  private final CheckInPace pace = new CheckInPace();
  private final Map<Long, Ask> asks = new HashMap<>();
  private final Set<String> askedNodes = new HashSet<>();
  private Optional<Pending> pending = Optional.empty();
  private Optional<Known> last = Optional.empty();
  private long wallOffsetMillis;

  /** A question, to whom it was sent, and when. */
  private record Ask(String node, long sentMillis) {}

  /** A state of the table, and how often this node had written to the store by then. */
  private record Known(State state, long ownWrites) {}

  private record Pending(Known before, State after, int servers, Runnable onAnsweredMeanwhile) {}

  /**
   * Collaborators of the inquiry.
   *
   * @param peers sends frames to other nodes
   * @param alone whether no other node is registered
   * @param ownWrites returns how often this node has written to the store
   * @param clock monotonic clock, which may stop while the VM is suspended
   * @param wallClock time of day
   * @param random source of the ids of questions
   * @param events event log
   */
  public record Dependencies(
      PeerTransport peers,
      BooleanSupplier alone,
      LongSupplier ownWrites,
      InstantSource clock,
      InstantSource wallClock,
      RandomGenerator random,
      EventSink events) {}

  /**
   * Creates an inquiry that knows of no answer of the store.
   *
   * @param dependencies collaborators of the inquiry
   */
  public OutageInquiry(Dependencies dependencies) {
    this.dependencies = dependencies;
    this.wallOffsetMillis = dependencies.wallClock().millis() - nowMillis();
  }

  /** Returns whether a frame belongs to an inquiry. */
  public static boolean accepts(PeerFrame frame) {
    return frame.hasStoreAnswersAsk() || frame.hasStoreAnswersReply();
  }

  @Override
  public void onAnswer(State state) {
    forgetBeforeSuspension();
    Known next = known(state);
    if (last.isPresent() && state.atMillis() > last.get().state().atMillis()) {
      pace.observe(interval(last.get(), next, state.rows()));
    }
    remember(next);
  }

  @Override
  public void onGap(Gap gap, Runnable onAnsweredMeanwhile) {
    if (forgetBeforeSuspension()) {
      remember(known(gap.after()));
      return;
    }
    // A gap that follows an unexplained one is explained only together with it.
    Known before = pending.map(Pending::before).or(() -> last).orElseGet(() -> known(gap.before()));
    int servers = Math.max(0, before.state().rows() - gap.removedRows());
    Known after = known(gap.after());
    remember(after);
    pace.interrupt();
    pending = Optional.of(new Pending(before, gap.after(), servers, onAnsweredMeanwhile));
    askedNodes.clear();
    if (!dependencies.alone().getAsBoolean()) {
      tick();
    } else if (pace.showsCheckIns(interval(before, after, servers))) {
      conclude("servers went on writing to it");
    }
  }

  /** Asks the nodes that were connected since, while rows may still return after the gap. */
  public void tick() {
    boolean due =
        pending
            .filter(p -> nowMillis() - p.after().atMillis() <= TableWatcher.SETTLE_MILLIS)
            .isPresent();
    if (!due) {
      pending = Optional.empty();
      asks.clear();
      return;
    }
    for (String node : dependencies.peers().connectedNodes()) {
      if (askedNodes.add(node)) {
        long id = dependencies.random().nextLong();
        asks.put(id, new Ask(node, nowMillis()));
        dependencies
            .peers()
            .send(
                node,
                PeerFrame.newBuilder().setStoreAnswersAsk(StoreAnswersAsk.newBuilder().setId(id)));
      }
    }
  }

  /** Handles a question or the reply of another node. */
  public void onFrame(String node, PeerFrame frame) {
    if (frame.hasStoreAnswersAsk()) {
      reply(node, frame.getStoreAnswersAsk());
    } else {
      onReply(node, frame.getStoreAnswersReply());
    }
  }

  private void reply(String node, StoreAnswersAsk ask) {
    forgetBeforeSuspension();
    if (answered.isKnown()) {
      dependencies
          .peers()
          .send(
              node,
              PeerFrame.newBuilder()
                  .setStoreAnswersReply(
                      StoreAnswersReply.newBuilder()
                          .setId(ask.getId())
                          .setAgeMillis(nowMillis() - answered.lastMillis())
                          .setLengthMillis(answered.lengthMillis())));
    }
  }

  /** The reply was written after the question was sent, and before it arrived. */
  private void onReply(String node, StoreAnswersReply reply) {
    Ask ask = asks.remove(reply.getId());
    if (ask == null || !ask.node().equals(node) || pending.isEmpty()) {
      return;
    }
    Pending gap = pending.get();
    long latestStartMillis = nowMillis() - reply.getAgeMillis() - reply.getLengthMillis();
    long earliestEndMillis = ask.sentMillis() - reply.getAgeMillis();
    long neededEndMillis = gap.after().atMillis() - AnsweredSpan.MAX_GAP_MILLIS;
    if (latestStartMillis <= gap.before().state().atMillis()
        && earliestEndMillis >= neededEndMillis) {
      conclude("it answered node " + node);
    }
  }

  private void conclude(String evidence) {
    Pending concluded = pending.orElseThrow();
    pending = Optional.empty();
    asks.clear();
    answered.closeGap();
    dependencies
        .events()
        .record(
            EventKind.STORE_NOT_AWAY,
            String.valueOf(concluded.after().version()),
            "no answer to this node for %d ms, but %s"
                .formatted(
                    concluded.after().atMillis() - concluded.before().state().atMillis(),
                    evidence));
    concluded.onAnsweredMeanwhile().run();
  }

  /**
   * Forgets all answers after a suspension, which shows as a drift between the clocks: for how long
   * ago they were is not known by the monotonic clock.
   *
   * @return whether this node was suspended since the last call
   */
  private boolean forgetBeforeSuspension() {
    long offsetMillis = dependencies.wallClock().millis() - nowMillis();
    boolean suspended = Math.abs(offsetMillis - wallOffsetMillis) > AnsweredSpan.MAX_GAP_MILLIS;
    wallOffsetMillis = offsetMillis;
    if (suspended) {
      answered = new AnsweredSpan();
      last = Optional.empty();
      pending = Optional.empty();
      pace.interrupt();
    }
    return suspended;
  }

  private void remember(Known known) {
    answered.onAnswer(known.state().atMillis());
    if (last.isEmpty() || known.state().atMillis() > last.get().state().atMillis()) {
      last = Optional.of(known);
    }
  }

  private Known known(State state) {
    return new Known(state, dependencies.ownWrites().getAsLong());
  }

  private static CheckInPace.Interval interval(Known before, Known after, int servers) {
    long writes =
        CheckInPace.writesBetween(before.state().version(), after.state().version())
            - (after.ownWrites() - before.ownWrites());
    return new CheckInPace.Interval(
        after.state().atMillis() - before.state().atMillis(), writes, servers);
  }

  private long nowMillis() {
    return dependencies.clock().millis();
  }
}
