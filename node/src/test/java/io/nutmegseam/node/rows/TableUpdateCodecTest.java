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
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TableUpdateCodecTest {
  @Test
  void should_round_trip_rows_unchanged() throws IOException {
    // GIVEN
    TableUpdate<Row> update =
        new TableUpdate<>(
            List.of(new Row("config", "{\"version\":7,\"text\":\"ž\"}", 9)),
            List.of("gone"),
            5,
            9,
            false,
            40,
            1_200,
            OptionalLong.of(-3));
    // WHEN
    TableUpdate<Row> decoded =
        TableUpdateCodec.decodeRows(TableUpdateCodec.encodeRows("op", update));
    // THEN
    assertThat(decoded).isEqualTo(update);
  }

  @Test
  void should_round_trip_servers_without_their_copies_of_weights() {
    // GIVEN
    ServerEntry entry =
        new ServerEntry(
            new Incarnation("s1", 12),
            "llm",
            "v1.1",
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
    TableUpdate<ServerEntry> update =
        new TableUpdate<>(List.of(entry), List.of(), -1, 4, true, 0, 0);
    // WHEN
    TableUpdate<ServerEntry> decoded =
        TableUpdateCodec.decodeServers(TableUpdateCodec.encodeServers("servers", update));
    // THEN
    ServerEntry decodedEntry = decoded.items().get(0);
    assertThat(decodedEntry.withInventory(entry.inventory())).isEqualTo(entry);
    assertThat(decodedEntry.inventory().adaptersByModel()).isEqualTo(Map.of("m", Set.of("a1")));
    assertThat(decodedEntry.inventory().onDisk()).isEmpty();
  }

  /** Guards against digests that differ between nodes which know the same of a server. */
  @Test
  void should_not_change_the_hash_of_a_server() {
    // GIVEN
    ServerEntry entry =
        new ServerEntry(
            new Incarnation("s1", 12),
            "llm",
            "v1.1",
            "10.0.0.1",
            80,
            "dc",
            12,
            true,
            new Inventory(
                7, true, Map.of("m", Set.of("a1", "a2"), "n", Set.of()), Set.of("m"), Set.of()));
    TableUpdate<ServerEntry> update =
        new TableUpdate<>(List.of(entry), List.of(), -1, 4, true, 0, 0);
    // WHEN
    ServerEntry decoded =
        TableUpdateCodec.decodeServers(TableUpdateCodec.encodeServers("servers", update))
            .items()
            .get(0);
    // THEN
    assertThat(RowHashes.SERVERS.hash().applyAsLong(decoded))
        .isEqualTo(RowHashes.SERVERS.hash().applyAsLong(entry));
  }

  @Test
  void should_reject_a_value_that_is_not_compressed_text() {
    StoreNews message =
        StoreNews.newBuilder()
            .addRows(StoreRow.newBuilder().setValue(ByteString.copyFromUtf8("no")))
            .build();
    assertThatThrownBy(() -> TableUpdateCodec.decodeRows(message)).isInstanceOf(IOException.class);
  }
}
