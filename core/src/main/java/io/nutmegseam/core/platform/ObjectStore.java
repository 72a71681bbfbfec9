package io.nutmegseam.core.platform;

import java.util.Optional;

/** The platform's object store. Calls block until an answer or a timeout. */
public interface ObjectStore {
  /**
   * Writes an object.
   *
   * @param key the object's key
   * @param body the object's text
   * @throws PlatformException if there is no usable answer
   */
  void put(String key, String body) throws PlatformException;

  /**
   * Reads an object.
   *
   * @param key the object's key
   * @return the object's text, or empty if it is not there
   * @throws PlatformException if there is no usable answer
   */
  Optional<String> get(String key) throws PlatformException;
}
