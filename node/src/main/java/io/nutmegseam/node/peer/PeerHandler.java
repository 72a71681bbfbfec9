package io.nutmegseam.node.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.nutmegseam.node.peer.generated.Hello;
import io.nutmegseam.node.peer.generated.PeerFrame;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/** Greets the peer, checks its greeting, then passes its frames on. */
final class PeerHandler extends SimpleChannelInboundHandler<PeerFrame> {
  private final PeerNetwork network;
  private final PeerIdentity self;
  private final boolean accepted;
  private String peer = "";

  PeerHandler(PeerNetwork network, PeerIdentity self, boolean accepted) {
    this.network = network;
    this.self = self;
    this.accepted = accepted;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    Hello hello =
        Hello.newBuilder()
            .setNode(self.node())
            .setIncarnation(self.incarnation())
            .setDataCentre(self.dataCentre())
            .setClusterToken(self.clusterToken())
            .build();
    network.write(context.channel(), PeerFrame.newBuilder().setHello(hello));
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
    if (frame.hasHello()) {
      greet(context, frame.getHello());
    } else if (peer.isEmpty()) {
      network.onRejected(context.channel(), "frame before the greeting");
    } else {
      network.onFrame(peer, frame);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (!peer.isEmpty()) {
      network.onClosed(peer, context.channel());
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    network.onRejected(context.channel(), cause.toString());
  }

  private void greet(ChannelHandlerContext context, Hello hello) {
    boolean rightToken =
        MessageDigest.isEqual(
            hello.getClusterToken().getBytes(StandardCharsets.UTF_8),
            self.clusterToken().getBytes(StandardCharsets.UTF_8));
    if (!rightToken) {
      network.onRejected(context.channel(), "wrong cluster token");
    } else if (hello.getNode().isEmpty() || hello.getNode().equals(self.node())) {
      network.onRejected(context.channel(), "unusable name \"" + hello.getNode() + "\"");
    } else {
      peer = hello.getNode();
      network.onHandshake(
          new PeerNetwork.Handshake(peer, hello.getIncarnation(), accepted), context.channel());
    }
  }
}
