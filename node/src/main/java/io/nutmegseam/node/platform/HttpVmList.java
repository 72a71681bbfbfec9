package io.nutmegseam.node.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.nutmegseam.core.platform.PlatformException;
import io.nutmegseam.core.platform.VmList;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import okhttp3.OkHttpClient;

/** The VM list over HTTP. */
public final class HttpVmList implements VmList {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final TypeReference<Map<String, String>> STATES = new TypeReference<>() {};

  private final PlatformHttp http;

  /**
   * Creates the adapter.
   *
   * @param client HTTP client with the platform's timeouts
   * @param baseAddress base address of the platform
   */
  public HttpVmList(OkHttpClient client, String baseAddress) {
    this.http = new PlatformHttp(client, baseAddress);
  }

  @Override
  public List<Vm> listVms() throws PlatformException {
    try {
      Map<String, String> states = JSON.readValue(http.get("/vms").body(), STATES);
      List<Vm> vms = new ArrayList<>();
      for (Map.Entry<String, String> vm : states.entrySet()) {
        vms.add(new Vm(vm.getKey(), VmState.valueOf(vm.getValue().toUpperCase(Locale.ROOT))));
      }
      return vms;
    } catch (JsonProcessingException | IllegalArgumentException e) {
      throw new PlatformException("VM list is not readable: " + e.getMessage(), false);
    }
  }
}
