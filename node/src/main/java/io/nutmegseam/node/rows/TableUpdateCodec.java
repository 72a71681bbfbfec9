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
import java.util.OptionalLong;
import java.util.Set;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Converts table updates to and from peer messages. */
public final class TableUpdateCodec {
  /** Limit of a decompressed value; larger than any row of the store. */
  private static final int MAX_VALUE_BYTES = 1 << 20;

  private TableUpdateCodec() {}

  /** Encodes an update of rows. */
  public static StoreNews encodeRows(String table, TableUpdate<Row> update) {
    StoreNews.Builder message = header(table, update);
    for (Row row : update.items()) {
      message.addRows(
          StoreRow.newBuilder()
              .setKey(row.key())
              .setVersion(row.version())
              .setValue(compress(row.value())));
    }
    return message.build();
  }

  /** Encodes an update of server entries, without the copies of weights in memory and on disk. */
  public static StoreNews encodeServers(String table, TableUpdate<ServerEntry> update) {
    StoreNews.Builder message = header(table, update);
    update.items().forEach(entry -> message.addServers(encodeServer(entry)));
    return message.build();
  }

  /**
   * Decodes an update of rows.
   *
   * @throws IOException if a value cannot be decompressed or is too large
   */
  public static TableUpdate<Row> decodeRows(StoreNews message) throws IOException {
    List<Row> rows = new ArrayList<>();
    for (StoreRow row : message.getRowsList()) {
      rows.add(new Row(row.getKey(), decompress(row.getValue()), row.getVersion()));
    }
    return decode(message, rows);
  }

  /** Decodes an update of server entries. */
  public static TableUpdate<ServerEntry> decodeServers(StoreNews message) {
    return decode(
        message, message.getServersList().stream().map(TableUpdateCodec::decodeServer).toList());
  }

  /** Encodes the loaded models, each with its loaded adapters. */
  public static List<HeldModel> encodeLoadedModels(Map<String, Set<String>> adaptersByModel) {
    List<HeldModel> messages = new ArrayList<>();
    adaptersByModel.forEach(
        (model, adapters) ->
            messages.add(HeldModel.newBuilder().setModel(model).addAllAdapters(adapters).build()));
    return messages;
  }

  /** Decodes the loaded models, each with its loaded adapters. */
  public static Map<String, Set<String>> decodeLoadedModels(List<HeldModel> messages) {
    Map<String, Set<String>> adaptersByModel = new HashMap<>();
    messages.forEach(m -> adaptersByModel.put(m.getModel(), new HashSet<>(m.getAdaptersList())));
    return adaptersByModel;
  }

  private static StoreNews.Builder header(String table, TableUpdate<?> update) {
    StoreNews.Builder message =
        StoreNews.newBuilder()
            .setTable(table)
            .setAfterVersion(update.afterVersion())
            .setVersion(update.version())
            .setWhole(update.full())
            .setAgeMillis(update.ageMillis())
            .setUnsettledMillis(update.unsettledMillis())
            .addAllRemovedKeys(update.removedKeys());
    update.digest().ifPresent(message::setDigest);
    return message;
  }

  private static <T> TableUpdate<T> decode(StoreNews message, List<T> items) {
    return new TableUpdate<>(
        items,
        message.getRemovedKeysList(),
        message.getAfterVersion(),
        message.getVersion(),
        message.getWhole(),
        message.getAgeMillis(),
        message.getUnsettledMillis(),
        message.hasDigest() ? OptionalLong.of(message.getDigest()) : OptionalLong.empty());
  }

  private static ServerAnnouncement encodeServer(ServerEntry entry) {
    return ServerAnnouncement.newBuilder()
        .setServer(entry.incarnation().id())
        .setBornMillis(entry.incarnation().startedAtMillis())
        .setService(entry.service())
        .setSoftwareVersion(entry.softwareVersion())
        .setHost(entry.host())
        .setPort(entry.port())
        .setDataCentre(entry.dataCentre())
        .setSlots(entry.slots())
        .setDraining(entry.draining())
        .addAllModels(encodeLoadedModels(entry.inventory().adaptersByModel()))
        .build();
  }

  private static ServerEntry decodeServer(ServerAnnouncement message) {
    return new ServerEntry(
        new Incarnation(message.getServer(), message.getBornMillis()),
        message.getService(),
        message.getSoftwareVersion(),
        message.getHost(),
        message.getPort(),
        message.getDataCentre(),
        message.getSlots(),
        message.getDraining(),
        new Inventory(
            Inventory.UNKNOWN_ORDER_COUNT,
            false,
            decodeLoadedModels(message.getModelsList()),
            Set.of(),
            Set.of()));
  }

  private static ByteString compress(String text) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DeflaterOutputStream out = new DeflaterOutputStream(bytes)) {
      out.write(text.getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new IllegalStateException("cannot compress a value in memory", e);
    }
    return ByteString.copyFrom(bytes.toByteArray());
  }

  private static String decompress(ByteString value) throws IOException {
    try (InflaterInputStream in =
        new InflaterInputStream(new ByteArrayInputStream(value.toByteArray()))) {
      byte[] bytes = in.readNBytes(MAX_VALUE_BYTES + 1);
      if (bytes.length > MAX_VALUE_BYTES) {
        throw new IOException("decompressed value of a row exceeds " + MAX_VALUE_BYTES + " bytes");
      }
      return new String(bytes, StandardCharsets.UTF_8);
    }
  }
}
