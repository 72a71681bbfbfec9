package io.nutmegseam.node.rows;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.platform.Row;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Hashes of what nodes forward of rows. They are the same on all nodes and builds. */
final class RowHashes {
  /** Rows as they are; a version has one value. */
  static final TableContents.Hashing<Row> ROWS =
      new TableContents.Hashing<>(
          Row::key, row -> hash(List.of(row.key(), String.valueOf(row.version()))));

  /** Entries of servers without their copies of weights and counts of orders. */
  static final TableContents.Hashing<ServerEntry> SERVERS =
      new TableContents.Hashing<>(entry -> entry.incarnation().id(), RowHashes::hashServer);

  private RowHashes() {}

  private static long hashServer(ServerEntry entry) {
    Map<String, Set<String>> adaptersByModel = new TreeMap<>();
    entry
        .inventory()
        .adaptersByModel()
        .forEach((model, adapters) -> adaptersByModel.put(model, new TreeSet<>(adapters)));
    return hash(
        List.of(
            entry.incarnation().id(),
            String.valueOf(entry.incarnation().startedAtMillis()),
            entry.service(),
            entry.softwareVersion(),
            entry.host(),
            String.valueOf(entry.port()),
            entry.dataCentre(),
            String.valueOf(entry.slots()),
            String.valueOf(entry.draining()),
            adaptersByModel.toString()));
  }

  private static long hash(List<String> parts) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      for (String part : parts) {
        byte[] bytes = part.getBytes(UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, bytes.length));
        digest.update(bytes);
      }
      return ByteBuffer.wrap(digest.digest()).getLong();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
