package io.nutmegseam.node.settings;

import java.util.List;

/**
 * The settings of one node. docs/SETTINGS.md describes each key.
 *
 * @param node name of the node
 * @param vm name of the VM on which the node runs
 * @param dataCentre name of the data centre in which the node runs
 * @param callerAddress listening address for callers
 * @param operatorAddress listening address for operators
 * @param peerAddress listening address for other nodes
 * @param peerAdvertisedAddress address that other nodes connect to
 * @param platformAddress base URL of the platform's services
 * @param peerSeeds peers to connect to while no peer is connected, as when the platform is
 *     unavailable
 * @param clusterToken secret shared by all nodes
 * @param operatorToken secret of the operators; empty to require none
 * @param callers the callers and their keys; empty to accept every caller as anonymous
 * @param limits limits on sizes and counts
 * @param timing intervals and time limits
 * @param peerTls TLS files of peer connections; empty paths for connections without TLS
 */
public record NodeSettings(
    String node,
    String vm,
    String dataCentre,
    HostPort callerAddress,
    HostPort operatorAddress,
    HostPort peerAddress,
    HostPort peerAdvertisedAddress,
    String platformAddress,
    List<HostPort> peerSeeds,
    String clusterToken,
    String operatorToken,
    List<CallerKey> callers,
    Limits limits,
    Timing timing,
    PeerTls peerTls) {
  /**
   * A caller and its key.
   *
   * @param name name of the caller
   * @param key secret sent in the {@code Authorization} header
   */
  public record CallerKey(String name, String key) {}

  /**
   * Limits on sizes and counts.
   *
   * @param bodyBytes largest request body, in bytes
   * @param storedAnswerBytes largest stored response of a non-idempotent call, in bytes
   * @param frameBytes largest frame between nodes, in bytes
   * @param workerThreads number of threads that serve callers
   * @param timelineEvents number of events kept in memory for the timeline
   */
  public record Limits(
      int bodyBytes,
      int storedAnswerBytes,
      int frameBytes,
      int workerThreads,
      int timelineEvents) {}

  /**
   * Intervals and time limits, in milliseconds.
   *
   * @param leaseMillis time without a renewal after which a lease lapses
   * @param renewMillis time between renewals
   * @param pollMillis time between reads of the control rows
   * @param heartbeatMillis time between heartbeats within a data centre
   * @param tickMillis time between periodic runs of the control thread
   * @param reportMillis time between reads of load reports and inventories
   * @param settleMillis time after which an order in transit has arrived or is lost
   * @param platformTimeoutMillis time limit for a request to the platform
   * @param orderTimeoutMillis time limit for a control call to a backend server
   * @param drainMillis longest wait for requests in flight at a graceful shutdown
   */
  public record Timing(
      long leaseMillis,
      long renewMillis,
      long pollMillis,
      long heartbeatMillis,
      long tickMillis,
      long reportMillis,
      long settleMillis,
      long platformTimeoutMillis,
      long orderTimeoutMillis,
      long drainMillis) {}

  /**
   * TLS files of peer connections, in PEM format.
   *
   * @param certificateFile this node's certificate chain
   * @param keyFile this node's private key
   * @param trustFile certificates of the authority that signs the certificates of all nodes
   */
  public record PeerTls(String certificateFile, String keyFile, String trustFile) {
    /** Returns whether peer connections use TLS. */
    public boolean isEnabled() {
      return !certificateFile.isEmpty();
    }
  }
}
