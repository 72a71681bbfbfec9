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

/** Reads JSON with comments into located values; collects duplicate keys and syntax faults. */
public final class JsonReader {
  private static final int MAX_DEPTH = 64;
  private static final JsonFactory FACTORY =
      new JsonFactoryBuilder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
          .build();

  private final List<ValidationError> faults;

  private JsonReader(List<ValidationError> faults) {
    this.faults = faults;
  }

  /**
   * Reads one document.
   *
   * @param text the document
   * @param faults receives every syntax fault and duplicate key
   * @return the value, or empty if the syntax is broken
   */
  public static Optional<JsonValue> read(String text, List<ValidationError> faults) {
    JsonReader reader = new JsonReader(faults);
    try (JsonParser parser = FACTORY.createParser(text)) {
      return Optional.of(reader.document(parser));
    } catch (JsonProcessingException e) {
      JsonLocation at = e.getLocation();
      int line = at == null ? 1 : at.getLineNr();
      int column = at == null ? 1 : at.getColumnNr();
      faults.add(new ValidationError(line, column, "syntax: " + e.getOriginalMessage()));
      return Optional.empty();
    } catch (IOException e) {
      faults.add(new ValidationError(1, 1, "unreadable: " + e.getMessage()));
      return Optional.empty();
    }
  }

  private JsonValue document(JsonParser parser) throws IOException {
    if (parser.nextToken() == null) {
      faults.add(new ValidationError(1, 1, "the document is empty"));
      return new JsonValue(null, 1, 1);
    }
    JsonValue value = value(parser);
    if (parser.nextToken() != null) {
      JsonLocation at = parser.currentTokenLocation();
      faults.add(
          new ValidationError(
              at.getLineNr(), at.getColumnNr(), "text after the end of the document"));
    }
    return value;
  }

  private JsonValue value(JsonParser parser) throws IOException {
    JsonLocation at = parser.currentTokenLocation();
    return new JsonValue(content(parser), at.getLineNr(), at.getColumnNr());
  }

  private Object content(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> object(parser);
      case START_ARRAY -> array(parser);
      case VALUE_STRING -> parser.getText();
      case VALUE_NUMBER_INT -> integer(parser);
      case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      default -> null;
    };
  }

  private static Object integer(JsonParser parser) throws IOException {
    boolean fits = parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER;
    return fits ? (Object) parser.getLongValue() : (Object) parser.getDoubleValue();
  }

  private Map<String, JsonValue> object(JsonParser parser) throws IOException {
    Map<String, JsonValue> fields = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String key = parser.currentName();
      JsonLocation at = parser.currentTokenLocation();
      parser.nextToken();
      JsonValue value = value(parser);
      if (fields.putIfAbsent(key, value) != null) {
        faults.add(
            new ValidationError(at.getLineNr(), at.getColumnNr(), "duplicate key \"" + key + "\""));
      }
    }
    return Collections.unmodifiableMap(fields);
  }

  private List<JsonValue> array(JsonParser parser) throws IOException {
    List<JsonValue> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(value(parser));
    }
    return Collections.unmodifiableList(items);
  }
}
