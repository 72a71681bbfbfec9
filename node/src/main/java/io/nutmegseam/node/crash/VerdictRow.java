package io.nutmegseam.node.crash;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.nutmegseam.core.crash.CrashVerdict;
import io.nutmegseam.core.crash.Fingerprint;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The row of the project's own table that holds the verdicts, as JSON. */
final class VerdictRow {
  /** Key of the row. */
  static final String KEY = "crash-verdicts";

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int HEX = 16;

  private VerdictRow() {}

  /** Returns the value of the row with some verdicts. */
  static String encode(Collection<CrashVerdict> verdicts) {
    ObjectNode root = JSON.createObjectNode();
    ArrayNode list = root.putArray("verdicts");
    for (CrashVerdict verdict : verdicts) {
      ObjectNode node =
          list.addObject()
              .put("fingerprint", verdict.fingerprint().toString())
              .put("generation", verdict.generation())
              .put("condemned", verdict.condemned())
              .put("validUntilMillis", verdict.validUntilMillis());
      putTexts(node.putArray("crashedSoftware"), verdict.crashedSoftware());
      putTexts(node.putArray("triedSoftware"), verdict.triedSoftware());
      putTexts(node.putArray("soundSoftware"), verdict.soundSoftware());
    }
    return root.toString();
  }

  /**
   * Returns the verdicts in the value of the row.
   *
   * @throws JsonProcessingException if the value is no JSON
   * @throws NumberFormatException if a fingerprint is not a hexadecimal number
   */
  static List<CrashVerdict> decode(String value) throws JsonProcessingException {
    List<CrashVerdict> verdicts = new ArrayList<>();
    for (JsonNode node : JSON.readTree(value).path("verdicts")) {
      verdicts.add(
          new CrashVerdict(
              new Fingerprint(Long.parseUnsignedLong(node.path("fingerprint").asText(), HEX)),
              node.path("generation").asLong(),
              node.path("condemned").asBoolean(),
              texts(node.path("crashedSoftware")),
              texts(node.path("triedSoftware")),
              texts(node.path("soundSoftware")),
              node.path("validUntilMillis").asLong()));
    }
    return verdicts;
  }

  private static void putTexts(ArrayNode list, Set<String> texts) {
    texts.forEach(list::add);
  }

  private static Set<String> texts(JsonNode list) {
    Set<String> texts = new HashSet<>();
    list.forEach(item -> texts.add(item.asText()));
    return texts;
  }
}
