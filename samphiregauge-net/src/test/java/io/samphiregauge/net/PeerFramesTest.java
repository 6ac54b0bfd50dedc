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

/**
 * Guards against frames that raise an exception, and against messages from unidentified senders.
 */
class PeerFramesTest {
  private static final Incarnation SELF = new Incarnation("vm1", 1L, 1L);

  private final List<PeerMessage> messages = new ArrayList<>();
  private final List<Failure> failures = new ArrayList<>();

  private EmbeddedChannel channel() {
    EmbeddedChannel channel = new EmbeddedChannel(new ChannelHandlerAdapter() {});
    PeerTransport.configureInbound(
        channel, (from, message) -> messages.add(message), failures::add);
    return channel;
  }

  private static ByteBuf frame(PeerMessage message) {
    byte[] bytes = Codec.messagePack().encode(message);
    return Unpooled.buffer().writeInt(bytes.length).writeBytes(bytes);
  }

  @Test
  void decodesMessagesAfterHelloForAnyFragmentation() {
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
  void rejectsMessageBeforeHello() {
    EmbeddedChannel channel = channel();
    channel.writeInbound(frame(new SuspicionAck(3L)));
    assertThat(messages).isEmpty();
    assertThat(failures).extracting(Failure::type).containsExactly("bad_frame");
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void rejectsOversizedFrameByItsLengthField() {
    EmbeddedChannel channel = channel();
    channel.writeInbound(Unpooled.buffer().writeInt(PeerTransport.MAX_FRAME_BYTES + 1));
    assertThat(failures).extracting(Failure::type).containsExactly("bad_frame");
    assertThat(channel.isOpen()).isFalse();
  }

  @Property(seed = "91", tries = 2_000)
  void arbitraryBytesDoNotThrow(@ForAll @Size(max = 200) byte[] bytes) {
    EmbeddedChannel channel = channel();
    channel.writeInbound(Unpooled.wrappedBuffer(bytes.clone()));
    channel.checkException();
    channel.finishAndReleaseAll();
  }

  @Property(seed = "92", tries = 1_000)
  void frameWithArbitraryBodyGivesMessageOrFailure(
      @ForAll @Size(min = 1, max = 100) byte[] bytes, @ForAll @IntRange(max = 99) int index) {
    failures.clear();
    messages.clear();
    EmbeddedChannel channel = channel();
    channel.writeInbound(frame(new PeerHello(SELF, "127.0.0.1:1")));
    byte[] valid = Codec.messagePack().encode(new SuspicionAck(3L));
    // A valid message with one changed byte gets further in the decoder than random bytes.
    byte[] body = index < valid.length ? valid : bytes;
    body[index % body.length] = bytes[0];
    channel.writeInbound(Unpooled.buffer().writeInt(body.length).writeBytes(body));
    assertThat(messages.size() + failures.size()).isEqualTo(1);
    channel.finishAndReleaseAll();
  }

  /** The timeout only stops a test that would hang. */
  @Test
  @Timeout(60)
  void reconnectsAfterDisconnect() throws Exception {
    NioEventLoopGroup loops = new NioEventLoopGroup(2);
    BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
    Address anyPort = new Address("127.0.0.1", 0);
    try (PeerTransport sender =
            PeerTransport.start(loops, anyPort, SELF, (f, m) -> {}, f -> {}).value().orElseThrow();
        PeerTransport receiver =
            PeerTransport.start(loops, anyPort, SELF, (f, m) -> received.add(m), f -> {})
                .value()
                .orElseThrow()) {
      sendUntilReceived(sender, receiver, new SuspicionAck(1L), received);
      receiver.disconnect();
      sendUntilReceived(sender, receiver, new SuspicionAck(2L), received);
    }
    loops.shutdownGracefully();
  }

  /** Resends the message until it is received, because a closing connection drops messages. */
  private static void sendUntilReceived(
      PeerTransport sender,
      PeerTransport receiver,
      PeerMessage message,
      BlockingQueue<PeerMessage> received)
      throws InterruptedException {
    Optional<PeerMessage> next = Optional.empty();
    while (next.filter(message::equals).isEmpty()) {
      sender.send(receiver.address().toString(), message);
      next = Optional.ofNullable(received.poll(50, TimeUnit.MILLISECONDS));
    }
  }
}
