package io.nutmegseam.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.json.ValidationError;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RecordParserTest {
  @Nested
  class SchemaVersions {
    @Test
    void should_read_both_schema_versions_of_a_model_as_the_same_record() {
      // GIVEN
      String old =
          "{\"schemaVersion\":1,\"kind\":\"Model\",\"name\":\"m\",\"memoryGib\":2,\"replicas\":3}";
      String current =
          "{\"schemaVersion\":2,\"kind\":\"Model\",\"name\":\"m\",\"memoryBytes\":2147483648,"
              + "\"maxReplicas\":3}";
      // WHEN
      Optional<OperatorRecord> first = RecordParser.parseStored(old);
      Optional<OperatorRecord> second = RecordParser.parseStored(current);
      // THEN
      assertThat(first).isPresent().isEqualTo(second);
    }

    @Test
    void should_convert_the_path_lists_of_a_version_1_service_into_calls() {
      // GIVEN
      String old =
          "{\"schemaVersion\":1,\"kind\":\"Service\",\"name\":\"s\",\"timeoutSeconds\":3,"
              + "\"idempotentPaths\":[\"/look\"],\"unrepeatablePaths\":[\"/pay\"]}";
      // WHEN
      ServiceRecord service = (ServiceRecord) RecordParser.parseStored(old).orElseThrow();
      // THEN
      assertThat(service.callFor("/pay/now"))
          .contains(new ServiceRecord.Call("/pay", false, 3_000));
      assertThat(service.callFor("/look")).contains(new ServiceRecord.Call("/look", true, 3_000));
    }
  }

  @Nested
  class InvalidRecords {
    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        quoteCharacter = '`',
        value = {
          "{\"schemaVersion\":2,\"kind\":\"Model\",\"name\":\"m\"}|missing key \"memoryBytes\"",
          "{\"schemaVersion\":9,\"kind\":\"Model\",\"name\":\"m\"}|unsupported schemaVersion 9",
          "{\"schemaVersion\":2,\"kind\":\"Modell\",\"name\":\"m\"}|unknown kind \"Modell\"",
          "{\"kind\":\"Model\",\"name\":\"m\"}|missing key \"schemaVersion\"",
          "{\"schemaVersion\":2,\"kind\":\"DataCentre\",\"name\":\"d\",\"region\":7}|must be a string",
          "{\"schemaVersion\":2,\"kind\":\"DataCentre\",\"name\":\"d\",\"region\":\"r\",\"x\":1}"
              + "|unknown key \"x\"",
          "{\"schemaVersion\":2,\"kind\":\"Adapter\",\"name\":\"a\",\"model\":\"m\","
              + "\"memoryBytes\":1,\"maxReplicas\":65}|outside 0 to 64",
          "{\"schemaVersion\":2,\"kind\":\"Policy\",\"name\":\"p\"}|must be named \"default\"",
          "{\"kind\":\"Model\",\"kind\":\"Model\"}|duplicate key \"kind\"",
          "[1]|expected a record but found number",
          "{\"kind\":|syntax"
        })
    void should_report_the_error(String text, String expected) {
      // WHEN
      List<ValidationError> errors = errors(text);
      // THEN
      assertThat(errors).extracting(ValidationError::message).anyMatch(m -> m.contains(expected));
    }

    @Test
    void should_report_every_error_with_its_position() {
      // GIVEN
      String text =
          """
          [ // two records
            {"schemaVersion":2,"kind":"Model","name":"m","memoryBytes":"x",
             "maxReplicas":-1},
            {"schemaVersion":2,"kind":"DataCentre","name":"d"}
          ]
          """;
      // WHEN
      List<ValidationError> errors = errors(text);
      // THEN
      assertThat(errors)
          .extracting(error -> error.describe("f").replaceAll(": .*", ""))
          .containsExactly("f:2:62", "f:3:18", "f:4:3");
    }

    @Test
    void should_report_a_reference_to_a_missing_record() {
      // GIVEN
      String text =
          "{\"schemaVersion\":2,\"kind\":\"Adapter\",\"name\":\"a\",\"model\":\"gone\","
              + "\"memoryBytes\":1,\"maxReplicas\":1}";
      List<ValidationError> errors = new ArrayList<>();
      ParsedRecord record = RecordParser.parse(text, errors).get(0);
      // WHEN
      new ReferenceChecker(List.of()).check(record, errors);
      // THEN
      assertThat(errors)
          .extracting(ValidationError::message)
          .containsExactly("Adapter \"a\" refers to Model \"gone\", which does not exist");
    }

    private List<ValidationError> errors(String text) {
      List<ValidationError> errors = new ArrayList<>();
      RecordParser.parse(text, errors);
      return errors;
    }
  }

  @Nested
  class ActiveRecords {
    @Test
    void should_keep_the_active_record_if_a_newer_one_is_unreadable() {
      // GIVEN
      String valid =
          "{\"schemaVersion\":2,\"kind\":\"DataCentre\",\"name\":\"d\",\"region\":\"r\"}";
      Catalog before = Catalog.empty().withChanges(1, List.of(change(1, valid)));
      // WHEN
      Catalog after = before.withChanges(2, List.of(change(2, valid.replace(":2,", ":3,"))));
      // THEN
      assertThat(after.revision()).isEqualTo(2);
      assertThat(after.find(RecordKind.DATA_CENTRE, "d")).isPresent();
    }

    @Test
    void should_never_fall_back_to_an_older_change_or_revision() {
      // GIVEN
      String text =
          "{\"schemaVersion\":2,\"kind\":\"DataCentre\",\"name\":\"d\",\"region\":\"%s\"}";
      Catalog newer = Catalog.empty().withChanges(5, List.of(change(5, text.formatted("new"))));
      // WHEN
      Catalog after = newer.withChanges(3, List.of(change(3, text.formatted("old"))));
      // THEN
      assertThat(after.revision()).isEqualTo(5);
      assertThat(after.find(RecordKind.DATA_CENTRE, "d"))
          .contains(new DataCentreRecord("d", "new"));
    }

    private RecordChange change(long revision, String text) {
      return new RecordChange(RecordKind.DATA_CENTRE, "d", revision, Optional.of(text));
    }
  }
}
