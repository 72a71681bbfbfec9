package io.nutmegseam.node.tenant;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.tenant.ClockReading;
import io.nutmegseam.core.tenant.ConfigProof;
import io.nutmegseam.core.tenant.ProofSources;
import io.nutmegseam.core.tenant.RevocationRule;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.ConfigAgeAnswer;
import io.nutmegseam.node.peer.generated.ConfigAgeQuery;
import io.nutmegseam.node.peer.generated.PeerFrame;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Proves the age of the configuration: by this node's own reads of the store, and otherwise by
 * asking other nodes. Confined to the control thread, except for {@link #state}.
 */
public final class ConfigAgeExchange {
  /** Interval of the rounds in which a node asks others. */
  static final long ROUND_MILLIS = 500;

  /**
   * Age of this node's last read up to which it does not ask others: the longest wait of a read at
   * the store, the pause after it, and the time of a slow response.
   */
  private static final long MAX_READ_AGE_MILLIS = 1_200;

  /** Interval of the reads that a node makes itself although another one reads for it. */
  private static final long OWN_READ_INTERVAL_MILLIS = 1_000;

  /** Answers to older queries would prove nothing. */
  private static final int MAX_OUTSTANDING = 32;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Optional<RevocationRule> rule;
  private final Dependencies dependencies;
  private final EventSink events;
  private final ConfigProof proof = new ConfigProof();
  private final ProofSources sources = new ProofSources();
  private final Map<Long, Query> outstanding = new LinkedHashMap<>();
  private long rowVersion;
  private long lastReadMillis = NEVER;
  private long nextRoundMillis = Long.MIN_VALUE;
  private long nextOwnReadMillis = Long.MIN_VALUE;
  private String provenBy = "";
  private int loggedSetBacks;
  private boolean wasProven;
  private OptionalLong lostMillis = OptionalLong.empty();

  /** A query that was sent to a node. */
  private record Query(String node, ConfigProof.Stamp sent) {}

  /**
   * Collaborators of the exchange.
   *
   * @param monotonic monotonic clock
   * @param timeOfDay time of day
   * @param peers sends frames to other nodes
   * @param config the active configuration
   * @param random source of query ids
   * @param events event log
   */
  public record Dependencies(
      InstantSource monotonic,
      InstantSource timeOfDay,
      PeerTransport peers,
      Supplier<Optional<GatewayConfig>> config,
      RandomGenerator random,
      EventSink events) {}

  /**
   * Creates an exchange that has proven nothing.
   *
   * @param rule decides at which age requests are admitted; empty if the age does not matter
   * @param dependencies collaborators of the exchange
   */
  public ConfigAgeExchange(Optional<RevocationRule> rule, Dependencies dependencies) {
    this.rule = rule;
    this.dependencies = dependencies;
    this.events = dependencies.events();
  }

  /** Returns whether a frame belongs to this exchange. */
  public static boolean accepts(PeerFrame frame) {
    return frame.hasConfigAgeQuery() || frame.hasConfigAgeAnswer();
  }

  /** Returns whether the configuration is young enough to admit requests by key. Thread-safe. */
  public ProofState state() {
    if (rule.isEmpty()) {
      return ProofState.NOT_REQUIRED;
    }
    OptionalLong ageMillis = proof.ageMillis(now());
    boolean admits = rule.get().admits(ageMillis);
    return new ProofState(admits, ageMillis, admits ? 0 : retryAfterMillis(ageMillis));
  }

  /** Returns the age of the configuration for metrics, in seconds; -1 if it is unknown. */
  public double ageSeconds() {
    OptionalLong ageMillis = proof.ageMillis(now());
    return ageMillis.isPresent() ? ageMillis.getAsLong() / 1_000.0 : -1;
  }

  /** Records rows of the configuration's table that are in force here from now on. */
  public void onRows(List<Row> rows) {
    rows.forEach(row -> rowVersion = Math.max(rowVersion, row.version()));
  }

  /**
   * Records that a read of the configuration is about to be sent to the store.
   *
   * @return to be run when the rows that the read returned are in force
   */
  public Runnable onReadSent() {
    ConfigProof.Stamp sent = proof.stamp(now());
    return () -> {
      if (proof.onResponse(sent, 0, now())) {
        provenBy = "";
      }
      lastReadMillis = sent.reading().monotonicMillis();
    };
  }

  /**
   * Asks other nodes if that is due.
   *
   * @param readers nodes that read the store for this one
   */
  public void tick(Set<String> readers) {
    if (rule.isEmpty()) {
      return;
    }
    ClockReading now = now();
    logChanges(now);
    boolean readsStore = now.monotonicMillis() - lastReadMillis <= MAX_READ_AGE_MILLIS;
    boolean needed = hasTenants() && (!readsStore || !state().proven());
    if (needed && now.monotonicMillis() >= nextRoundMillis) {
      nextRoundMillis = now.monotonicMillis() + ROUND_MILLIS;
      sources.next(readers, dependencies.peers().connectedNodes()).forEach(this::ask);
    }
  }

  /**
   * Returns whether this node should read the configuration itself, since no answer proves its age
   * in time, as from a reader of an older build, which answers no queries.
   */
  public boolean isReadDue() {
    if (rule.isEmpty() || !hasTenants()) {
      return false;
    }
    ClockReading now = now();
    OptionalLong ageMillis = proof.ageMillis(now);
    long maxAgeMillis = rule.get().maxAgeMillis();
    // Answers prove ages of up to about half the limit; a read takes a sixth of it at the store.
    long waitMillis = provenBy.isEmpty() ? maxAgeMillis / 2 : maxAgeMillis * 3 / 4;
    boolean young = ageMillis.isPresent() && ageMillis.getAsLong() <= waitMillis;
    if (young || now.monotonicMillis() < nextOwnReadMillis) {
      return false;
    }
    nextOwnReadMillis = now.monotonicMillis() + OWN_READ_INTERVAL_MILLIS;
    return true;
  }

  /** Handles a query or an answer of another node. */
  public void onFrame(String node, PeerFrame frame) {
    if (rule.isPresent() && frame.hasConfigAgeQuery()) {
      answer(node, frame.getConfigAgeQuery());
    } else if (rule.isPresent()) {
      onAnswer(node, frame.getConfigAgeAnswer());
    }
  }

  private void ask(String node) {
    long id = dependencies.random().nextLong();
    outstanding.put(id, new Query(node, proof.stamp(now())));
    if (outstanding.size() > MAX_OUTSTANDING) {
      outstanding.remove(outstanding.keySet().iterator().next());
    }
    dependencies
        .peers()
        .send(
            node, PeerFrame.newBuilder().setConfigAgeQuery(ConfigAgeQuery.newBuilder().setId(id)));
  }

  /** Answers unless this node's own proof comes from the asking node, or there is none. */
  private void answer(String node, ConfigAgeQuery query) {
    OptionalLong ageMillis = proof.ageMillis(now());
    if (rule.orElseThrow().admits(ageMillis) && !node.equals(provenBy)) {
      dependencies
          .peers()
          .send(
              node,
              PeerFrame.newBuilder()
                  .setConfigAgeAnswer(
                      ConfigAgeAnswer.newBuilder()
                          .setId(query.getId())
                          .setAgeMillis(ageMillis.getAsLong())
                          .setRowVersion(rowVersion)));
    }
  }

  private void onAnswer(String node, ConfigAgeAnswer answer) {
    Query query = outstanding.get(answer.getId());
    if (query == null || !query.node().equals(node)) {
      return;
    }
    outstanding.remove(answer.getId());
    // The other node may have a configuration that this one has not received yet.
    if (answer.getRowVersion() <= rowVersion
        && proof.onResponse(query.sent(), answer.getAgeMillis(), now())) {
      provenBy = node;
      // Proof that is passed on from node to node ages; a fresher source is sought in time.
      if (answer.getAgeMillis() <= rule.orElseThrow().maxAgeMillis() / 2) {
        sources.onProven(node);
      }
    }
  }

  private void logChanges(ClockReading now) {
    OptionalLong ageMillis = proof.ageMillis(now);
    boolean proven = rule.orElseThrow().admits(ageMillis);
    if (proof.setBacks() > loggedSetBacks) {
      loggedSetBacks = proof.setBacks();
      record(EventKind.CLOCK_SET_BACK, "set back %d times".formatted(loggedSetBacks), now);
    }
    if (wasProven && !proven) {
      lostMillis = OptionalLong.of(now.monotonicMillis());
      record(EventKind.CONFIG_PROOF_LOST, hasTenants() ? "keys refused" : "no keys", now);
    } else if (proven && !wasProven) {
      String detail =
          lostMillis.isPresent()
              ? "after %d ms".formatted(now.monotonicMillis() - lostMillis.getAsLong())
              : "first proof";
      record(EventKind.CONFIG_PROOF_GAINED, detail, now);
    }
    wasProven = proven;
  }

  private void record(EventKind kind, String detail, ClockReading now) {
    OptionalLong ageMillis = proof.ageMillis(now);
    events.record(
        kind,
        dependencies.config().get().map(c -> String.valueOf(c.version())).orElse("none"),
        "%s; age %s, at most %d ms, row version %d, proven by %s, own read sent %s, queries unanswered %d"
            .formatted(
                detail,
                ageMillis.isPresent() ? ageMillis.getAsLong() + " ms" : "unknown",
                rule.orElseThrow().maxAgeMillis(),
                rowVersion,
                provenBy.isEmpty() ? "own read" : "node " + provenBy,
                lastReadMillis == NEVER
                    ? "never"
                    : now.monotonicMillis() - lastReadMillis + " ms ago",
                outstanding.size()));
  }

  private boolean hasTenants() {
    return dependencies.config().get().filter(config -> !config.tenants().isEmpty()).isPresent();
  }

  /** Callers that were refused together do not return together. */
  private long retryAfterMillis(OptionalLong ageMillis) {
    return rule.orElseThrow().retryAfterMillis(ageMillis)
        + ThreadLocalRandom.current().nextLong(ROUND_MILLIS);
  }

  /** The time of day is read first: a freeze between the two readings does not look like a jump. */
  private ClockReading now() {
    long wallMillis = dependencies.timeOfDay().millis();
    return new ClockReading(dependencies.monotonic().millis(), wallMillis);
  }
}
