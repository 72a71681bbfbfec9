package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.platform.Row;

/**
 * How the platform writes what the gateway reads.
 *
 * @param configTable table of the configuration
 * @param configKey key of the row that holds the configuration
 * @param serverTable table in which servers announce themselves, by id
 * @param config reads a configuration
 * @param server reads a server's entry
 */
public record RowDecoders(
    String configTable,
    String configKey,
    String serverTable,
    Decoder<GatewayConfig> config,
    Decoder<ServerEntry> server) {
  /** Reads the value of a row. */
  @FunctionalInterface
  public interface Decoder<T> {
    /**
     * Reads a row.
     *
     * @throws DecodeException if the row cannot be read
     */
    T decode(Row row) throws DecodeException;
  }

  /** A row cannot be read. */
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
