package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against repeats that are not recognised, and against different requests that are. */
class RequestFingerprintsTest {
  @Nested
  class Content {
    @Test
    void should_recognise_a_repeat_with_another_id_and_deadline() {
      RequestFingerprints first = fingerprints("/p/x", "id", "1", "body");
      RequestFingerprints repeat = fingerprints("/p/x", "left", "7", "body");
      assertThat(repeat.content()).isEqualTo(first.content());
    }

    @Test
    void should_distinguish_paths_bodies_and_sizes() {
      RequestFingerprints first = fingerprints("/p/x", "id", "1", "body");
      assertThat(fingerprints("/p/xb", "id", "1", "ody").content()).isNotEqualTo(first.content());
      assertThat(fingerprints("/p/x", "id", "1", "bodz").content()).isNotEqualTo(first.content());
      String large = "b".repeat(100_000);
      assertThat(fingerprints("/p/x", "id", "1", large).content())
          .isNotEqualTo(fingerprints("/p/x", "id", "1", large + "b").content());
    }
  }

  @Nested
  class Parts {
    @Test
    void should_leave_out_the_last_part_and_ignore_sizes() {
      RequestFingerprints one = fingerprints("/p/x", "prompt", "A1:96,b2:30,c3:200", "");
      RequestFingerprints other = fingerprints("/p/y", "prompt", "a1:97, b2:31,d4:200", "");
      assertThat(one.sharedParts()).hasSize(2).isEqualTo(other.sharedParts());
    }

    @Test
    void should_have_no_shared_part_without_two_parts() {
      assertThat(fingerprints("/p/x", "prompt", "c3:200", "").sharedParts()).isEmpty();
      assertThat(fingerprints("/p/x", "id", "1", "").sharedParts()).isEmpty();
    }

    @Test
    void should_bound_the_number_of_parts() {
      String prompt = "a:1,".repeat(1_000) + "z:1";
      assertThat(fingerprints("/p/x", "prompt", prompt, "").sharedParts()).hasSizeLessThan(40);
    }
  }

  private static RequestFingerprints fingerprints(
      String target, String header, String value, String body) {
    HttpHeaders headers = new DefaultHttpHeaders().set("host", "h").set(header, value);
    return RequestFingerprints.of(
        new InboundRequest(
            HttpMethod.POST, target, headers, ByteString.copyFromUtf8(body), 0, false),
        TestGateway.HEADERS);
  }
}
