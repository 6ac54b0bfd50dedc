package io.samphiregauge.daemon.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against lost, repeated or split tokens when a stream is resumed on another engine. */
class ResumableEventStreamTest {
  @Property(seed = "17", tries = 500)
  void forwardsEachByteOnceWhereverTheEngineFails(
      @ForAll @IntRange(max = 40) int tokens, @ForAll long seed) {
    Random random = new Random(seed);
    String fullStream = stream(0, tokens, random.nextBoolean() ? "\n\n" : "\r\n\r\n");
    String terminator = fullStream.contains("\r") ? "\r\n\r\n" : "\n\n";
    ResumableEventStream events = new ResumableEventStream();
    StringBuilder forwarded = new StringBuilder();
    int crashAt = random.nextInt(fullStream.length() + 1);
    feed(events, fullStream.substring(0, crashAt), random, forwarded);
    events.discardPartial();
    int next = events.sentEvents().orElseThrow().tokens();
    // An engine may repeat tokens that the caller has already received.
    int from = next == 0 ? 0 : next - random.nextInt(next);
    if (!events.isDone()) {
      feed(events, stream(from, tokens, terminator), random, forwarded);
    }
    assertThat(forwarded.toString()).isEqualTo(fullStream);
    assertThat(events.hasGap()).isFalse();
    assertThat(events.tokenCount()).isEqualTo(tokens);
  }

  @Test
  void detectsSkippedToken() {
    ResumableEventStream events = new ResumableEventStream();
    StringBuilder forwarded = new StringBuilder();
    feed(events, stream(0, 3, "\n\n").replace("data: [DONE]\n\n", ""), new Random(1), forwarded);
    feed(events, stream(4, 6, "\n\n"), new Random(1), forwarded);
    assertThat(events.hasGap()).isTrue();
    assertThat(forwarded).doesNotContain("t4");
  }

  @Test
  void forwardsEventsWithoutIndexButCannotResume() {
    String other = "data: {\"choices\":[]}\n\n: comment\n\ndata: [DONE]\n\n";
    ResumableEventStream events = new ResumableEventStream();
    StringBuilder forwarded = new StringBuilder();
    feed(events, other, new Random(1), forwarded);
    assertThat(forwarded.toString()).isEqualTo(other);
    assertThat(events.sentEvents()).isEmpty();
  }

  private static String stream(int from, int tokens, String terminator) {
    StringBuilder text = new StringBuilder();
    for (int i = from; i < tokens; i++) {
      text.append("data: {\"index\":%d,\"text\":\"t%d \"}".formatted(i, i)).append(terminator);
    }
    return text.append("data: [DONE]").append(terminator).toString();
  }

  private static void feed(
      ResumableEventStream events, String text, Random random, StringBuilder forwarded) {
    for (int at = 0; at < text.length(); ) {
      int end = Math.min(text.length(), at + 1 + random.nextInt(50));
      byte[] part = text.substring(at, end).getBytes(StandardCharsets.UTF_8);
      ByteBuf output = events.feed(Unpooled.wrappedBuffer(part));
      forwarded.append(output.toString(StandardCharsets.UTF_8));
      output.release();
      at = end;
    }
  }
}
