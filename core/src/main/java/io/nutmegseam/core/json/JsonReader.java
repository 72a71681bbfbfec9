package io.nutmegseam.core.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Parses JSON with comments into values with positions; reports syntax errors and duplicates. */
public final class JsonReader {
  private static final int MAX_DEPTH = 64;
  private static final JsonFactory FACTORY =
      new JsonFactoryBuilder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
          .build();

  private final List<ValidationError> errors;

  private JsonReader(List<ValidationError> errors) {
    this.errors = errors;
  }

  /**
   * Parses a document.
   *
   * @param text the document
   * @param errors receives syntax errors and duplicate keys
   * @return the value, or empty if the document is not valid JSON
   */
  public static Optional<JsonValue> read(String text, List<ValidationError> errors) {
    JsonReader reader = new JsonReader(errors);
    try (JsonParser parser = FACTORY.createParser(text)) {
      return Optional.of(reader.readDocument(parser));
    } catch (JsonProcessingException e) {
      JsonLocation location = e.getLocation();
      int line = location == null ? 1 : location.getLineNr();
      int column = location == null ? 1 : location.getColumnNr();
      errors.add(new ValidationError(line, column, "syntax: " + e.getOriginalMessage()));
      return Optional.empty();
    } catch (IOException e) {
      errors.add(new ValidationError(1, 1, "unreadable: " + e.getMessage()));
      return Optional.empty();
    }
  }

  private JsonValue readDocument(JsonParser parser) throws IOException {
    if (parser.nextToken() == null) {
      errors.add(new ValidationError(1, 1, "the document is empty"));
      return new JsonValue(null, 1, 1);
    }
    JsonValue value = readValue(parser);
    if (parser.nextToken() != null) {
      JsonLocation location = parser.currentTokenLocation();
      errors.add(
          new ValidationError(
              location.getLineNr(), location.getColumnNr(), "text after the end of the document"));
    }
    return value;
  }

  private JsonValue readValue(JsonParser parser) throws IOException {
    JsonLocation location = parser.currentTokenLocation();
    return new JsonValue(readContent(parser), location.getLineNr(), location.getColumnNr());
  }

  private Object readContent(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> readObject(parser);
      case START_ARRAY -> readArray(parser);
      case VALUE_STRING -> parser.getText();
      case VALUE_NUMBER_INT -> readInteger(parser);
      case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      default -> null;
    };
  }

  private static Object readInteger(JsonParser parser) throws IOException {
    boolean fits = parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER;
    return fits ? (Object) parser.getLongValue() : (Object) parser.getDoubleValue();
  }

  private Map<String, JsonValue> readObject(JsonParser parser) throws IOException {
    Map<String, JsonValue> fields = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String key = parser.currentName();
      JsonLocation location = parser.currentTokenLocation();
      parser.nextToken();
      JsonValue value = readValue(parser);
      if (fields.putIfAbsent(key, value) != null) {
        errors.add(
            new ValidationError(
                location.getLineNr(), location.getColumnNr(), "duplicate key \"" + key + "\""));
      }
    }
    return Collections.unmodifiableMap(fields);
  }

  private List<JsonValue> readArray(JsonParser parser) throws IOException {
    List<JsonValue> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(readValue(parser));
    }
    return Collections.unmodifiableList(items);
  }
}
