package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.platform.Row;

/**
 * Tables of the platform that the gateway reads, with decoders of their rows.
 *
 * @param configTable name of the table with the configuration
 * @param configKey key of the row that holds the configuration
 * @param serverTable name of the table in which each server announces itself under its id
 * @param config decodes a configuration
 * @param server decodes the entry of a server
 */
public record RowDecoders(
    String configTable,
    String configKey,
    String serverTable,
    Decoder<GatewayConfig> config,
    Decoder<ServerEntry> server) {
  /** Decodes rows of one table. */
  @FunctionalInterface
  public interface Decoder<T> {
    /**
     * Decodes a row.
     *
     * @throws DecodeException if the row is malformed
     */
    T decode(Row row) throws DecodeException;
  }

  /** Thrown if a row is malformed. */
  public static final class DecodeException extends Exception {
    /**
     * Creates the exception.
     *
     * @param message what is wrong, with the actual value
     */
    public DecodeException(String message) {
      super(message);
    }
  }
}
