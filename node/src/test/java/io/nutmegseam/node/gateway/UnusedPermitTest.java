package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.google.protobuf.ByteString;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.core.gateway.Route;
import io.nutmegseam.core.gateway.ServiceShare;
import io.nutmegseam.core.quota.ServerLimits;
import io.nutmegseam.node.gateway.StubServer.ConnectionAction;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.peer.generated.SendPermitAnswer;
import io.nutmegseam.node.quota.SendQuotas;
import io.nutmegseam.node.rows.NodeRecord;
import io.nutmegseam.node.settings.HostPort;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** The permit to send a request to another server, since the first one seems to be silent. */
class UnusedPermitTest {
  private static final String GRANTING_NODE = "n2";
  private static final String UNENDED =
      "HTTP/1.1 200 OK\r\nid: {id}\r\nreceipt: r\r\nContent-Length: 9\r\n\r\nhello";

  /** Time for the head of the response to arrive while the traffic thread is held up. */
  private static final long HEAD_MILLIS = 500;

  private final CountDownLatch asked = new CountDownLatch(1);
  private final AtomicInteger unused = new AtomicInteger();

  // Guards against limits of servers that are used up by requests which are never sent.
  @Test
  void should_be_given_back_if_the_first_server_responds_before_it_is_granted() throws Exception {
    try (TestGateway gateway = new TestGateway();
        StubServer slow = new StubServer("a", head -> awaitAsk(), ConnectionAction.KEEP);
        StubServer limited = new StubServer("b", UNENDED, ConnectionAction.KEEP)) {
      // GIVEN a request at a server that is silent until the permit for another one is asked for
      ServerEntry entry = limited.entry("s");
      gateway.configureEntries(route(), List.of(slow.entry("s")));
      gateway.loop().submit(() -> startExchange(gateway, entry)).get();
      await().until(() -> slow.requestHeads().size() == 1);
      // WHEN
      gateway.configureEntries(route(), List.of(slow.entry("s"), entry));
      // THEN
      await().untilAtomic(unused, count -> assertThat(count).isEqualTo(1));
      assertThat(limited.requestHeads()).isEmpty();
    }
  }

  private String awaitAsk() {
    try {
      asked.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return UNENDED;
  }

  private void startExchange(TestGateway gateway, ServerEntry limited) {
    TrafficContext context = gateway.context();
    SendQuotas quotas = quotas(gateway);
    quotas.setNodes(List.of(new NodeRecord(GRANTING_NODE, "dc", new HostPort("127.0.0.1", 1), 1)));
    quotas.onResponse(limited.incarnation(), new ServerLimits(1), 0);
    InboundRequest request =
        new InboundRequest(
            HttpMethod.GET,
            "/p/x",
            new DefaultHttpHeaders().set("Host", "h").set("id", "1"),
            ByteString.EMPTY,
            context.clock().millis(),
            false);
    CallerConnection caller = new CallerConnection(context, change -> {}, false);
    new EmbeddedChannel(caller);
    new Exchange(withQuotas(context, quotas), request, caller, () -> {}).start();
  }

  private SendQuotas quotas(TestGateway gateway) {
    GrantingNode node = new GrantingNode(gateway);
    node.quotas =
        new SendQuotas(
            new SendQuotas.Dependencies(
                "n1",
                node,
                address -> {},
                gateway.context().clock(),
                (delayMillis, task) ->
                    gateway.loop().schedule(task, delayMillis, TimeUnit.MILLISECONDS),
                process -> true,
                server -> 0,
                limits -> {},
                (kind, subject, detail) -> {}));
    return node.quotas;
  }

  /** The connection to a node that grants each request, after the head of a response. */
  private final class GrantingNode implements PeerTransport {
    private final TestGateway gateway;
    private SendQuotas quotas;

    private GrantingNode(TestGateway gateway) {
      this.gateway = gateway;
    }

    @Override
    public boolean send(String node, PeerFrame.Builder frame) {
      unused.addAndGet(frame.getSendReport().getUnused());
      if (frame.hasSendPermitAsk()) {
        PeerFrame granted =
            PeerFrame.newBuilder()
                .setSendPermitAnswer(
                    SendPermitAnswer.newBuilder()
                        .setId(frame.getSendPermitAsk().getId())
                        .setGranted(true))
                .build();
        asked.countDown();
        sleep(HEAD_MILLIS);
        // The thread reads from connections before it runs timers.
        gateway.loop().schedule(() -> quotas.onFrame(node, granted), 1, TimeUnit.MILLISECONDS);
      }
      return true;
    }

    @Override
    public Set<String> connectedNodes() {
      return Set.of(GRANTING_NODE);
    }
  }

  private static TrafficContext withQuotas(TrafficContext context, SendQuotas quotas) {
    return new TrafficContext(
        context.loop(),
        context.lag(),
        context.clock(),
        context.headers(),
        context.state(),
        context.bodies(),
        context.pools(),
        context.chooser(),
        context.reach(),
        context.listeners(),
        context.peers(),
        context.loads(),
        context.limits(),
        context.leaving(),
        quotas,
        context.retries(),
        context.waitQueue(),
        context.origins(),
        context.crashes(),
        context.allotments(),
        context.arrivals(),
        context.events(),
        context.metrics());
  }

  private static Route route() {
    List<ServiceShare> shares = List.of(new ServiceShare("s", 1));
    return new Route(
        "r", "h", "/p/", RequestKind.IDEMPOTENT, false, 5_000, 100, 5_000, 0, 2, shares);
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
