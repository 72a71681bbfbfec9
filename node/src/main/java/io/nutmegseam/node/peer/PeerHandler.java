package io.nutmegseam.node.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.nutmegseam.node.peer.generated.Hello;
import io.nutmegseam.node.peer.generated.PeerFrame;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/** Exchanges hellos with the peer, then forwards the frames of the peer to the network. */
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
      onHello(context, frame.getHello());
    } else if (peer.isEmpty()) {
      network.onRejected(context.channel(), "frame received before the hello");
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

  private void onHello(ChannelHandlerContext context, Hello hello) {
    boolean tokenMatches =
        MessageDigest.isEqual(
            hello.getClusterToken().getBytes(StandardCharsets.UTF_8),
            self.clusterToken().getBytes(StandardCharsets.UTF_8));
    if (!tokenMatches) {
      network.onRejected(context.channel(), "wrong cluster token");
    } else if (hello.getNode().isEmpty() || hello.getNode().equals(self.node())) {
      network.onRejected(context.channel(), "invalid node name \"" + hello.getNode() + "\"");
    } else {
      peer = hello.getNode();
      network.onHandshake(
          new PeerNetwork.Handshake(peer, hello.getIncarnation(), accepted, hello.getDataCentre()),
          context.channel());
    }
  }
}
