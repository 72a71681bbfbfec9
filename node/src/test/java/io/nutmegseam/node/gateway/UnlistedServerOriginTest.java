package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.fleet.StreamOrigin;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A node that the store turns away goes on using the last server of the older version, which the
 * other nodes have seen leave. Guards against streams that another node takes for streams of the
 * newer version.
 */
class UnlistedServerOriginTest {
  private static final StreamOrigin OLDER = new StreamOrigin("llm", "v1");
  private static final StreamOrigin NEWER = new StreamOrigin("llm", "v1.1");
  private static final long OBSERVED_MILLIS = 20_000;
  private static final long SHARED_MILLIS = 60;
  private static final long MAX_AGE_MILLIS = 3_000;

  /** Longest time that a request may wait for the origin. */
  private static final long FOUND_MILLIS = 200;

  private static final long SINCE_LEFT_MILLIS = 5_000;

  /** Longer than a server serves after its entry was removed. */
  private static final long LONG_SINCE_LEFT_MILLIS = 70_000;

  private final OriginNetwork nodes = new OriginNetwork();

  @BeforeEach
  void observe() {
    List.of("dc-a", "dc-b", "dc-c", "dc-d").forEach(name -> nodes.addNodes(name, 1));
    nodes.observe(nodes.liveNodes(""), OBSERVED_MILLIS, "v1", "v1.1");
  }

  @Test
  void should_know_the_origin_at_nodes_that_were_not_told() {
    // GIVEN
    nodes.observe(nodesBut("dc-a-0"), SINCE_LEFT_MILLIS, "v1.1");
    nodes.begin("dc-a-0", "r", OLDER);
    nodes.advance(SHARED_MILLIS);
    // WHEN
    nodes.kill("dc-a-0");
    // THEN
    for (String node : nodes.liveNodes("")) {
      assertThat(found(node)).as(node).isEqualTo(OLDER);
    }
  }

  /** The node is killed before it has told anybody where the stream began. */
  @Test
  void should_not_derive_the_origin_from_the_only_version_that_is_left() {
    // GIVEN
    nodes.observe(nodesBut("dc-a-0"), SINCE_LEFT_MILLIS, "v1.1");
    nodes.begin("dc-a-0", "r", OLDER);
    // WHEN
    nodes.kill("dc-a-0");
    // THEN
    for (String node : nodes.liveNodes("")) {
      assertThat(found(node)).as(node).isNull();
    }
  }

  @Test
  void should_share_origins_as_long_as_other_nodes_do_not_derive_them() {
    // GIVEN
    nodes.observe(nodes.liveNodes(""), SINCE_LEFT_MILLIS, "v1.1");
    nodes.begin("dc-a-0", "r", NEWER);
    nodes.advance(SHARED_MILLIS);
    // WHEN
    nodes.kill("dc-a-0");
    // THEN
    assertThat(found("dc-b-0")).isEqualTo(NEWER);
  }

  @Test
  void should_derive_the_origin_once_no_server_of_the_older_version_can_serve() {
    // GIVEN
    nodes.observe(nodes.liveNodes(""), LONG_SINCE_LEFT_MILLIS, "v1.1");
    nodes.begin("dc-a-0", "r", NEWER);
    // WHEN
    nodes.kill("dc-a-0");
    // THEN
    assertThat(found("dc-b-0")).isEqualTo(NEWER);
  }

  private List<String> nodesBut(String node) {
    return nodes.liveNodes("").stream().filter(name -> !name.equals(node)).toList();
  }

  /** Returns the origin that a node finds in time, or null if it is not known. */
  private StreamOrigin found(String node) {
    List<StreamOrigins.Finding> findings = nodes.find(node, "r", MAX_AGE_MILLIS);
    nodes.advance(FOUND_MILLIS);
    assertThat(findings).hasSize(1);
    return findings.get(0).origin().orElse(null);
  }
}
