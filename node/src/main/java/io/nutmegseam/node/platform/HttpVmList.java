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

/** Reads the platform's VM list over HTTP. */
public final class HttpVmList implements VmList {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final TypeReference<Map<String, String>> STATES = new TypeReference<>() {};

  private final PlatformHttpClient http;

  /**
   * Creates the client.
   *
   * @param client HTTP client with the platform's timeouts
   * @param baseAddress base URL of the platform's services
   */
  public HttpVmList(OkHttpClient client, String baseAddress) {
    this.http = new PlatformHttpClient(client, baseAddress);
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
      throw new PlatformException("VM list cannot be decoded: " + e.getMessage(), false);
    }
  }
}
