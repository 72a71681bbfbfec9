package io.nutmegseam.node.pace;

import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.pace.PaceTable;

/** Measures one request at one server. Confined to the traffic thread. */
public final class FirstEventTimer {
  private final PaceTracker tracker;
  private final Subject subject;
  private PaceTable.Instants sent;
  private boolean begun;
  private long responseBytes;

  /**
   * The request.
   *
   * @param server the server
   * @param route name of the route
   * @param streaming whether the response is a stream
   * @param arrivedMillis monotonic time of the request's arrival
   * @param tokens prompt tokens that the server has to process for it
   * @param tokensAhead prompt tokens that this node has sent there before
   * @param isLong whether the prompt delays short ones noticeably
   * @param measured whether the time to the first event tells the server's speed
   */
  record Subject(
      ServerEntry server,
      String route,
      boolean streaming,
      long arrivedMillis,
      long tokens,
      long tokensAhead,
      boolean isLong,
      boolean measured) {}

  FirstEventTimer(PaceTracker tracker, Subject subject) {
    this.tracker = tracker;
    this.subject = subject;
  }

  /** Counts the prompt as outstanding at the server. */
  public void start() {
    if (subject.tokens() > 0) {
      tracker.backlog().add(serverId(), this, subject.tokens(), subject.isLong());
    }
  }

  /**
   * Records that the request is sent on an established connection.
   *
   * @param bytes size of its body
   */
  public void onSent(int bytes) {
    tracker.remoteBytes().add(RemoteBytes.Kind.REQUEST, subject.server().dataCentre(), bytes);
    sent = tracker.now();
  }

  /** Counts a part of a response body that has arrived. */
  public void onArrived(int bytes) {
    tracker.remoteBytes().add(RemoteBytes.Kind.RESPONSE, subject.server().dataCentre(), bytes);
  }

  /**
   * Records a part of the response body that is forwarded.
   *
   * @param bytes size of the part
   * @param threadLate whether the traffic thread runs late, so that its times are too long
   */
  public void onContent(int bytes, boolean threadLate) {
    responseBytes += bytes;
    if (!begun) {
      begun = true;
      tracker.backlog().remove(serverId(), this);
      if (sent != null && !threadLate) {
        tracker.onFirstEvent(subject, sent);
      }
    }
  }

  /** Records the end of the request at the server, for whatever reason. */
  public void onEnded() {
    tracker.backlog().remove(serverId(), this);
    if (begun && sent != null) {
      long durationMillis = tracker.now().monotonicMillis() - sent.monotonicMillis();
      tracker.onEnded(subject, durationMillis, responseBytes);
    }
  }

  private String serverId() {
    return subject.server().incarnation().id();
  }
}
