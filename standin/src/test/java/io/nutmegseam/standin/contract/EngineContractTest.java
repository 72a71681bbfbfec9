package io.nutmegseam.standin.contract;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;
import static org.awaitility.Awaitility.await;

import io.nutmegseam.core.backend.BackendException;
import io.nutmegseam.core.backend.BackendException.Outcome;
import io.nutmegseam.core.backend.Engine;
import io.nutmegseam.core.backend.Inventory.ItemState;
import io.nutmegseam.core.backend.Order;
import io.nutmegseam.node.backend.CompletionClient;
import io.nutmegseam.node.backend.HttpEngine;
import io.nutmegseam.node.backend.PlainServiceClient;
import io.nutmegseam.standin.engine.EngineProfile;
import io.nutmegseam.standin.engine.EngineStandin;
import io.nutmegseam.standin.fault.FaultMode;
import io.nutmegseam.standin.fault.FaultRule;
import io.nutmegseam.standin.service.ServiceStandin;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import okhttp3.OkHttpClient;
import okio.ByteString;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EngineContractTest {
  private final EngineStandin standin =
      new EngineStandin(
          0,
          new EngineProfile("e", 100, 1, 500, true, Set.of("m"), 10, 0, 100),
          adapter -> {},
          Clock.systemUTC());
  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .callTimeout(Duration.ofMillis(700))
          .retryOnConnectionFailure(false)
          .build();
  private final Engine engine = new HttpEngine(client, standin.address());

  @AfterEach
  void close() {
    standin.close();
  }

  private void loadModel() throws BackendException {
    engine.load(new Order("m", "", 10, 1));
    await().until(() -> modelState() == ItemState.LOADED);
  }

  private ItemState modelState() {
    return standin.inventory().items().stream()
        .findFirst()
        .map(item -> item.state())
        .orElse(ItemState.LOADING);
  }

  @Nested
  class Orders {
    @Test
    void should_be_refused_with_an_old_fencing_number() throws BackendException {
      // GIVEN
      engine.claim(5);
      // WHEN
      BackendException failure =
          catchThrowableOfType(
              BackendException.class, () -> engine.load(new Order("m", "", 10, 4)));
      // THEN
      assertThat(failure.outcome()).isEqualTo(Outcome.FENCED);
      assertThat(engine.inventory().items()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({
      "REFUSE,true,false",
      "DROP,false,false",
      "LOSE_ANSWER,false,true",
      "LATE,false,true"
    })
    void should_report_whether_they_provably_did_not_run(
        FaultMode mode, boolean provedNotRun, boolean ran) throws BackendException {
      // GIVEN
      standin.faults().setRules(List.of(new FaultRule("load", mode, 1, 1_000, "")));
      // WHEN
      BackendException failure =
          catchThrowableOfType(
              BackendException.class, () -> engine.load(new Order("m", "", 10, 1)));
      // THEN
      assertThat(failure.provedNotRun()).isEqualTo(provedNotRun);
      assertThat(engine.inventory().items()).hasSize(ran ? 1 : 0);
    }
  }

  @Nested
  class Completions {
    private static final String BODY =
        "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":40,\"stream\":true}";

    @ParameterizedTest
    @CsvSource({"REFUSE,REFUSED", "DROP,CONNECTION_LOST", "CUT,CONNECTION_LOST", "CROSS,CROSSED"})
    void should_fail_if_the_response_is_missing_incomplete_or_of_another_attempt(
        FaultMode mode, Outcome outcome) throws BackendException {
      // GIVEN
      loadModel();
      standin.faults().setRules(List.of(new FaultRule("completion", mode, 1, 0, "")));
      // WHEN
      BackendException failure =
          catchThrowableOfType(BackendException.class, () -> runCompletion(new ArrayList<>()));
      // THEN
      assertThat(failure.outcome()).isEqualTo(outcome);
    }

    @Test
    void should_ignore_duplicate_events() throws BackendException {
      // GIVEN
      loadModel();
      standin
          .faults()
          .setRules(List.of(new FaultRule("completion", FaultMode.DUPLICATE, 1, 0, "")));
      List<Integer> positions = new ArrayList<>();
      // WHEN
      runCompletion(positions);
      // THEN
      assertThat(positions).doesNotHaveDuplicates().isSorted().endsWith(40);
    }

    @Test
    void should_resume_at_the_position_where_the_connection_was_lost() throws BackendException {
      // GIVEN
      loadModel();
      standin.faults().setRules(List.of(new FaultRule("completion", FaultMode.CUT, 1, 0, "")));
      List<Integer> positions = new ArrayList<>();
      assertThat(catchThrowableOfType(BackendException.class, () -> runCompletion(positions)))
          .isNotNull();
      int received = positions.get(positions.size() - 1);
      // WHEN
      new CompletionClient(new OkHttpClient())
          .resume(attempt(), received, (data, position) -> positions.add(position));
      // THEN
      assertThat(positions).doesNotHaveDuplicates().isSorted().endsWith(40);
    }

    @Test
    void should_be_refused_as_not_run_if_the_model_is_not_loaded() {
      // WHEN
      BackendException failure =
          catchThrowableOfType(BackendException.class, () -> runCompletion(new ArrayList<>()));
      // THEN
      assertThat(failure.provedNotRun()).isTrue();
    }

    private void runCompletion(List<Integer> positions) throws BackendException {
      new CompletionClient(new OkHttpClient())
          .run(attempt(), (data, position) -> positions.add(position));
    }

    private CompletionClient.Attempt attempt() {
      return new CompletionClient.Attempt(
          standin.address(), "/v1/completions", "attempt-1", "", 0, BODY, 5_000);
    }
  }

  @Nested
  class PlainServices {
    @ParameterizedTest
    @CsvSource({"REFUSE,true,0", "DROP,false,0", "LOSE_ANSWER,false,1", "CUT,false,1"})
    void should_report_whether_a_call_provably_did_not_run(
        FaultMode mode, boolean provedNotRun, int runs) {
      try (ServiceStandin service = new ServiceStandin(0, 1)) {
        // GIVEN
        service.faults().setRules(List.of(new FaultRule("call", mode, 1, 0, "")));
        PlainServiceClient.ServiceCall call =
            new PlainServiceClient.ServiceCall(
                service.address(),
                "POST",
                "/pay",
                "application/json",
                ByteString.encodeUtf8("{}"),
                1_000);
        // WHEN
        BackendException failure =
            catchThrowableOfType(
                BackendException.class, () -> new PlainServiceClient(client).run(call));
        // THEN
        assertThat(failure.provedNotRun()).isEqualTo(provedNotRun);
        assertThat(service.ledger().getOrDefault("/pay {}", 0)).isEqualTo(runs);
      }
    }
  }
}
