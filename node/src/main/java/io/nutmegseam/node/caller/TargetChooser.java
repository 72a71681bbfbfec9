package io.nutmegseam.node.caller;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.routing.Candidate;
import io.nutmegseam.core.routing.RoutingPolicy;
import io.nutmegseam.node.control.LoadBoard;
import io.nutmegseam.node.control.RoutingTable;
import io.nutmegseam.node.control.TableHolder;
import io.nutmegseam.node.control.WaitBoard;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Waits until a backend server can take a request, and chooses it. */
public final class TargetChooser {
  private static final int CACHED_PREFIXES = 10_000;
  private static final Duration PREFIX_LIFE = Duration.ofMinutes(5);

  /** Pause before a server that refused an attempt is asked again. */
  private static final long REFUSED_PAUSE_MILLIS = 200;

  private static final double NEAR_MILLIS = 0.2;
  private static final double FAR_MILLIS = 1.0;

  private final String dataCentre;
  private final TableHolder tables;
  private final WaitBoard waits;
  private final LoadBoard loads;
  private final Clock monotonic;
  private final RandomGenerator random;
  private final Cache<PrefixKey, String> serverByPrefix =
      Caffeine.newBuilder().maximumSize(CACHED_PREFIXES).expireAfterWrite(PREFIX_LIFE).build();

  private record PrefixKey(String unit, int prefixHash) {}

  /**
   * Creates the chooser.
   *
   * @param dataCentre this node's data centre
   * @param tables holds the routing table
   * @param waits the waiting requests
   * @param loads the load of backend servers
   * @param monotonic monotonic clock
   * @param random source of random choices
   */
  public TargetChooser(
      String dataCentre,
      TableHolder tables,
      WaitBoard waits,
      LoadBoard loads,
      Clock monotonic,
      RandomGenerator random) {
    this.dataCentre = dataCentre;
    this.tables = tables;
    this.waits = waits;
    this.loads = loads;
    this.monotonic = monotonic;
    this.random = random;
  }

  /**
   * Chooses a server; waits for a cold start if there is none.
   *
   * @param call the request
   * @param tried servers of earlier attempts
   * @return the server
   * @throws RequestException if waiting is of no use any more
   */
  public BackendServerRecord choose(Call call, Tried tried) throws RequestException {
    RoutingTable table = tables.current();
    Optional<BackendServerRecord> now = chooseNow(call, tried, table);
    if (now.isPresent()) {
      return now.get();
    }
    if (!call.isCompletion()) {
      throw Refusals.noBackendServer(call);
    }
    return await(call, tried, table);
  }

  private BackendServerRecord await(Call call, Tried tried, RoutingTable seen)
      throws RequestException {
    long startedMillis = monotonic.millis();
    long giveUpMillis = call.deadlineMillis() - ServiceTime.millis(call, seen);
    boolean loadedElsewhere = !seen.serversWith(call.name()).isEmpty();
    WaitBoard.Ticket ticket =
        waits.add(call.attemptId(), call.name(), call.interactive(), giveUpMillis, loadedElsewhere);
    try {
      RoutingTable table = seen;
      while (true) {
        long leftMillis = giveUpMillis - monotonic.millis();
        if (leftMillis <= 0) {
          throw Refusals.expiredInQueue(call, monotonic.millis() - startedMillis);
        }
        table = tables.awaitChange(table, Math.min(leftMillis, REFUSED_PAUSE_MILLIS));
        Optional<BackendServerRecord> found = chooseNow(call, tried.withoutRefused(), table);
        if (found.isPresent()) {
          return found.get();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw Refusals.notReady("the node is shutting down");
    } finally {
      waits.remove(ticket);
    }
  }

  private Optional<BackendServerRecord> chooseNow(Call call, Tried tried, RoutingTable table) {
    List<BackendServerRecord> servers =
        call.isCompletion() ? table.serversWith(call.name()) : table.serversOfService(call.name());
    List<Candidate> candidates = new ArrayList<>();
    for (BackendServerRecord server : servers) {
      if (!tried.excludes(server.name())) {
        candidates.add(candidate(server, call));
      }
    }
    List<Candidate> healthy = loads.ejection().filter(candidates, monotonic.millis());
    RoutingPolicy policy = RoutingPolicy.named(table.catalog().policy().routing());
    Optional<Candidate> chosen =
        policy.choose(healthy, call.size().promptTokens(), call.size().answerTokens(), random);
    chosen.ifPresent(c -> serverByPrefix.put(prefixKey(call), c.server()));
    return chosen.flatMap(c -> table.catalog().backendServer(c.server()));
  }

  private Candidate candidate(BackendServerRecord server, Call call) {
    LoadBoard.Sample sample = loads.sample(server.name());
    boolean near = server.dataCentre().equals(dataCentre);
    boolean cached = server.name().equals(serverByPrefix.getIfPresent(prefixKey(call)));
    return new Candidate(
        server.name(),
        loads.outstanding(server.name()),
        sample.load(),
        monotonic.millis() - sample.atMillis(),
        server.tokensPerSecond(),
        near ? NEAR_MILLIS : FAR_MILLIS,
        cached);
  }

  private static PrefixKey prefixKey(Call call) {
    return new PrefixKey(call.name(), call.size().prefixHash());
  }
}
