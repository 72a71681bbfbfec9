package io.nutmegseam.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.config.RecordKind;
import io.nutmegseam.core.config.RecordSchemas;
import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.json.FieldSpec;
import io.nutmegseam.core.json.ObjectSchema;
import io.nutmegseam.node.gateway.GatewaySettings;
import io.nutmegseam.node.settings.SettingsSchema;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Checks that generated pages match the code; {@code -Ddocs.write=true} rewrites the pages. */
class DocsTest {
  private static final Path ROOT = Path.of(System.getProperty("repository.root"));

  @Nested
  class Pages {
    @Test
    void should_list_every_event() throws IOException {
      // GIVEN
      StringBuilder page = new StringBuilder("# Events\n\nEvery numbered event of the log.\n\n");
      page.append("| number | name | meaning |\n| --- | --- | --- |\n");
      for (EventKind kind : EventKind.values()) {
        page.append("| %d | `%s` | %s |\n".formatted(kind.number(), kind, docComment(kind)));
      }
      // WHEN
      String storedPage = readPage("EVENTS.md", page.toString());
      // THEN
      assertThat(storedPage).isEqualTo(page.toString());
    }

    @Test
    void should_list_every_error_kind_with_its_response() throws IOException {
      // GIVEN
      StringBuilder page = new StringBuilder("# Errors\n\n");
      page.append("`ran` is `no` only if the request certainly did not run.\n\n");
      page.append("| kind | HTTP status | ran | retry | meaning |\n");
      page.append("| --- | --- | --- | --- | --- |\n");
      for (ErrorKind kind : ErrorKind.values()) {
        page.append(
            "| `%s` | %d | %s | %s | %s |\n"
                .formatted(
                    kind.wireName(),
                    kind.httpStatus(),
                    kind.ran().wireName(),
                    kind.retryAdvice().wireName(),
                    docComment(kind)));
      }
      // WHEN
      String storedPage = readPage("ERRORS.md", page.toString());
      // THEN
      assertThat(storedPage).isEqualTo(page.toString());
    }

    @Test
    void should_list_every_setting() throws IOException {
      // GIVEN
      String page =
          "# Settings of a node\n\nJSON with comments.\n\n" + table(SettingsSchema.SCHEMA);
      // WHEN
      String storedPage = readPage("SETTINGS.md", page);
      // THEN
      assertThat(storedPage).isEqualTo(page);
    }

    @Test
    void should_list_every_setting_of_a_gateway_node() throws IOException {
      // GIVEN
      String page =
          "# Settings of a gateway node\n\nJSON with comments.\n\n" + table(GatewaySettings.SCHEMA);
      // WHEN
      String storedPage = readPage("GATEWAY-SETTINGS.md", page);
      // THEN
      assertThat(storedPage).isEqualTo(page);
    }

    @Test
    void should_list_every_field_of_every_record_version() throws IOException {
      // GIVEN
      StringBuilder page = new StringBuilder("# Operator records\n\nJSON with comments. ");
      page.append("Schema versions 1 and 2 are both supported.\n");
      for (RecordKind kind : RecordKind.values()) {
        for (int version = 1; version <= RecordSchemas.NEWEST_VERSION; version++) {
          page.append("\n## %s, schemaVersion %d\n\n".formatted(kind.wireName(), version));
          page.append(table(RecordSchemas.schema(kind, version)));
        }
      }
      // WHEN
      String storedPage = readPage("RECORDS.md", page.toString());
      // THEN
      assertThat(storedPage).isEqualTo(page.toString());
    }
  }

  private static String readPage(String name, String expected) throws IOException {
    Path page = ROOT.resolve("docs").resolve(name);
    if (Boolean.getBoolean("docs.write")) {
      Files.writeString(page, expected);
    }
    return Files.readString(page);
  }

  private static String table(ObjectSchema schema) {
    StringBuilder table = new StringBuilder("| key | type | unit | default | range | meaning |\n");
    table.append("| --- | --- | --- | --- | --- | --- |\n");
    schema.fields().forEach(field -> table.append(row(field.name(), field)));
    for (FieldSpec field : schema.fields()) {
      if (field.itemSchema() != null) {
        field
            .itemSchema()
            .fields()
            .forEach(i -> table.append(row(field.name() + "[]." + i.name(), i)));
      }
    }
    return table.toString();
  }

  private static String row(String name, FieldSpec field) {
    String type = field.type().name().toLowerCase(java.util.Locale.ROOT);
    String defaultText = field.required() ? "required" : "`" + field.defaultValue() + "`";
    return "| `%s` | %s | %s | %s | %s | %s |\n"
        .formatted(name, type, field.unit(), defaultText, range(field), field.description());
  }

  private static String range(FieldSpec field) {
    if (!field.choices().isEmpty()) {
      return String.join(", ", field.choices());
    }
    boolean isNumeric =
        field.type() == FieldSpec.Type.INTEGER || field.type() == FieldSpec.Type.NUMBER;
    return isNumeric ? formatNumber(field.minimum()) + " to " + formatNumber(field.maximum()) : "-";
  }

  private static String formatNumber(double number) {
    return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
  }

  /** Returns the doc comment of an enum constant. */
  private static String docComment(Enum<?> constant) throws IOException {
    String file = constant.getDeclaringClass().getName().replace('.', '/').concat(".java");
    String source = Files.readString(ROOT.resolve("core/src/main/java").resolve(file));
    Pattern pattern = Pattern.compile("/\\*\\* ([^*]+) \\*/\\s+" + constant.name() + "\\(");
    Matcher matcher = pattern.matcher(source);
    return matcher.find() ? matcher.group(1) : "";
  }
}
