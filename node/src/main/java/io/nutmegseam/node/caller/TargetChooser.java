package io.nutmegseam.node.caller;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.routing.Candidate;
import io.nutmegseam.core.routing.RoutingPolicy;
import io.nutmegseam.node.control.RoutingTable;
import io.nutmegseam.node.control.RoutingTablePublisher;
import io.nutmegseam.node.control.ServerLoadTracker;
import io.nutmegseam.node.control.WaitingRequestRegistry;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Chooses the backend server of an attempt, and waits until one is available. */
public final class TargetChooser {
  private static final int CACHED_PREFIXES = 10_000;
  private static final Duration PREFIX_TTL = Duration.ofMinutes(5);

  /** Pause before a request is sent again to a server that refused it. */
  private static final long REFUSED_PAUSE_MILLIS = 200;

  private static final double SAME_DATA_CENTRE_LATENCY_MILLIS = 0.2;
  private static final double OTHER_DATA_CENTRE_LATENCY_MILLIS = 1.0;

  private final String dataCentre;
  private final RoutingTablePublisher tables;
  private final WaitingRequestRegistry waitingRequests;
  private final ServerLoadTracker loads;
  private final Clock monotonic;
  private final RandomGenerator random;
  private final Cache<PrefixKey, String> serverByPrefix =
      Caffeine.newBuilder().maximumSize(CACHED_PREFIXES).expireAfterWrite(PREFIX_TTL).build();

  private record PrefixKey(String unit, int prefixHash) {}

  /**
   * Creates the chooser.
   *
   * @param dataCentre this node's data centre
   * @param tables publishes the routing table
   * @param waitingRequests the requests that wait for a model or adapter
   * @param loads the load and the failures of backend servers
   * @param monotonic monotonic clock
   * @param random source of random choices
   */
  public TargetChooser(
      String dataCentre,
      RoutingTablePublisher tables,
      WaitingRequestRegistry waitingRequests,
      ServerLoadTracker loads,
      Clock monotonic,
      RandomGenerator random) {
    this.dataCentre = dataCentre;
    this.tables = tables;
    this.waitingRequests = waitingRequests;
    this.loads = loads;
    this.monotonic = monotonic;
    this.random = random;
  }

  /**
   * Chooses a server. Waits for a cold start if no server has the model or adapter loaded, and for
   * the retry pause if every server that has it refused the request.
   *
   * @param request the request
   * @param attempted servers of earlier attempts
   * @return the chosen server
   * @throws RequestException if no server becomes available while enough time is left to run the
   *     request, or if no server of a plain service is available now
   */
  public BackendServerRecord choose(CallerRequest request, AttemptedServers attempted)
      throws RequestException {
    RoutingTable table = tables.current();
    Optional<BackendServerRecord> available = chooseNow(request, attempted, table);
    if (available.isPresent()) {
      return available.get();
    }
    if (!request.isCompletion()) {
      throw RequestErrors.noBackendServer(request);
    }
    return awaitServer(request, attempted, table);
  }

  private BackendServerRecord awaitServer(
      CallerRequest request, AttemptedServers attempted, RoutingTable current)
      throws RequestException {
    long startedMillis = monotonic.millis();
    long latestStartMillis =
        request.deadlineMillis() - ServiceTimeEstimator.estimateMillis(request, current);
    boolean hasLoadedReplica = !current.serversWith(request.name()).isEmpty();
    WaitingRequestRegistry.Entry entry =
        waitingRequests.add(
            request.attemptId(),
            request.name(),
            request.interactive(),
            latestStartMillis,
            hasLoadedReplica);
    try {
      RoutingTable table = current;
      while (true) {
        long remainingMillis = latestStartMillis - monotonic.millis();
        if (remainingMillis <= 0) {
          throw RequestErrors.expiredInQueue(request, monotonic.millis() - startedMillis);
        }
        table = tables.awaitChange(table, Math.min(remainingMillis, REFUSED_PAUSE_MILLIS));
        Optional<BackendServerRecord> found = chooseNow(request, attempted.withoutRefused(), table);
        if (found.isPresent()) {
          return found.get();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw RequestErrors.notReady("the node is shutting down");
    } finally {
      waitingRequests.remove(entry);
    }
  }

  private Optional<BackendServerRecord> chooseNow(
      CallerRequest request, AttemptedServers attempted, RoutingTable table) {
    List<BackendServerRecord> servers =
        request.isCompletion()
            ? table.serversWith(request.name())
            : table.serversOfService(request.name());
    List<Candidate> candidates = new ArrayList<>();
    for (BackendServerRecord server : servers) {
      if (!attempted.excludes(server.name())) {
        candidates.add(candidate(server, request));
      }
    }
    List<Candidate> healthy = loads.ejection().filter(candidates, monotonic.millis());
    RoutingPolicy policy = RoutingPolicy.named(table.catalog().policy().routing());
    Optional<Candidate> chosen =
        policy.choose(
            healthy, request.size().promptTokens(), request.size().maxCompletionTokens(), random);
    chosen.ifPresent(c -> serverByPrefix.put(prefixKey(request), c.server()));
    return chosen.flatMap(c -> table.catalog().backendServer(c.server()));
  }

  private Candidate candidate(BackendServerRecord server, CallerRequest request) {
    ServerLoadTracker.Sample sample = loads.lastSample(server.name());
    boolean sameDataCentre = server.dataCentre().equals(dataCentre);
    boolean prefixCached = server.name().equals(serverByPrefix.getIfPresent(prefixKey(request)));
    return new Candidate(
        server.name(),
        loads.outstanding(server.name()),
        sample.load(),
        monotonic.millis() - sample.receivedAtMillis(),
        server.tokensPerSecond(),
        sameDataCentre ? SAME_DATA_CENTRE_LATENCY_MILLIS : OTHER_DATA_CENTRE_LATENCY_MILLIS,
        prefixCached);
  }

  private static PrefixKey prefixKey(CallerRequest request) {
    return new PrefixKey(request.name(), request.size().prefixHash());
  }
}
