package io.nutmegseam.node.allotment;

import io.nutmegseam.core.allotment.AllotmentRules;
import io.nutmegseam.core.allotment.GrantDecision;
import io.nutmegseam.core.allotment.GrantLedger;
import io.nutmegseam.core.allotment.GrantRequest;
import io.nutmegseam.core.allotment.LongerClock;
import io.nutmegseam.core.allotment.TenantKeys;
import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.routing.TokenCount;
import io.nutmegseam.core.tenant.Allotment;
import io.nutmegseam.core.tenant.Tenant;
import io.nutmegseam.core.tenant.Tenants;
import io.nutmegseam.node.control.TrafficTimer;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.quota.ReachableNodeSelector;
import io.nutmegseam.node.rows.NodeRecord;
import io.nutmegseam.node.settings.HostPort;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Charges requests to the allotments of tenants, which all nodes share. For each group of tenants
 * one node grants units and the others use them. Confined to the traffic thread.
 */
public final class Allotments {
  /** Only silence and due requests wait for a tick; a request without balance asks at once. */
  private static final long TICK_MILLIS = 100;

  private static final long MIN_WAIT_MILLIS = 20;

  /** Covers the silence of a granting node; the target of the request limits the wait further. */
  private static final long MAX_WAIT_MILLIS = 1_500;

  /** Callers that are refused together do not return together. */
  private static final double JITTER_PART = 0.25;

  private static final long JITTER_MILLIS = 50;
  private static final long LOG_INTERVAL_MILLIS = 10_000;
  private static final int MAX_LOGGED_TENANTS = 1_024;

  private final Dependencies dependencies;
  private final AllotmentRules rules;
  private final InstantSource clock;
  private final GrantLedger ledger;
  private final ReachableNodeSelector selector;
  private final GroupLending.Context context;
  private final long startedMillis;
  private final Map<String, TenantAccount> accountByName = new HashMap<>();
  private final Map<String, Long> loggedMillisByTenant = new HashMap<>();
  private List<GroupLending> groups = List.of();
  private List<NodeRecord> nodes = List.of();
  private long configVersion = Long.MIN_VALUE;
  private long lastSequence;
  private boolean ticking;

  /**
   * Collaborators of the component.
   *
   * @param self name of this node
   * @param dataCentre data centre of this node
   * @param peers sends frames to other nodes
   * @param connector opens a connection to a node
   * @param clock monotonic clock
   * @param timeOfDay time of day, which goes on while the process is frozen
   * @param timer runs delayed tasks on the traffic thread
   * @param config the active configuration
   * @param rules how closely the allotments must be kept
   * @param metrics metrics by tenant
   * @param events the log
   */
  public record Dependencies(
      String self,
      String dataCentre,
      PeerTransport peers,
      Consumer<HostPort> connector,
      InstantSource clock,
      InstantSource timeOfDay,
      TrafficTimer timer,
      Supplier<Optional<GatewayConfig>> config,
      AllotmentRules rules,
      TenantMetrics metrics,
      EventSink events) {}

  /**
   * Creates a component that has lent and granted nothing.
   *
   * @param dependencies collaborators of the component
   */
  public Allotments(Dependencies dependencies) {
    this.rules = dependencies.rules();
    this.dependencies = dependencies;
    this.clock = new LongerClock(dependencies.clock(), dependencies.timeOfDay());
    this.startedMillis = clock.millis();
    ThreadLocalRandom random = ThreadLocalRandom.current();
    // A stamp of an earlier process must not look recent to this one.
    this.ledger = new GrantLedger(rules, random.nextLong(1L << 33, 1L << 34) - startedMillis);
    this.selector =
        new ReachableNodeSelector(
            dependencies.self(), dependencies.peers(), dependencies.connector(), clock);
    this.context =
        new GroupLending.Context(
            random.nextInt(),
            () -> ++lastSequence,
            this::send,
            selector,
            rules,
            dependencies.events());
  }

  /** Sets the known nodes, this one included. */
  public void setNodes(List<NodeRecord> next) {
    if (!next.equals(nodes)) {
      nodes = List.copyOf(next);
      ledger.setNodes(nodes.size());
      selector.retainNodes(nodes.stream().map(NodeRecord::node).collect(Collectors.toSet()));
      updateGroups();
    }
    refresh();
  }

  /** Lends nothing for the membership time if the groups change, as all shares may be lent. */
  private void updateGroups() {
    if (nodes.isEmpty() || accountByName.isEmpty()) {
      return;
    }
    int count = rules.groups(nodes.size());
    List<List<NodeRecord>> orders =
        GrantingNodes.orders(dependencies.self(), dependencies.dataCentre(), nodes, rules);
    boolean justStarted = groups.isEmpty();
    long freeMillis =
        groups.stream()
            .mapToLong(GroupLending::freeMillis)
            .max()
            .orElse(startedMillis + rules.membershipMillis(nodes.size()));
    List<GroupLending> next = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      GroupLending.Fleet fleet = new GroupLending.Fleet(orders.get(i), count, nodes.size());
      if (groups.size() == count) {
        next.add(groups.get(i));
        groups.get(i).setFleet(fleet);
      } else {
        next.add(new GroupLending(i, context, freeMillis, justStarted, fleet));
      }
    }
    groups = next;
    for (int i = 0; i < count; i++) {
      int group = i;
      groups
          .get(i)
          .setAccounts(
              accountByName.values().stream()
                  .filter(account -> TenantKeys.group(account.key(), count) == group)
                  .toList());
    }
  }

  /** Applies the active configuration if it has changed. */
  private void refresh() {
    Optional<GatewayConfig> config = dependencies.config().get();
    long version = config.map(GatewayConfig::version).orElse(Long.MIN_VALUE);
    if (version > configVersion) {
      configVersion = version;
      applyTenants(config.orElseThrow().tenants());
    }
    if (!ticking && !accountByName.isEmpty()) {
      ticking = true;
      tick();
    }
  }

  private void applyTenants(Tenants tenants) {
    Map<String, Allotment> allotments = new HashMap<>();
    Map<Integer, Allotment> allotmentByKey = new HashMap<>();
    for (Tenant tenant : tenants.all()) {
      tenant
          .allotment()
          .ifPresent(
              allotment -> {
                allotments.put(tenant.name(), allotment);
                allotmentByKey.put(TenantKeys.key(tenant.name()), allotment);
              });
    }
    accountByName.values().stream()
        .filter(account -> !allotments.containsKey(account.name()))
        .forEach(account -> drain(account));
    accountByName.keySet().retainAll(allotments.keySet());
    allotments.forEach(
        (name, allotment) ->
            accountByName
                .computeIfAbsent(name, key -> new TenantAccount(name, allotment))
                .setAllotment(allotment));
    ledger.setAllotments(configVersion, allotmentByKey);
    updateGroups();
  }

  /** Lets the requests of a tenant without an allotment any more go on. */
  private static void drain(TenantAccount account) {
    account.waiting().removeIf(charge -> !charge.isWaiting());
    while (!account.waiting().isEmpty()) {
      account.waiting().poll().onCharged();
    }
  }

  private void tick() {
    refresh();
    long nowMillis = clock.millis();
    groups.forEach(group -> group.tick(nowMillis, configVersion));
    ticking = !accountByName.isEmpty();
    if (ticking) {
      dependencies.timer().schedule(TICK_MILLIS, this::tick);
    }
  }

  /**
   * Charges a request to its tenant's allotment. The outcome follows at once or after a short wait.
   *
   * @param tenant the tenant
   * @param tokens size of the request; empty if it does not say
   * @param maxWaitMillis time for which the request may wait and meet its target, in milliseconds
   * @param onBegun receives the charge before its outcome, if the tenant has an allotment
   * @param onCharged called if the request may go on
   * @param onRefused receives the error if the tenant is over its allotment
   */
  public void charge(
      Tenant tenant,
      Optional<TokenCount> tokens,
      long maxWaitMillis,
      Consumer<RequestCharge> onBegun,
      Runnable onCharged,
      Consumer<RequestException> onRefused) {
    if (tenant.allotment().isEmpty()) {
      onCharged.run();
      return;
    }
    refresh();
    TenantAccount account = accountByName.get(tenant.name());
    if (account == null) {
      onCharged.run();
      return;
    }
    long cost = account.allotment().cost(tokens);
    PendingCharge charge =
        new PendingCharge(
            cost,
            () -> {
              dependencies.metrics().onCharged(account.name(), cost);
              onCharged.run();
            },
            waitMillis -> onRefused.accept(refused(account, cost, waitMillis)),
            () -> {
              account.balance().credit(cost, clock.millis());
              dependencies.metrics().onCredited(account.name(), cost);
            });
    onBegun.accept(charge);
    charge(account, charge, maxWaitMillis);
  }

  private void charge(TenantAccount account, PendingCharge charge, long maxWaitMillis) {
    long nowMillis = clock.millis();
    Optional<GroupLending> group = group(account);
    long horizonMillis = rules.intervalMillis(nodes.size());
    account.balance().onDemand(charge.cost(), horizonMillis, nowMillis);
    if (account.waiting().isEmpty() && account.balance().charge(charge.cost(), nowMillis)) {
      group.ifPresent(lending -> lending.requestIfLow(account, nowMillis, configVersion));
      charge.onCharged();
    } else if (account.balance().exhaustedMillis(nowMillis) > 0) {
      charge.refuse(account.balance().exhaustedMillis(nowMillis));
    } else {
      account.waiting().add(charge);
      long waitMillis = Math.max(MIN_WAIT_MILLIS, Math.min(MAX_WAIT_MILLIS, maxWaitMillis));
      dependencies.timer().schedule(waitMillis, () -> expire(account, charge));
      group.ifPresent(lending -> lending.requestNow(nowMillis, configVersion));
    }
  }

  private void expire(TenantAccount account, PendingCharge charge) {
    if (account.waiting().remove(charge)) {
      long freeMillis = group(account).map(GroupLending::freeMillis).orElse(startedMillis);
      long nowMillis = clock.millis();
      charge.refuse(
          Math.max(
              rules.intervalMillis(nodes.size()) / 2,
              Math.min(freeMillis - nowMillis, rules.membershipMillis(nodes.size()))));
    }
  }

  private Optional<GroupLending> group(TenantAccount account) {
    return groups.isEmpty()
        ? Optional.empty()
        : Optional.of(groups.get(TenantKeys.group(account.key(), groups.size())));
  }

  private RequestException refused(TenantAccount account, long cost, long waitMillis) {
    long nowMillis = clock.millis();
    dependencies.metrics().onRefused(account.name());
    Long loggedMillis = loggedMillisByTenant.get(account.name());
    if (loggedMillis == null || nowMillis - loggedMillis >= LOG_INTERVAL_MILLIS) {
      if (loggedMillisByTenant.size() >= MAX_LOGGED_TENANTS) {
        loggedMillisByTenant.clear();
      }
      loggedMillisByTenant.put(account.name(), nowMillis);
      dependencies
          .events()
          .record(
              EventKind.ALLOTMENT_EXHAUSTED,
              account.name(),
              "cost %d, balance %d, refused for %d ms, configuration %d, %s"
                  .formatted(
                      cost,
                      account.balance().balance(nowMillis),
                      waitMillis,
                      configVersion,
                      group(account).map(lending -> lending.description(nowMillis)).orElse("")));
    }
    long jitterMillis = JITTER_MILLIS + (long) (waitMillis * JITTER_PART);
    return new RequestException(
        ErrorKind.ALLOTMENT_EXHAUSTED,
        "tenant \"%s\" has used up its allotment of %.0f units per second"
            .formatted(account.name(), account.allotment().ratePerSecond()),
        waitMillis + ThreadLocalRandom.current().nextLong(jitterMillis));
  }

  /** Returns whether a frame is a message about grants. */
  public static boolean accepts(PeerFrame frame) {
    return frame.hasGrantAsk() || frame.hasGrantAnswer();
  }

  /** Handles a message of another node about grants. */
  public void onFrame(String node, PeerFrame frame) {
    refresh();
    if (frame.hasGrantAsk()) {
      GrantCodec.decode(frame.getGrantAsk())
          .flatMap(request -> ledger.onRequest(node, request, clock.millis()))
          .ifPresent(
              decision ->
                  dependencies
                      .peers()
                      .send(
                          node,
                          PeerFrame.newBuilder().setGrantAnswer(GrantCodec.encode(decision))));
    } else if (frame.hasGrantAnswer()) {
      apply(node, GrantCodec.decode(frame.getGrantAnswer()));
    }
  }

  private void send(String node, GrantRequest request) {
    if (node.equals(dependencies.self())) {
      // The caller is still about to record the request.
      dependencies
          .timer()
          .schedule(
              0,
              () ->
                  ledger
                      .onRequest(node, request, clock.millis())
                      .ifPresent(decision -> apply(node, decision)));
    } else {
      dependencies
          .peers()
          .send(node, PeerFrame.newBuilder().setGrantAsk(GrantCodec.encode(request)));
    }
  }

  private void apply(String node, GrantDecision decision) {
    long nowMillis = clock.millis();
    for (GroupLending group : groups) {
      if (group.onDecision(node, decision, nowMillis, configVersion)) {
        group.accounts().forEach(account -> settle(group, account, nowMillis));
      }
    }
  }

  /** Charges or refuses the requests that wait, or requests what they still need. */
  private void settle(GroupLending group, TenantAccount account, long nowMillis) {
    account.chargeWaiting(nowMillis);
    long exhaustedMillis = account.balance().exhaustedMillis(nowMillis);
    while (exhaustedMillis > 0 && !account.waiting().isEmpty()) {
      account.waiting().poll().refuse(exhaustedMillis);
    }
    if (!account.waiting().isEmpty()) {
      group.requestNow(nowMillis, configVersion);
    }
  }
}
