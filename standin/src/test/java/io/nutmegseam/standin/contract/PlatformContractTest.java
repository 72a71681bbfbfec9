package io.nutmegseam.standin.contract;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.nutmegseam.core.platform.ObjectStore;
import io.nutmegseam.core.platform.PlatformException;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.TableService;
import io.nutmegseam.core.platform.Transaction;
import io.nutmegseam.core.platform.VmList;
import io.nutmegseam.node.platform.HttpObjectStore;
import io.nutmegseam.node.platform.HttpTableService;
import io.nutmegseam.node.platform.HttpVmList;
import io.nutmegseam.standin.fault.FaultMode;
import io.nutmegseam.standin.fault.FaultRule;
import io.nutmegseam.standin.platform.PlatformStandin;
import io.nutmegseam.standin.platform.WeightStore;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlatformContractTest {
  private final PlatformStandin platform = new PlatformStandin(0, new WeightStore(100, 4, 32, 1));
  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .callTimeout(Duration.ofMillis(700))
          .retryOnConnectionFailure(false)
          .build();
  private final TableService table = new HttpTableService(client, platform.address());

  @AfterEach
  void close() {
    platform.close();
  }

  @Nested
  class Transactions {
    @Test
    void should_write_only_if_every_check_holds() throws PlatformException {
      // GIVEN
      long version = table.commit(Transaction.compareAndSet("a", 0, "1")).version();
      // WHEN
      boolean staleCommitted =
          table
              .commit(
                  Transaction.compareAndSet("a", 0, "2")
                      .and(Transaction.compareAndSet("b", 0, "2")))
              .committed();
      boolean currentCommitted =
          table.commit(Transaction.compareAndSet("a", version, "3")).committed();
      // THEN
      assertThat(staleCommitted).isFalse();
      assertThat(currentCommitted).isTrue();
      assertThat(table.range("", 0, 10)).extracting(Row::key).containsExactly("a");
    }

    @Test
    void should_return_only_rows_that_changed_after_a_version() throws PlatformException {
      // GIVEN
      table.commit(Transaction.compareAndSet("p/1", 0, "x"));
      long seenVersion = table.commit(Transaction.compareAndSet("p/2", 0, "x")).version();
      table.commit(Transaction.compareAndSet("q/1", 0, "x"));
      table.commit(Transaction.compareAndSet("p/3", 0, "x"));
      // WHEN
      List<Row> rows = table.range("p/", seenVersion, 10);
      // THEN
      assertThat(rows).extracting(Row::key).containsExactly("p/3");
    }
  }

  @Nested
  class CommitFaults {
    @ParameterizedTest
    @CsvSource({
      "REFUSE,false,false",
      "DROP,true,false",
      "LOSE_ANSWER,true,true",
      "CUT,true,true",
      "LATE,true,true",
      "SLOW,true,true"
    })
    void should_report_whether_a_write_may_have_been_applied(
        FaultMode mode, boolean mayHaveApplied, boolean applied) throws Exception {
      // GIVEN
      platform.faults().setRules(List.of(new FaultRule("commit", mode, 1, 1_000, "")));
      // WHEN
      PlatformException failure =
          catchThrowableOfType(
              PlatformException.class, () -> table.commit(Transaction.compareAndSet("a", 0, "1")));
      Thread.sleep(mode == FaultMode.SLOW ? 1_000 : 0);
      // THEN
      assertThat(failure.mayHaveApplied()).isEqualTo(mayHaveApplied);
      assertThat(table.range("a", 0, 1)).hasSize(applied ? 1 : 0);
    }

    @Test
    void should_report_that_nothing_was_applied_if_the_platform_is_unreachable() {
      // GIVEN
      TableService unreachable = new HttpTableService(client, "http://127.0.0.1:1");
      // WHEN
      PlatformException failure =
          catchThrowableOfType(
              PlatformException.class,
              () -> unreachable.commit(Transaction.compareAndSet("a", 0, "1")));
      // THEN
      assertThat(failure.mayHaveApplied()).isFalse();
    }
  }

  @Nested
  class Objects {
    @Test
    void should_return_what_was_written() throws PlatformException {
      // GIVEN
      ObjectStore objects = new HttpObjectStore(client, platform.address());
      // WHEN
      objects.put("k", "{\"a\":1}");
      // THEN
      assertThat(objects.get("k")).contains("{\"a\":1}");
      assertThat(objects.get("none")).isEmpty();
    }
  }

  @Nested
  class Vms {
    @Test
    void should_distinguish_live_and_leaving_vms() throws Exception {
      // GIVEN
      VmList vms = new HttpVmList(client, platform.address());
      put("{\"v1\":\"live\",\"v2\":\"leaving\"}");
      // WHEN
      List<VmList.Vm> list = vms.listVms();
      // THEN
      assertThat(list)
          .containsExactlyInAnyOrder(
              new VmList.Vm("v1", VmList.VmState.LIVE),
              new VmList.Vm("v2", VmList.VmState.LEAVING));
    }

    private void put(String states) throws IOException {
      RequestBody body = RequestBody.create(states, okhttp3.MediaType.get("application/json"));
      Request request = new Request.Builder().url(platform.address() + "/vms").post(body).build();
      client.newCall(request).execute().close();
    }
  }
}
