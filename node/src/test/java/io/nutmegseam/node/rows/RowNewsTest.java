package io.nutmegseam.node.rows;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.node.peer.generated.StoreNews;
import io.nutmegseam.node.peer.generated.StoreRow;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RowNewsTest {
  @Test
  void should_bring_rows_over_unchanged() throws IOException {
    // GIVEN
    RowBatch<Row> batch =
        new RowBatch<>(
            List.of(new Row("config", "{\"version\":7,\"text\":\"ž\"}", 9)),
            List.of("gone"),
            5,
            9,
            false,
            40,
            1_200);
    // WHEN
    RowBatch<Row> read = RowNews.rows(RowNews.ofRows("op", batch));
    // THEN
    assertThat(read).isEqualTo(batch);
  }

  @Test
  void should_bring_servers_over_without_their_copies_of_weights() {
    // GIVEN
    ServerEntry entry =
        new ServerEntry(
            new Incarnation("s1", 12),
            "llm",
            "10.0.0.1",
            80,
            "dc",
            12,
            true,
            new Inventory(
                Inventory.UNKNOWN_ORDER_COUNT,
                false,
                Map.of("m", Set.of("a1")),
                Set.of("m"),
                Set.of("m", "n")));
    RowBatch<ServerEntry> batch = new RowBatch<>(List.of(entry), List.of(), -1, 4, true, 0, 0);
    // WHEN
    RowBatch<ServerEntry> read = RowNews.servers(RowNews.ofServers("servers", batch));
    // THEN
    ServerEntry other = read.items().get(0);
    assertThat(other.withInventory(entry.inventory())).isEqualTo(entry);
    assertThat(other.inventory().adaptersByModel()).isEqualTo(Map.of("m", Set.of("a1")));
    assertThat(other.inventory().onDisk()).isEmpty();
  }

  @Test
  void should_refuse_a_value_that_is_not_compressed_text() {
    StoreNews message =
        StoreNews.newBuilder()
            .addRows(StoreRow.newBuilder().setValue(ByteString.copyFromUtf8("no")))
            .build();
    assertThatThrownBy(() -> RowNews.rows(message)).isInstanceOf(IOException.class);
  }
}
