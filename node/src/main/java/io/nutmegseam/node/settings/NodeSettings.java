package io.nutmegseam.node.settings;

import java.util.List;

/**
 * The settings of one node. docs/SETTINGS.md describes each key.
 *
 * @param node name of the node
 * @param vm name of the VM on which it runs
 * @param dataCentre its data centre
 * @param callerAddress where callers reach it
 * @param operatorAddress where operators reach it
 * @param peerAddress where peers reach it
 * @param peerAdvertisedAddress address that peers dial
 * @param platformAddress base address of the platform
 * @param peerSeeds peers to ask while the platform is out
 * @param clusterToken secret shared by all nodes
 * @param operatorToken secret of the operators
 * @param callers the callers and their keys; empty to take every caller as anonymous
 * @param limits sizes
 * @param timing times
 * @param peerTls files of the keys of peer connections; empty paths for connections without TLS
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
   * Sizes.
   *
   * @param bodyBytes largest request body, in bytes
   * @param storedAnswerBytes largest stored answer of an unrepeatable call, in bytes
   * @param frameBytes largest frame between nodes, in bytes
   * @param workerThreads threads that serve callers
   * @param timelineEvents events kept in memory for the time line
   */
  public record Limits(
      int bodyBytes,
      int storedAnswerBytes,
      int frameBytes,
      int workerThreads,
      int timelineEvents) {}

  /**
   * Times, in milliseconds.
   *
   * @param leaseMillis time without a renewal after which a lease lapses
   * @param renewMillis time between renewals
   * @param pollMillis time between reads of the control rows
   * @param heartbeatMillis time between heartbeats within a data centre
   * @param tickMillis time between rounds of the control thread
   * @param reportMillis time between reads of load reports and inventories
   * @param settleMillis time within which an order arrives or is lost
   * @param platformTimeoutMillis longest wait for the platform
   * @param orderTimeoutMillis longest wait for a control call of a backend server
   * @param drainMillis longest wait for requests in flight at shutdown
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
   * Files of the keys of peer connections, in PEM form.
   *
   * @param certificateFile this node's certificate chain
   * @param keyFile this node's private key
   * @param trustFile certificates of the authority of all nodes
   */
  public record PeerTls(String certificateFile, String keyFile, String trustFile) {
    /** Returns whether peer connections use TLS. */
    public boolean isEnabled() {
      return !certificateFile.isEmpty();
    }
  }
}
