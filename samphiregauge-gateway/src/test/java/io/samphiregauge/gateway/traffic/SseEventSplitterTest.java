package io.samphiregauge.gateway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class SseEventSplitterTest {
  private final SseEventSplitter splitter = new SseEventSplitter(UnpooledByteBufAllocator.DEFAULT);

  private void add(String text) {
    splitter.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  private static String text(ByteBuf bytes) {
    return bytes.toString(StandardCharsets.UTF_8);
  }

  /** Guards against relaying a partial event, which another server then sends again. */
  @Test
  void withholdsEventUntilItIsComplete() {
    add("id: 1\ndata: a\n\nid: 2\nda");
    assertThat(splitter.takeCompleteEvents().map(SseEventSplitterTest::text))
        .contains("id: 1\ndata: a\n\n");
    assertThat(splitter.lastEventId()).contains("1");
    assertThat(splitter.hasPartialEvent()).isTrue();
    assertThat(splitter.takeCompleteEvents()).isEmpty();
    add("ta: b\n\n");
    assertThat(splitter.takeCompleteEvents().map(SseEventSplitterTest::text))
        .contains("id: 2\ndata: b\n\n");
    assertThat(splitter.lastEventId()).contains("2");
    assertThat(splitter.hasPartialEvent()).isFalse();
  }

  /** Guards against overwriting events that are still queued for the socket. */
  @Test
  void returnedEventsAreNotOverwrittenByLaterOnes() {
    add("id: 1\ndata: first\n\n");
    ByteBuf first = splitter.takeCompleteEvents().orElseThrow();
    add("id: 2\ndata: other\n\n");
    ByteBuf second = splitter.takeCompleteEvents().orElseThrow();
    assertThat(text(first)).isEqualTo("id: 1\ndata: first\n\n");
    assertThat(text(second)).isEqualTo("id: 2\ndata: other\n\n");
  }

  /** Guards against missing CRLF boundaries, and losing the id at an event without one. */
  @Test
  void acceptsCrLfLineEndsAndKeepsLastIdOfEventsWithoutId() {
    add("id: 7\r\ndata: a\r\n\r\ndata: b\r\n\r\n");
    assertThat(splitter.takeCompleteEvents()).isPresent();
    assertThat(splitter.lastEventId()).contains("7");
    assertThat(splitter.hasPartialEvent()).isFalse();
  }

  /** An event that is split between reads must not lose or repeat bytes. */
  @Property(tries = 200, seed = "7")
  void returnsEachByteOnceForAnyChunkSize(
      @ForAll @Size(min = 1, max = 12) List<@IntRange(min = 1, max = 40) Integer> lengths,
      @ForAll @IntRange(min = 1, max = 30) int chunkBytes) {
    StringBuilder stream = new StringBuilder();
    for (int i = 0; i < lengths.size(); i++) {
      stream.append("id: ").append(i).append("\ndata: ").append("x".repeat(lengths.get(i)));
      stream.append("\n\n");
    }
    SseEventSplitter chunkedSplitter = new SseEventSplitter(UnpooledByteBufAllocator.DEFAULT);
    List<ByteBuf> returnedEvents = new ArrayList<>();
    for (int start = 0; start < stream.length(); start += chunkBytes) {
      String chunk = stream.substring(start, Math.min(stream.length(), start + chunkBytes));
      chunkedSplitter.add(Unpooled.copiedBuffer(chunk, StandardCharsets.UTF_8));
      Optional<ByteBuf> completeEvents = chunkedSplitter.takeCompleteEvents();
      completeEvents.ifPresent(returnedEvents::add);
      completeEvents.ifPresent(events -> assertThat(text(events)).endsWith("\n\n"));
    }
    StringBuilder joined = new StringBuilder();
    returnedEvents.forEach(events -> joined.append(text(events)));
    assertThat(joined).hasToString(stream.toString());
  }
}
