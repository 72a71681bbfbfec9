package io.nutmegseam.core.json;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The fields of a validated object. Each getter expects a field of the type in the schema. */
public final class TypedObject {
  private final Map<String, Object> fields;

  /** Returns an object without fields. */
  public static TypedObject empty() {
    return new TypedObject(Map.of());
  }

  TypedObject(Map<String, Object> fields) {
    this.fields = fields;
  }

  /** Returns the value of a text field. */
  public String text(String name) {
    return (String) fields.get(name);
  }

  /** Returns the value of an integer field. */
  public long integer(String name) {
    return ((Number) fields.get(name)).longValue();
  }

  /** Returns the value of an integer field that the schema limits to the range of {@code int}. */
  public int smallInteger(String name) {
    return Math.toIntExact(integer(name));
  }

  /** Returns the value of a number field. */
  public double number(String name) {
    return ((Number) fields.get(name)).doubleValue();
  }

  /** Returns the value of a boolean field. */
  public boolean flag(String name) {
    return (Boolean) fields.get(name);
  }

  /** Returns the value of a field that is an array of text. */
  @SuppressWarnings("unchecked")
  public List<String> texts(String name) {
    return List.copyOf((List<String>) fields.get(name));
  }

  /** Returns the value of a field that is an array of objects. */
  @SuppressWarnings("unchecked")
  public List<TypedObject> objects(String name) {
    return List.copyOf((List<TypedObject>) fields.get(name));
  }

  /** Returns a copy in which a field is set to a value. */
  public TypedObject with(String name, Object value) {
    Map<String, Object> copy = new LinkedHashMap<>(fields);
    copy.put(name, value);
    return new TypedObject(copy);
  }

  /**
   * Returns a copy with an additional integer field: an existing field, converted to another unit.
   *
   * @param from name of the existing field
   * @param to name of the additional field
   * @param factor number of units of {@code to} in one unit of {@code from}
   */
  public TypedObject withScaled(String from, String to, long factor) {
    return with(to, Math.multiplyExact(integer(from), factor));
  }
}
