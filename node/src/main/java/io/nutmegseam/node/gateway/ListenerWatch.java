package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.node.connection.HeldConnection;
import io.nutmegseam.node.connection.HeldConnectionKeeper;
import io.nutmegseam.node.connection.ProcessCheck;
import io.nutmegseam.node.control.TrafficTimer;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Tells the end of an unframed response from the end of its server's process, which both end the
 * connection. A process that ends stops listening at that moment; a leaving server may have stopped
 * before, which only a look during the response shows. That something listens does not tell which
 * process it is: another connection to the process that sent the response ends with it. Two are
 * held during the response, since a server may close one because it is idle; other responses of the
 * process in progress show as well that it goes on. Confined to the traffic thread.
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

  /**
   * Connections of a process whose ages differ by as much do not reach its idle limit within one
   * check.
   */
  private static final long MIN_AGE_DIFFERENCE_MILLIS = 2 * LOOK_INTERVAL_MILLIS;

  private final ServerReach.Prober prober;
  private final ConnectionHolder holder;
  private final Predicate<ServerEntry> leaving;
  private final BooleanSupplier late;
  private final InstantSource clock;
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
    private boolean inRound;
    private boolean roundNeeded;

    private WatchedProcess(ServerEntry server) {
      this.server = server;
      this.keeper =
          new HeldConnectionKeeper(
              onOutcome -> holder.hold(server, onOutcome),
              this::relateConnections,
              this::relateConnections);
    }

    /**
     * Finds the open connections that reach the processes of the responses. The process of a
     * response that goes on for a while also holds all other connections that were open before, as
     * only one process listens at an address. What had ended before tells nothing any more.
     */
    private void relateConnections() {
      if (inRound) {
        roundNeeded = true;
        return;
      }
      inRound = true;
      List<HeldConnection> held = keeper.open();
      List<Response> inProgress = List.copyOf(responses);
      inProgress.forEach(Response::onRoundBegun);
      settle(
          SETTLE_ROUNDS,
          SETTLE_MILLIS,
          () -> {
            inRound = false;
            inProgress.forEach(response -> response.onRoundEnded(held, inProgress));
            if (roundNeeded) {
              roundNeeded = false;
              relateConnections();
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
    private final ResponseReading reading = new ResponseReading();

    /** Whether its connection has been read from, without an end, since the present look began. */
    private boolean readSinceLook;

    private boolean stoppedBefore;

    /** Whether its connection has been read from, without an end, since the present round began. */
    private boolean readSinceRound;

    /** Held connections to its process: open, or not known to have ended before the response. */
    private final Set<HeldConnection> held = new HashSet<>();

    /** Other responses of its process. */
    private final Set<ResponseReading> companions = new HashSet<>();

    /** What was open to its process when the present round began. */
    private ProcessWitnesses witnessesOfRound = ProcessWitnesses.NONE;

    /** Whether the traffic thread was late, so that the head may have arrived long before. */
    private final boolean headSeenLate;

    /** Whether the traffic thread was late, so that the connection may have ended long before. */
    private boolean endSeenLate;

    private final long sentMillis;
    private final long headReadMillis;

    private Response(WatchedProcess process, long sentMillis) {
      this.process = process;
      this.sentMillis = sentMillis;
      this.headReadMillis = clock.millis();
      this.headSeenLate = late.getAsBoolean();
      process.keeper.open().stream()
          .filter(connection -> connection.idleSinceMillis() < sentMillis)
          .forEach(held::add);
      process.responses.stream()
          .filter(other -> other.headReadMillis < sentMillis)
          .map(other -> other.reading)
          .filter(ResponseReading::isActive)
          .forEach(companions::add);
    }

    /** Notes whether its connection is read from; otherwise its end would not be seen. */
    void onReading(boolean isRead) {
      reading.onReading(isRead);
      readSinceLook &= isRead;
      readSinceRound &= isRead;
    }

    /** Notes that the end of its connection has been read. */
    void onConnectionEnded() {
      reading.onEnded();
      endSeenLate = late.getAsBoolean();
      readSinceLook = false;
      readSinceRound = false;
    }

    /**
     * Asks the server, some time after the end of the connection, whether its process has ended.
     *
     * @param leftMillis time left of the request's limit, in milliseconds
     */
    void check(long leftMillis, Consumer<ProcessCheck> onChecked) {
      endSeenLate |= late.getAsBoolean();
      ProcessWitnesses witnesses = witnesses();
      prober.probe(
          process.server,
          listens -> {
            if (held.isEmpty() && witnesses.isEmpty()) {
              onChecked.accept(conclude(listens, witnesses));
            } else {
              // The ends of other connections may have arrived, but not been read yet.
              long roundMillis =
                  Math.max(1, Math.min(SETTLE_MILLIS, leftMillis / (2 * SETTLE_ROUNDS)));
              settle(
                  SETTLE_ROUNDS, roundMillis, () -> onChecked.accept(conclude(listens, witnesses)));
            }
          });
    }

    /** Ends the watch for this response. */
    void close() {
      reading.onClosed();
      process.responses.remove(this);
      process.responses.forEach(other -> other.companions.remove(reading));
      if (process.responses.isEmpty()) {
        processByIncarnation.remove(process.server.incarnation());
        process.keeper.close();
      }
    }

    /** Returns what is open to the process of this response now. */
    private ProcessWitnesses witnesses() {
      return ProcessWitnesses.openOf(held, companions);
    }

    private void onRoundBegun() {
      readSinceRound = reading.isActive();
      witnessesOfRound = witnesses();
    }

    private void onRoundEnded(List<HeldConnection> heldAtBegin, List<Response> others) {
      boolean processWentOn = readSinceRound || witnessesOfRound.isAnyOpen(late.getAsBoolean());
      if (!processWentOn || reading.hasEnded() || reading.isClosed()) {
        return;
      }
      Set<HeldConnection> related = new HashSet<>(heldAtBegin);
      related.removeIf(connection -> !connection.isOpen() && !held.contains(connection));
      held.clear();
      held.addAll(related);
      others.stream()
          .filter(other -> other != this && other.readSinceRound)
          .map(other -> other.reading)
          .filter(ResponseReading::isActive)
          .forEach(companions::add);
    }

    private void onLook() {
      readSinceLook = reading.isActive();
    }

    private void onListening() {
      stoppedBefore &= reading.hasEnded();
    }

    private void onRefusalSettled() {
      stoppedBefore |= readSinceLook;
    }

    /**
     * Returns whether connections have ended that the server would not close because they are idle:
     * one that was opened during this response, or two of different ages, none at the idle limit.
     */
    private boolean hasSignOfEnd() {
      LongSummaryStatistics idleSinceMillis =
          held.stream()
              .filter(connection -> connection.hasEnded() && !connection.isNearIdleLimit())
              .mapToLong(HeldConnection::idleSinceMillis)
              .summaryStatistics();
      return idleSinceMillis.getCount() > 0
          && (idleSinceMillis.getMax() >= sentMillis
              || idleSinceMillis.getMax() - idleSinceMillis.getMin() >= MIN_AGE_DIFFERENCE_MILLIS);
    }

    /**
     * A server that is leaving and refuses connections at its head had stopped before, unless its
     * process may have ended between the head and the answer.
     */
    private void onAnswerAtHead(Optional<Boolean> listens) {
      stoppedBefore = !listens.orElse(true) && !headSeenLate && !late.getAsBoolean();
    }

    private ProcessCheck conclude(Optional<Boolean> listens, ProcessWitnesses witnesses) {
      boolean processGoesOn = witnesses.isAnyOpen(late.getAsBoolean());
      boolean mayHaveEnded =
          listens.orElse(false) ? hasSignOfEnd() : held.stream().anyMatch(HeldConnection::hasEnded);
      if (!processGoesOn && mayHaveEnded) {
        return ProcessCheck.ENDED;
      }
      if (listens.orElse(false)) {
        return endSeenLate && !processGoesOn
            ? ProcessCheck.LISTENS_AFTER_PAUSE
            : ProcessCheck.LISTENS;
      }
      if (listens.isPresent() && processGoesOn) {
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
   * @param clock monotonic clock
   * @param timer runs tasks on the traffic thread
   */
  ListenerWatch(
      ServerReach.Prober prober,
      ConnectionHolder holder,
      Predicate<ServerEntry> leaving,
      BooleanSupplier late,
      InstantSource clock,
      TrafficTimer timer) {
    this.prober = prober;
    this.holder = holder;
    this.leaving = leaving;
    this.late = late;
    this.clock = clock;
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
              process.relateConnections();
              process.keeper.tick();
            });
    if (!processByIncarnation.isEmpty()) {
      schedule();
    }
  }
}
