package io.nutmegseam.node.rows;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.node.settings.HostPort;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class NodeDirectoryTest {
  private final List<EventKind> events = new ArrayList<>();
  private final NodeDirectory directory = directory("n5", "dc-a", 0.5);

  @Nested
  class Rank {
    @Test
    void should_follow_the_nodes_of_its_data_centre_that_have_more_power() {
      // GIVEN
      directory.onRow(row("weak", "dc-a", 0.2));
      directory.onRow(row("strong", "dc-a", 2));
      directory.onRow(row("middle", "dc-a", 1));
      directory.onRow(row("elsewhere", "dc-b", 3));
      // WHEN
      List<NodeRecord> followed = directory.followedNodes();
      // THEN
      assertThat(followed).extracting(NodeRecord::node).containsExactly("strong", "middle");
      assertThat(directory.rankInDataCentre()).isEqualTo(2);
      assertThat(directory.strongerNodeCount()).isEqualTo(3);
    }

    @Test
    void should_rank_nodes_of_equal_power_by_name_so_that_all_agree() {
      directory.onRow(row("n1", "dc-a", 0.5));
      directory.onRow(row("n9", "dc-a", 0.5));
      assertThat(directory.isFollowed("n1")).isTrue();
      assertThat(directory.isFollowed("n9")).isFalse();
    }

    /** Guards against more connections as the data centre grows; uses the target size. */
    @Test
    void should_follow_only_a_few_nodes_in_a_large_data_centre() {
      for (int i = 0; i < 100; i++) {
        directory.onRow(row("big" + i, "dc-a", 1 + i));
      }
      assertThat(directory.followedNodes()).hasSize(4);
      assertThat(directory.followedNodes().get(0).node()).isEqualTo("big99");
    }
  }

  /** Nodes that keep the origins of streams, at the target size of 18 data centres of 20 nodes. */
  @Nested
  class OriginKeepers {
    private static final int DATA_CENTRES = 18;
    private static final int NODES = 20;

    @Test
    void should_be_a_few_nodes_of_the_data_centre_and_of_two_others() {
      // GIVEN
      NodeDirectory here = directory("dc00-n00", "dc00", 1);
      // WHEN
      addAllNodes(here);
      // THEN
      assertThat(here.originKeepers()).hasSize(8);
      assertThat(here.originKeepers()).allMatch(record -> record.dataCentre().equals("dc00"));
      assertThat(here.remoteOriginKeepers())
          .extracting(NodeRecord::dataCentre)
          .containsExactly("dc01", "dc02");
    }

    /** The nodes at which a caller resumes a stream must ask those that keep its origin. */
    @Test
    void should_be_the_same_for_all_nodes_of_a_data_centre() {
      // GIVEN
      NodeDirectory one = directory("dc00-n18", "dc00", 1);
      NodeDirectory other = directory("dc00-n19", "dc00", 1);
      // WHEN
      addAllNodes(one);
      addAllNodes(other);
      // THEN
      assertThat(one.originKeepers()).hasSameElementsAs(other.originKeepers());
      assertThat(one.originKeepers()).isNotEqualTo(other.originKeepers());
    }

    @Test
    void should_be_none_for_a_single_node() {
      assertThat(directory.originKeepers()).isEmpty();
      assertThat(directory.remoteOriginKeepers()).isEmpty();
    }

    private void addAllNodes(NodeDirectory to) {
      for (int i = 0; i < DATA_CENTRES * NODES; i++) {
        String dataCentre = "dc%02d".formatted(i / NODES);
        to.onRow(row("%s-n%02d".formatted(dataCentre, i % NODES), dataCentre, 1));
      }
    }
  }

  /** The store returns from an older copy, which lacks rows that were written since. */
  @Nested
  class RestoredTable {
    @Test
    void should_have_its_own_row_written_again_if_the_table_lacks_it() {
      // GIVEN
      directory.onRow(new Row(directory.ownKey(), directory.ownValue(), 3));
      // WHEN
      directory.onFullTable(List.of(row("strong", "dc-a", 2)));
      // THEN
      assertThat(directory.isOwnRowCurrent()).isFalse();
      assertThat(directory.ownRow()).isEmpty();
    }

    @Test
    void should_keep_other_nodes_that_the_table_lacks() {
      directory.onRow(row("strong", "dc-a", 2));
      directory.onFullTable(List.of());
      assertThat(directory.isFollowed("strong")).isTrue();
    }
  }

  @Nested
  class Rows {
    @Test
    void should_report_whether_its_own_row_is_current() {
      // GIVEN
      assertThat(directory.isOwnRowCurrent()).isFalse();
      // WHEN
      directory.onRow(new Row(directory.ownKey(), directory.ownValue(), 3));
      // THEN
      assertThat(directory.isOwnRowCurrent()).isTrue();
      assertThat(directory.ownRow().orElseThrow().version()).isEqualTo(3);
    }

    @Test
    void should_report_its_own_row_as_not_current_after_the_removal() {
      directory.onRow(new Row(directory.ownKey(), directory.ownValue(), 3));
      directory.onRowRemoved(directory.ownKey());
      assertThat(directory.isOwnRowCurrent()).isFalse();
    }

    @Test
    void should_drop_a_node_whose_row_is_removed() {
      directory.onRow(row("strong", "dc-a", 2));
      directory.onRowRemoved("node/strong");
      assertThat(directory.followedNodes()).isEmpty();
    }

    @Test
    void should_log_an_unreadable_row_and_keep_the_others() {
      directory.onRow(row("strong", "dc-a", 2));
      directory.onRow(new Row("node/torn", "{\"peerAddr", 4));
      directory.onRow(new Row("node/wrong", "{\"peerAddress\":\"nowhere\"}", 5));
      assertThat(directory.followedNodes()).extracting(NodeRecord::node).containsExactly("strong");
      assertThat(events).containsExactly(EventKind.NODE_UNREADABLE, EventKind.NODE_UNREADABLE);
    }
  }

  private NodeDirectory directory(String node, String dataCentre, double power) {
    return new NodeDirectory(
        new NodeRecord(node, dataCentre, new HostPort("127.0.0.1", 7_000), power),
        (kind, subject, detail) -> events.add(kind));
  }

  private Row row(String node, String dataCentre, double power) {
    NodeDirectory other = directory(node, dataCentre, power);
    return new Row(other.ownKey(), other.ownValue(), 1);
  }
}
