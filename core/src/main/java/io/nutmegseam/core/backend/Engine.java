package io.nutmegseam.core.backend;

/** Control calls of a model engine. Calls block until an answer or a timeout. */
public interface Engine {
  /**
   * Reads what is in memory.
   *
   * @throws BackendException if there is no usable answer
   */
  Inventory inventory() throws BackendException;

  /**
   * Makes a fencing number known; orders with a lower one are refused from then on.
   *
   * @param epoch the fencing number
   * @throws BackendException if the engine has seen a higher one or gives no usable answer
   */
  void claim(long epoch) throws BackendException;

  /**
   * Orders a load. Returns once the order is accepted; the inventory shows when it is done.
   *
   * @param order the order
   * @throws BackendException if the order is refused or its outcome is unknown
   */
  void load(Order order) throws BackendException;

  /**
   * Orders an unload. The engine takes no new request for the unit and finishes those in flight.
   *
   * @param order the order
   * @throws BackendException if the order is refused or its outcome is unknown
   */
  void unload(Order order) throws BackendException;

  /**
   * Reads the report of load.
   *
   * @throws BackendException if there is no usable answer
   */
  LoadReport loadReport() throws BackendException;
}
