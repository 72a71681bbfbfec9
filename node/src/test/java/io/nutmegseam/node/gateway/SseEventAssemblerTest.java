package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SseEventAssemblerTest {
  private final StringBuilder forwarded = new StringBuilder();
  private final SseEventAssembler assembler =
      new SseEventAssembler(
          ByteBufAllocator.DEFAULT,
          event -> forwarded.append(event.toString(StandardCharsets.UTF_8)));

  @Nested
  class BrokenStream {
    @Test
    void should_hold_back_an_incomplete_event() {
      // WHEN
      feed("id: 1\ndata: a\n\nid: 2\nda");
      // THEN
      assertThat(forwarded).hasToString("id: 1\ndata: a\n\n");
      assertThat(assembler.lastEventId()).contains("1");
    }

    @Test
    void should_continue_with_events_of_another_server() {
      // GIVEN
      feed("id: 1\ndata: a\n\nid: 2\nda");
      // WHEN
      assembler.discardPartialEvent();
      feed("id: 2\ndata: b\n\n");
      // THEN
      assertThat(forwarded).hasToString("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
      assertThat(assembler.lastEventId()).contains("2");
    }
  }

  @Nested
  class FragmentedInput {
    @Test
    void should_assemble_an_event_that_arrives_byte_by_byte() {
      String text = "id: 7\r\ndata: x\r\n\r\n";
      text.chars().forEach(character -> feed(Character.toString(character)));
      assertThat(forwarded).hasToString(text);
      assertThat(assembler.lastEventId()).contains("7");
    }

    /** A stream that ends here has been broken off. */
    @Test
    void should_report_and_withhold_an_event_without_its_end() {
      feed("data: no empty line\n");
      assertThat(forwarded).isEmpty();
      assertThat(assembler.partialEventBytes()).isEqualTo("data: no empty line\n".length());
    }
  }

  /** Line ends may be a line feed, a carriage return or both, as the format allows. */
  @Nested
  class LineEnds {
    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r", "\r\n"})
    void should_find_the_end_of_an_event_in_any_fragmentation(String lineEnd) {
      String events = "id: 1|data: a||: comment||id: 2|data: b||".replace("|", lineEnd);
      String stream = events + "id: 3" + lineEnd + "data: c" + lineEnd;
      for (int cut = 0; cut <= stream.length(); cut++) {
        forwarded.setLength(0);
        feed(stream.substring(0, cut));
        feed(stream.substring(cut));
        assertThat(forwarded).as("cut at %d", cut).hasToString(events);
        assertThat(assembler.lastEventId()).as("cut at %d", cut).contains("2");
        assembler.discardPartialEvent();
      }
    }
  }

  /** Bytes without the end of an event must not pile up. */
  @Nested
  class LargeEvent {
    @Test
    void should_report_an_event_over_the_limit_and_forward_nothing_of_it() {
      String part = "x".repeat(SseEventAssembler.MAX_EVENT_BYTES / 2);
      assertThat(feed(part)).isTrue();
      assertThat(feed(part)).isTrue();
      assertThat(feed("x")).isFalse();
      assertThat(forwarded).isEmpty();
    }
  }

  private boolean feed(String text) {
    ByteBuf part = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    boolean canGoOn = assembler.accept(part);
    part.release();
    return canGoOn;
  }
}
