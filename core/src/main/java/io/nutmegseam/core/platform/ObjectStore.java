package io.nutmegseam.core.platform;

import java.util.Optional;

/** The platform's object store. Calls block until a response or a timeout. */
public interface ObjectStore {
  /**
   * Writes an object.
   *
   * @param key key of the object
   * @param body content of the object, as text
   * @throws PlatformException if there is no valid response
   */
  void put(String key, String body) throws PlatformException;

  /**
   * Reads an object.
   *
   * @param key key of the object
   * @return content of the object, or empty if the object does not exist
   * @throws PlatformException if there is no valid response
   */
  Optional<String> get(String key) throws PlatformException;
}
