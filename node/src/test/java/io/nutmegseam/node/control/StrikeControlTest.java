package io.nutmegseam.node.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.PeerFrame;
import java.time.Clock;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against strikes that stay with requests which only ran beside crashes. */
class StrikeControlTest {
  private final StrikeControl other =
      new StrikeControl(new NoPeers(), (kind, subject, detail) -> {}, Clock.systemUTC());
  private final StrikeControl control =
      new StrikeControl(new OnePeer(), (kind, subject, detail) -> {}, Clock.systemUTC());

  @Nested
  class Peers {
    @Test
    void should_share_strikes_and_take_them_back_after_a_run_that_succeeds() {
      // GIVEN
      control.addStrike("f", "s@1");
      control.addStrike("f", "s@2");
      assertThat(control.strikeCount("f")).isEqualTo(2);
      assertThat(other.strikeCount("f")).isEqualTo(2);
      // WHEN
      control.onSucceeded("f");
      // THEN
      assertThat(control.strikeCount("f")).isZero();
      assertThat(other.strikeCount("f")).isZero();
    }

    @Test
    void should_keep_the_strikes_of_other_requests() {
      control.addStrike("f", "s@1");
      control.addStrike("g", "s@1");
      control.onSucceeded("g");
      assertThat(other.strikeCount("f")).isEqualTo(1);
      assertThat(other.strikeCount("g")).isZero();
    }
  }

  private final class OnePeer implements PeerTransport {
    @Override
    public boolean send(String node, PeerFrame.Builder frame) {
      other.onNews(frame.build().getCrashNews());
      return true;
    }

    @Override
    public Set<String> connectedNodes() {
      return Set.of("other");
    }
  }

  private static final class NoPeers implements PeerTransport {
    @Override
    public boolean send(String node, PeerFrame.Builder frame) {
      return false;
    }

    @Override
    public Set<String> connectedNodes() {
      return Set.of();
    }
  }
}
