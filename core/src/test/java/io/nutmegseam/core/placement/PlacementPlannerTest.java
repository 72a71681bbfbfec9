package io.nutmegseam.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.config.Catalog;
import io.nutmegseam.core.config.RecordChange;
import io.nutmegseam.core.config.RecordKind;
import io.nutmegseam.core.placement.PlacementPlanner.ServerCondition;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlacementPlannerTest {
  private static final int MAX_WRITES = 1_000;

  @Nested
  class FreeSlots {
    @Test
    void should_place_each_replica_on_a_different_server() {
      // GIVEN
      Catalog catalog = catalog(3, 2);
      // WHEN
      List<PlacementRow> rows = plan(catalog, Placements.empty(), PlacementPlannerTest::available);
      // THEN
      assertThat(rows).hasSize(2).allMatch(row -> row.state() == PlacementRow.State.PLACED);
      assertThat(rows).extracting(PlacementRow::server).doesNotHaveDuplicates();
    }

    @Test
    void should_prefer_another_data_centre_for_the_second_replica() {
      // GIVEN
      Catalog catalog = catalog(4, 2);
      // WHEN
      List<PlacementRow> rows = plan(catalog, Placements.empty(), PlacementPlannerTest::available);
      // THEN
      assertThat(rows)
          .extracting(row -> catalog.backendServer(row.server()).orElseThrow().dataCentre())
          .doesNotHaveDuplicates();
    }

    @Test
    void should_leave_a_slot_free_if_no_server_is_left() {
      // GIVEN
      Catalog catalog = catalog(1, 3);
      // WHEN
      List<PlacementRow> rows = plan(catalog, Placements.empty(), PlacementPlannerTest::available);
      // THEN
      assertThat(rows).hasSize(1);
    }
  }

  @Nested
  class Moves {
    @Test
    void should_drain_the_slot_of_a_leaving_server_before_it_is_placed_again() {
      // GIVEN
      Catalog catalog = catalog(2, 1);
      Placements placed =
          apply(
              Placements.empty(),
              plan(catalog, Placements.empty(), PlacementPlannerTest::available));
      String server = placed.slot("m", 0).row().server();
      Function<String, ServerCondition> leaving =
          s -> s.equals(server) ? ServerCondition.LEAVING : ServerCondition.AVAILABLE;
      // WHEN
      List<PlacementRow> first = plan(catalog, placed, leaving);
      List<PlacementRow> second = plan(catalog, apply(placed, first), leaving);
      // THEN
      assertThat(first).containsExactly(placed.slot("m", 0).row().draining());
      assertThat(second).isEmpty();
    }

    @Test
    void should_free_the_slot_of_a_server_whose_vm_was_removed() {
      // GIVEN
      Catalog catalog = catalog(2, 1);
      Placements placed =
          apply(
              Placements.empty(),
              plan(catalog, Placements.empty(), PlacementPlannerTest::available));
      // WHEN
      List<PlacementRow> rows = plan(catalog, placed, s -> ServerCondition.GONE);
      // THEN
      assertThat(rows).extracting(PlacementRow::state).containsExactly(PlacementRow.State.FREE);
    }

    @Test
    void should_drain_slots_beyond_a_lowered_number_of_replicas() {
      // GIVEN
      Catalog twoReplicas = catalog(3, 2);
      Placements placed =
          apply(
              Placements.empty(),
              plan(twoReplicas, Placements.empty(), PlacementPlannerTest::available));
      // WHEN
      List<PlacementRow> rows = plan(catalog(3, 1), placed, PlacementPlannerTest::available);
      // THEN
      assertThat(rows).containsExactly(placed.slot("m", 1).row().draining());
    }
  }

  @Nested
  class Races {
    @Test
    void should_not_exceed_the_replica_limit_if_two_planners_see_different_servers() {
      // GIVEN
      Catalog catalog = catalog(6, 3);
      Set<String> occupiedSlots = new HashSet<>();
      Placements rows = Placements.empty();
      // WHEN
      for (int round = 0; round < 6; round++) {
        int visibleParity = round % 2;
        Function<String, ServerCondition> observedConditions =
            s ->
                (s.hashCode() & 1) == visibleParity
                    ? ServerCondition.AVAILABLE
                    : ServerCondition.LEAVING;
        rows = apply(rows, plan(catalog, rows, observedConditions));
        occupiedSlots.clear();
        rows.slotsOfModel("m")
            .forEach(p -> occupiedSlots.add(p.row().slot() + "@" + p.row().server()));
      }
      // THEN
      assertThat(rows.slotsOfModel("m")).hasSizeLessThanOrEqualTo(3);
      assertThat(occupiedSlots).hasSizeLessThanOrEqualTo(3);
    }
  }

  @Nested
  class Adapters {
    @Test
    void should_not_exceed_the_replica_limit_of_the_adapter() {
      // GIVEN
      Catalog catalog = catalog(3, 3);
      Placements placed =
          apply(
              Placements.empty(),
              plan(catalog, Placements.empty(), PlacementPlannerTest::available));
      // WHEN
      List<String> servers = PlacementRules.allowedServers("a", catalog, placed);
      // THEN
      assertThat(servers).containsExactly(placed.slot("m", 0).row().server());
    }
  }

  private static List<PlacementRow> plan(
      Catalog catalog, Placements placements, Function<String, ServerCondition> conditions) {
    return new PlacementPlanner(catalog, conditions)
        .plan(placements, MAX_WRITES).stream().map(PlacementPlanner.Write::row).toList();
  }

  private static ServerCondition available(String server) {
    return ServerCondition.AVAILABLE;
  }

  private static Placements apply(Placements placements, List<PlacementRow> rows) {
    List<Placements.VersionedRow> versioned = new ArrayList<>();
    rows.forEach(row -> versioned.add(new Placements.VersionedRow(row, row.generation())));
    return placements.withRows(versioned);
  }

  private static Catalog catalog(int servers, int replicas) {
    List<RecordChange> changes = new ArrayList<>();
    for (int i = 0; i < servers; i++) {
      changes.add(
          change(
              RecordKind.BACKEND_SERVER,
              "s" + i,
              "\"address\":\"http://h\",\"dataCentre\":\"dc"
                  + i % 2
                  + "\",\"vm\":\"v\",\"memoryBytes\":100"));
    }
    changes.add(change(RecordKind.MODEL, "m", "\"memoryBytes\":10,\"maxReplicas\":" + replicas));
    changes.add(
        change(RecordKind.ADAPTER, "a", "\"model\":\"m\",\"memoryBytes\":1,\"maxReplicas\":1"));
    return Catalog.empty().withChanges(1, changes);
  }

  private static RecordChange change(RecordKind kind, String name, String fields) {
    String text =
        "{\"schemaVersion\":2,\"kind\":\"%s\",\"name\":\"%s\",%s}"
            .formatted(kind.wireName(), name, fields);
    return new RecordChange(kind, name, 1, Optional.of(text));
  }
}
