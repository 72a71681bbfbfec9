package io.nutmegseam.node.quota;

import io.nutmegseam.core.quota.SendLimiter;
import io.nutmegseam.core.quota.SendQuota;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.peer.generated.SendPermitAnswer;
import io.nutmegseam.node.peer.generated.SendPermitAsk;
import io.nutmegseam.node.peer.generated.SendReport;
import java.time.InstantSource;

/**
 * Grants sends to servers with limits, for this node and for those that ask it. Confined to the
 * traffic thread.
 */
final class SendGrants {
  private final PeerTransport peers;
  private final LimitSharing sharing;
  private final InstantSource clock;
  private final SendLimiter limiter = new SendLimiter();

  /**
   * Creates a component that has granted nothing.
   *
   * @param peers sends frames to other nodes
   * @param sharing the known limits
   * @param clock monotonic clock
   */
  SendGrants(PeerTransport peers, LimitSharing sharing, InstantSource clock) {
    this.peers = peers;
    this.sharing = sharing;
    this.clock = clock;
  }

  /** Decides on a request to a process. */
  SendQuota.Decision decide(String process, SendLimiter.Ask ask) {
    return limiter.decide(process, sharing.limits(process), ask, clock.millis());
  }

  /** Takes account of what a node reports on its requests to a process. */
  void report(String process, SendLimiter.Report report) {
    limiter.report(process, sharing.limits(process), report, clock.millis());
  }

  /** Answers another node that asks for a permit. */
  void onAsk(String node, SendPermitAsk message) {
    sharing.onNews(node, message.getLimit());
    SendQuota.Decision decision =
        decide(
            message.getLimit().getProcess(),
            new SendLimiter.Ask(
                node,
                message.getMaxWaitMillis(),
                message.getHasAlternative(),
                message.getInFlight(),
                message.getSlots(),
                message.getSubstitute()));
    peers.send(
        node,
        PeerFrame.newBuilder()
            .setSendPermitAnswer(
                SendPermitAnswer.newBuilder()
                    .setId(message.getId())
                    .setGranted(decision.granted())
                    .setWaitMillis(decision.waitMillis())));
  }

  /** Takes account of what another node reports. */
  void onReport(String node, SendReport message) {
    sharing.onNews(node, message.getLimit());
    report(
        message.getLimit().getProcess(),
        new SendLimiter.Report(
            node,
            message.getSent(),
            message.getUnused(),
            message.getRejected(),
            message.getInFlight()));
  }
}
