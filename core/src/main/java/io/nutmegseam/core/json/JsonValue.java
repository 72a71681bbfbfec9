package io.nutmegseam.core.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;

/**
 * A JSON value with its position in the document.
 *
 * @param value a {@code Map<String, JsonValue>}, {@code List<JsonValue>}, {@code String}, {@code
 *     Long}, {@code Double}, {@code Boolean} or null
 * @param line line of the value, from 1
 * @param column column of the value, from 1
 */
public record JsonValue(Object value, int line, int column) {
  /** Returns whether the value is an object. */
  public boolean isObject() {
    return value instanceof Map;
  }

  /** Returns whether the value is an array. */
  public boolean isArray() {
    return value instanceof List;
  }

  /** Returns the fields of this object, in document order. */
  @SuppressWarnings("unchecked")
  public Map<String, JsonValue> fields() {
    return (Map<String, JsonValue>) value;
  }

  /** Returns the items of this array. */
  @SuppressWarnings("unchecked")
  public List<JsonValue> items() {
    return (List<JsonValue>) value;
  }

  /** Returns the name of the value's JSON type, such as {@code string}. */
  public String typeName() {
    if (value == null) {
      return "null";
    }
    if (isObject()) {
      return "object";
    }
    if (isArray()) {
      return "array";
    }
    if (value instanceof String) {
      return "string";
    }
    return value instanceof Boolean ? "boolean" : "number";
  }

  /** Returns the value as JSON text without comments. */
  public String toJson() {
    return toNode().toString();
  }

  private JsonNode toNode() {
    if (isObject()) {
      ObjectNode object = JsonNodeFactory.instance.objectNode();
      fields().forEach((key, field) -> object.set(key, field.toNode()));
      return object;
    }
    if (isArray()) {
      ArrayNode array = JsonNodeFactory.instance.arrayNode();
      items().forEach(item -> array.add(item.toNode()));
      return array;
    }
    return JsonNodeFactory.instance.pojoNode(value);
  }
}
