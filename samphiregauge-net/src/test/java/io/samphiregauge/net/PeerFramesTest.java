package io.samphiregauge.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.peer.PeerHello;
import io.samphiregauge.schema.peer.SuspicionAck;
import io.samphiregauge.schema.record.Incarnation;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against frames that end the process, and against messages without a known sender. */
class PeerFramesTest {
  private static final Incarnation SELF = new Incarnation("vm1", 1L, 1L);

  private final List<PeerMessage> messages = new ArrayList<>();
  private final List<Failure> failures = new ArrayList<>();

  private EmbeddedChannel channel() {
    EmbeddedChannel channel = new EmbeddedChannel(new ChannelHandlerAdapter() {});
    PeerTransport.accept(channel, (from, message) -> messages.add(message), failures::add);
    return channel;
  }

  private static ByteBuf frame(PeerMessage message) {
    byte[] bytes = Codec.messagePack().encode(message);
    return Unpooled.buffer().writeInt(bytes.length).writeBytes(bytes);
  }

  @Test
  void takesMessagesAfterTheHelloHoweverTheBytesAreCut() {
    EmbeddedChannel channel = channel();
    ByteBuf bytes = frame(new PeerHello(SELF, "127.0.0.1:1"));
    bytes.writeBytes(frame(new SuspicionAck(3L)));
    while (bytes.isReadable()) {
      channel.writeInbound(bytes.readBytes(1));
    }
    assertThat(messages).containsExactly(new SuspicionAck(3L));
    assertThat(failures).isEmpty();
  }

  @Test
  void refusesAMessageBeforeTheHello() {
    EmbeddedChannel channel = channel();
    channel.writeInbound(frame(new SuspicionAck(3L)));
    assertThat(messages).isEmpty();
    assertThat(failures).extracting(Failure::type).containsExactly("bad_frame");
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void refusesAFrameThatIsTooLongBeforeItArrives() {
    EmbeddedChannel channel = channel();
    channel.writeInbound(Unpooled.buffer().writeInt(PeerTransport.MAX_FRAME_BYTES + 1));
    assertThat(failures).extracting(Failure::type).containsExactly("bad_frame");
    assertThat(channel.isOpen()).isFalse();
  }

  @Property(seed = "91", tries = 2_000)
  void anyBytesGiveMessagesOrTypedFailures(@ForAll @Size(max = 200) byte[] bytes) {
    EmbeddedChannel channel = channel();
    channel.writeInbound(Unpooled.wrappedBuffer(bytes.clone()));
    channel.checkException();
    channel.finishAndReleaseAll();
  }

  @Property(seed = "92", tries = 1_000)
  void aWholeFrameOfAnyBytesIsAMessageOrAFailure(
      @ForAll @Size(min = 1, max = 100) byte[] bytes, @ForAll @IntRange(max = 99) int cut) {
    failures.clear();
    messages.clear();
    EmbeddedChannel channel = channel();
    channel.writeInbound(frame(new PeerHello(SELF, "127.0.0.1:1")));
    byte[] valid = Codec.messagePack().encode(new SuspicionAck(3L));
    // A valid message with a damaged byte reaches further into the decoder than random bytes.
    byte[] body = cut < valid.length ? valid : bytes;
    body[cut % body.length] = bytes[0];
    channel.writeInbound(Unpooled.buffer().writeInt(body.length).writeBytes(body));
    assertThat(messages.size() + failures.size()).isEqualTo(1);
    channel.finishAndReleaseAll();
  }

  /** The time limit only ends a test that would hang. */
  @Test
  @Timeout(60)
  void aSeveredConnectionIsOpenedAnew() throws Exception {
    NioEventLoopGroup loops = new NioEventLoopGroup(2);
    BlockingQueue<PeerMessage> arrived = new LinkedBlockingQueue<>();
    Address any = new Address("127.0.0.1", 0);
    try (PeerTransport one =
            PeerTransport.start(loops, any, SELF, (f, m) -> {}, f -> {}).value().orElseThrow();
        PeerTransport two =
            PeerTransport.start(loops, any, SELF, (f, m) -> arrived.add(m), f -> {})
                .value()
                .orElseThrow()) {
      sendUntilArrived(one, two, new SuspicionAck(1L), arrived);
      two.disconnect();
      sendUntilArrived(one, two, new SuspicionAck(2L), arrived);
    }
    loops.shutdownGracefully();
  }

  /** A message that meets a closing connection is dropped, so it is sent until one arrives. */
  private static void sendUntilArrived(
      PeerTransport from, PeerTransport to, PeerMessage message, BlockingQueue<PeerMessage> arrived)
      throws InterruptedException {
    Optional<PeerMessage> next = Optional.empty();
    while (next.filter(message::equals).isEmpty()) {
      from.send(to.address().toString(), message);
      next = Optional.ofNullable(arrived.poll(50, TimeUnit.MILLISECONDS));
    }
  }
}
