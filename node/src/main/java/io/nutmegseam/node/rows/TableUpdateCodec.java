package io.nutmegseam.node.rows;

import com.google.protobuf.ByteString;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.node.peer.generated.HeldModel;
import io.nutmegseam.node.peer.generated.ServerAnnouncement;
import io.nutmegseam.node.peer.generated.StoreNews;
import io.nutmegseam.node.peer.generated.StoreRow;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Translates what was read of a table to and from peer messages. */
public final class TableUpdateCodec {
  /** Larger than any row of the store; a longer text is not one of them. */
  private static final int MAX_VALUE_BYTES = 1 << 20;

  private TableUpdateCodec() {}

  /** Returns the message of rows. */
  public static StoreNews encodeRows(String table, TableUpdate<Row> batch) {
    StoreNews.Builder message = head(table, batch);
    for (Row row : batch.items()) {
      message.addRows(
          StoreRow.newBuilder()
              .setKey(row.key())
              .setVersion(row.version())
              .setValue(deflated(row.value())));
    }
    return message.build();
  }

  /** Returns the message of servers' entries; copies of weights at hand are left out. */
  public static StoreNews encodeServers(String table, TableUpdate<ServerEntry> batch) {
    StoreNews.Builder message = head(table, batch);
    batch.items().forEach(entry -> message.addServers(announcement(entry)));
    return message.build();
  }

  /**
   * Returns the rows of a message.
   *
   * @throws IOException if a row's value cannot be read
   */
  public static TableUpdate<Row> decodeRows(StoreNews message) throws IOException {
    List<Row> rows = new ArrayList<>();
    for (StoreRow row : message.getRowsList()) {
      rows.add(new Row(row.getKey(), inflated(row.getValue()), row.getVersion()));
    }
    return batch(message, rows);
  }

  /** Returns the servers' entries of a message. */
  public static TableUpdate<ServerEntry> decodeServers(StoreNews message) {
    return batch(message, message.getServersList().stream().map(TableUpdateCodec::entry).toList());
  }

  /** Returns loaded models as peers write them. */
  public static List<HeldModel> encodeLoadedModels(Map<String, Set<String>> adaptersByModel) {
    List<HeldModel> held = new ArrayList<>();
    adaptersByModel.forEach(
        (model, adapters) ->
            held.add(HeldModel.newBuilder().setModel(model).addAllAdapters(adapters).build()));
    return held;
  }

  /** Returns loaded models, each with its adapters, as peers have written them. */
  public static Map<String, Set<String>> decodeLoadedModels(List<HeldModel> held) {
    Map<String, Set<String>> adapters = new HashMap<>();
    held.forEach(m -> adapters.put(m.getModel(), new HashSet<>(m.getAdaptersList())));
    return adapters;
  }

  private static StoreNews.Builder head(String table, TableUpdate<?> batch) {
    return StoreNews.newBuilder()
        .setTable(table)
        .setAfterVersion(batch.afterVersion())
        .setVersion(batch.version())
        .setWhole(batch.full())
        .setAgeMillis(batch.ageMillis())
        .setUnsettledMillis(batch.unsettledMillis())
        .addAllRemovedKeys(batch.removedKeys());
  }

  private static <T> TableUpdate<T> batch(StoreNews message, List<T> items) {
    return new TableUpdate<>(
        items,
        message.getRemovedKeysList(),
        message.getAfterVersion(),
        message.getVersion(),
        message.getWhole(),
        message.getAgeMillis(),
        message.getUnsettledMillis());
  }

  private static ServerAnnouncement announcement(ServerEntry entry) {
    return ServerAnnouncement.newBuilder()
        .setServer(entry.incarnation().id())
        .setBornMillis(entry.incarnation().bornMillis())
        .setService(entry.service())
        .setHost(entry.host())
        .setPort(entry.port())
        .setDataCentre(entry.dataCentre())
        .setSlots(entry.slots())
        .setDraining(entry.draining())
        .addAllModels(encodeLoadedModels(entry.inventory().adaptersByModel()))
        .build();
  }

  private static ServerEntry entry(ServerAnnouncement message) {
    return new ServerEntry(
        new Incarnation(message.getServer(), message.getBornMillis()),
        message.getService(),
        message.getHost(),
        message.getPort(),
        message.getDataCentre(),
        message.getSlots(),
        message.getDraining(),
        new Inventory(
            Inventory.UNKNOWN_COUNT,
            false,
            decodeLoadedModels(message.getModelsList()),
            Set.of(),
            Set.of()));
  }

  private static ByteString deflated(String text) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DeflaterOutputStream out = new DeflaterOutputStream(bytes)) {
      out.write(text.getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
    return ByteString.copyFrom(bytes.toByteArray());
  }

  private static String inflated(ByteString value) throws IOException {
    try (InflaterInputStream in =
        new InflaterInputStream(new ByteArrayInputStream(value.toByteArray()))) {
      byte[] bytes = in.readNBytes(MAX_VALUE_BYTES + 1);
      if (bytes.length > MAX_VALUE_BYTES) {
        throw new IOException("a row is over " + MAX_VALUE_BYTES + " bytes");
      }
      return new String(bytes, StandardCharsets.UTF_8);
    }
  }
}
