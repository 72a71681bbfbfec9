package io.nutmegseam.core.json;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The fields of a checked object. Each getter expects the type that the schema checked. */
public final class TypedObject {
  private final Map<String, Object> fields;

  /** Returns an object without fields. */
  public static TypedObject empty() {
    return new TypedObject(Map.of());
  }

  TypedObject(Map<String, Object> fields) {
    this.fields = fields;
  }

  /** Returns a text field. */
  public String text(String name) {
    return (String) fields.get(name);
  }

  /** Returns a whole number. */
  public long integer(String name) {
    return ((Number) fields.get(name)).longValue();
  }

  /** Returns a whole number that the schema holds within the range of an {@code int}. */
  public int smallInteger(String name) {
    return Math.toIntExact(integer(name));
  }

  /** Returns a number. */
  public double number(String name) {
    return ((Number) fields.get(name)).doubleValue();
  }

  /** Returns a flag. */
  public boolean flag(String name) {
    return (Boolean) fields.get(name);
  }

  /** Returns an array of text. */
  @SuppressWarnings("unchecked")
  public List<String> texts(String name) {
    return List.copyOf((List<String>) fields.get(name));
  }

  /** Returns an array of objects. */
  @SuppressWarnings("unchecked")
  public List<TypedObject> objects(String name) {
    return List.copyOf((List<TypedObject>) fields.get(name));
  }

  /** Returns a copy with one field set. */
  public TypedObject with(String name, Object value) {
    Map<String, Object> copy = new LinkedHashMap<>(fields);
    copy.put(name, value);
    return new TypedObject(copy);
  }

  /**
   * Returns a copy in which one whole number has another name and unit.
   *
   * @param from the old name
   * @param to the new name
   * @param factor number of new units in one old unit
   */
  public TypedObject withScaled(String from, String to, long factor) {
    return with(to, Math.multiplyExact(integer(from), factor));
  }
}
