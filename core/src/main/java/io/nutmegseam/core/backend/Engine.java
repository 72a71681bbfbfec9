package io.nutmegseam.core.backend;

/** Control calls of a model engine. Calls block until a response or a timeout. */
public interface Engine {
  /**
   * Reads which models and adapters are in the engine's memory.
   *
   * @throws BackendException if there is no usable response
   */
  Inventory inventory() throws BackendException;

  /**
   * Registers a fencing number with the engine, which refuses orders with a lower one from then on.
   *
   * @param epoch the fencing number
   * @throws BackendException if the engine has seen a higher one or sends no usable response
   */
  void claim(long epoch) throws BackendException;

  /**
   * Orders a load. Returns once the order is accepted; the inventory shows when the load is done.
   *
   * @param order the order
   * @throws BackendException if the order is refused or its outcome is unknown
   */
  void load(Order order) throws BackendException;

  /**
   * Orders an unload. The engine accepts no new request for the unit and finishes those in flight.
   *
   * @param order the order
   * @throws BackendException if the order is refused or its outcome is unknown
   */
  void unload(Order order) throws BackendException;

  /**
   * Reads the engine's report of its current requests.
   *
   * @throws BackendException if there is no usable response
   */
  LoadReport loadReport() throws BackendException;
}
