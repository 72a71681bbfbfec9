package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.node.connection.HeldConnection;
import io.nutmegseam.node.connection.HeldConnectionKeeper;
import io.nutmegseam.node.connection.ProcessCheck;
import io.nutmegseam.node.control.TrafficTimer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Tells the end of an unframed response from the end of its server's process, which both end the
 * connection. A process that ends stops listening at that moment; a leaving server may have stopped
 * before, which only a look during the response shows. That something listens does not tell which
 * process it is: a second connection, which is held during the response, ends with the process that
 * sent the response. Confined to the traffic thread.
 */
final class ListenerWatch {
  /** Interval of the looks at a leaving server with unframed responses in progress. */
  static final long LOOK_INTERVAL_MILLIS = 100;

  /**
   * Waits in each of which the traffic thread reads from all connections. The end of a connection
   * may be read only after the bytes before it.
   */
  static final int SETTLE_ROUNDS = 2;

  static final long SETTLE_MILLIS = 15;

  private final ServerReach.Prober prober;
  private final ConnectionHolder holder;
  private final Predicate<ServerEntry> leaving;
  private final BooleanSupplier late;
  private final TrafficTimer timer;
  private final Map<Incarnation, WatchedProcess> processByIncarnation = new HashMap<>();
  private boolean scheduled;

  /** Holds a connection without a request to a server. */
  @FunctionalInterface
  interface ConnectionHolder {
    /**
     * Takes an idle connection at once, or opens one.
     *
     * @param onOutcome receives the connection, or empty if none can be opened
     */
    void hold(ServerEntry server, Consumer<Optional<HeldConnection>> onOutcome);
  }

  /** A process with unframed responses in progress. */
  private final class WatchedProcess {
    private final ServerEntry server;
    private final List<Response> responses = new ArrayList<>();
    private final HeldConnectionKeeper keeper;
    private boolean looking;
    private boolean assigning;
    private boolean assignAgain;

    private WatchedProcess(ServerEntry server) {
      this.server = server;
      this.keeper =
          new HeldConnectionKeeper(
              onOutcome -> holder.hold(server, onOutcome), this::assignHeldConnection);
    }

    /**
     * Assigns the held connection to the responses that go on although the connection was open
     * before: the process that accepted it is the one that sends them.
     */
    private void assignHeldConnection() {
      if (assigning) {
        assignAgain = true;
        return;
      }
      assigning = true;
      Optional<HeldConnection> held = keeper.current();
      responses.forEach(Response::onAssigning);
      settle(
          SETTLE_ROUNDS,
          SETTLE_MILLIS,
          () -> {
            assigning = false;
            responses.forEach(response -> response.onAssigned(held));
            if (assignAgain) {
              assignAgain = false;
              assignHeldConnection();
            }
          });
    }

    private void look(Consumer<Optional<Boolean>> onAnswer) {
      if (!looking && leaving.test(server)) {
        looking = true;
        responses.forEach(Response::onLook);
        prober.probe(
            server,
            listens -> {
              onAnswer.accept(listens);
              onLooked(listens);
            });
      }
    }

    private void onLooked(Optional<Boolean> listens) {
      if (listens.isPresent() && !listens.get()) {
        settle(
            SETTLE_ROUNDS,
            SETTLE_MILLIS,
            () -> {
              looking = false;
              responses.forEach(Response::onRefusalSettled);
            });
      } else {
        looking = false;
        listens.ifPresent(yes -> responses.forEach(Response::onListening));
      }
    }
  }

  /** An unframed response. */
  final class Response {
    private final WatchedProcess process;
    private boolean paused;
    private boolean ended;

    /** Whether its connection has been read from, without an end, since the present look began. */
    private boolean readSinceLook;

    private boolean stoppedBefore;

    /** Whether its connection has been read from, without an end, since the assignment began. */
    private boolean readSinceAssigning;

    /** A connection that was open to the process of this response before its end. */
    private Optional<HeldConnection> held;

    /** Whether the traffic thread was late, so that the head may have arrived long before. */
    private final boolean headSeenLate;

    /** Whether the traffic thread was late, so that the connection may have ended long before. */
    private boolean endSeenLate;

    private Response(WatchedProcess process, long sentMillis) {
      this.process = process;
      this.held =
          process.keeper.current().filter(current -> current.idleSinceMillis() < sentMillis);
      this.headSeenLate = late.getAsBoolean();
    }

    /** Notes whether its connection is read from; otherwise its end would not be seen. */
    void onReading(boolean reading) {
      paused = !reading;
      readSinceLook &= reading;
      readSinceAssigning &= reading;
    }

    /** Notes that the end of its connection has been read. */
    void onConnectionEnded() {
      ended = true;
      endSeenLate = late.getAsBoolean();
      readSinceLook = false;
      readSinceAssigning = false;
    }

    /**
     * Asks the server, some time after the end of the connection, whether its process has ended.
     *
     * @param leftMillis time left of the request's limit, in milliseconds
     */
    void check(long leftMillis, Consumer<ProcessCheck> onChecked) {
      endSeenLate |= late.getAsBoolean();
      prober.probe(
          process.server,
          listens -> {
            endSeenLate |= late.getAsBoolean();
            if (held.isPresent()) {
              // The end of the held connection may have arrived, but not been read yet.
              long roundMillis =
                  Math.max(1, Math.min(SETTLE_MILLIS, leftMillis / (2 * SETTLE_ROUNDS)));
              settle(SETTLE_ROUNDS, roundMillis, () -> onChecked.accept(conclude(listens)));
            } else {
              onChecked.accept(conclude(listens));
            }
          });
    }

    /** Ends the watch for this response. */
    void close() {
      process.responses.remove(this);
      if (process.responses.isEmpty()) {
        processByIncarnation.remove(process.server.incarnation());
        process.keeper.close();
      }
    }

    private void onAssigning() {
      readSinceAssigning = !paused && !ended;
    }

    private void onAssigned(Optional<HeldConnection> assigned) {
      boolean undecided = assigned.isPresent() && !assigned.get().isOpen();
      if (readSinceAssigning && !undecided) {
        held = assigned;
      }
    }

    private void onLook() {
      readSinceLook = !paused && !ended;
    }

    private void onListening() {
      stoppedBefore &= ended;
    }

    private void onRefusalSettled() {
      stoppedBefore |= readSinceLook;
    }

    /**
     * A server that is leaving and refuses connections at its head had stopped before, unless its
     * process may have ended between the head and the answer.
     */
    private void onAnswerAtHead(Optional<Boolean> listens) {
      stoppedBefore = !listens.orElse(true) && !headSeenLate && !late.getAsBoolean();
    }

    private ProcessCheck conclude(Optional<Boolean> listens) {
      if (held.isPresent() && !held.get().isOpen()) {
        return ProcessCheck.ENDED;
      }
      if (listens.orElse(false)) {
        return endSeenLate && held.isEmpty()
            ? ProcessCheck.LISTENS_AFTER_PAUSE
            : ProcessCheck.LISTENS;
      }
      if (listens.isPresent() && held.isPresent()) {
        return ProcessCheck.HOLDS_CONNECTION;
      }
      if (stoppedBefore) {
        return ProcessCheck.STOPPED_BEFORE;
      }
      if (listens.isPresent()) {
        return ProcessCheck.REFUSED;
      }
      return leaving.test(process.server) ? ProcessCheck.SILENT_LEAVING : ProcessCheck.SILENT;
    }
  }

  /**
   * Creates a watch of no process.
   *
   * @param prober opens a connection to a server
   * @param holder holds a connection to a server
   * @param leaving whether a server is leaving, so that it may stop listening before its last
   *     responses end
   * @param late whether the traffic thread is late
   * @param timer runs tasks on the traffic thread
   */
  ListenerWatch(
      ServerReach.Prober prober,
      ConnectionHolder holder,
      Predicate<ServerEntry> leaving,
      BooleanSupplier late,
      TrafficTimer timer) {
    this.prober = prober;
    this.holder = holder;
    this.leaving = leaving;
    this.late = late;
    this.timer = timer;
  }

  /**
   * Begins the watch for an unframed response.
   *
   * @param server the server from which the head of the response has arrived
   * @param sentMillis monotonic time at which its request was sent, in milliseconds
   */
  Response begin(ServerEntry server, long sentMillis) {
    WatchedProcess process =
        processByIncarnation.computeIfAbsent(
            server.incarnation(), incarnation -> new WatchedProcess(server));
    Response response = new Response(process, sentMillis);
    process.responses.add(response);
    process.look(response::onAnswerAtHead);
    schedule();
    return response;
  }

  private void schedule() {
    if (!scheduled) {
      scheduled = true;
      timer.schedule(LOOK_INTERVAL_MILLIS, this::lookAtAll);
    }
  }

  private void settle(int rounds, long roundMillis, Runnable onSettled) {
    if (rounds > 0) {
      timer.schedule(roundMillis, () -> settle(rounds - 1, roundMillis, onSettled));
    } else {
      onSettled.run();
    }
  }

  private void lookAtAll() {
    scheduled = false;
    List.copyOf(processByIncarnation.values())
        .forEach(
            process -> {
              process.look(listens -> {});
              process.assignHeldConnection();
              process.keeper.tick();
            });
    if (!processByIncarnation.isEmpty()) {
      schedule();
    }
  }
}
