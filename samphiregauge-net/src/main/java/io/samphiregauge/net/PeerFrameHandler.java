package io.samphiregauge.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.peer.PeerHello;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Decodes the frames of one inbound connection and passes the messages to the listener. The first
 * message must be a {@link PeerHello}, which identifies the sender; an invalid frame closes the
 * connection.
 */
final class PeerFrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
  private final PeerMessageListener listener;
  private final Consumer<Failure> failures;
  private Optional<String> sender = Optional.empty();

  PeerFrameHandler(PeerMessageListener listener, Consumer<Failure> failures) {
    this.listener = listener;
    this.failures = failures;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
    Result<PeerMessage> decoded =
        Codec.messagePack().decode(ByteBufUtil.getBytes(frame), PeerMessage.class);
    decoded.failure().ifPresent(failure -> reject(ctx, failure));
    decoded.value().ifPresent(message -> handleMessage(ctx, message));
  }

  private void handleMessage(ChannelHandlerContext ctx, PeerMessage message) {
    if (message instanceof PeerHello hello) {
      sender = Optional.of(hello.getPeerAddress());
      return;
    }
    if (sender.isEmpty()) {
      reject(
          ctx, new NetFailure.BadFrame(remoteAddress(ctx), "the first message is not a PeerHello"));
      return;
    }
    listener.onMessage(sender.get(), message);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    reject(ctx, new NetFailure.BadFrame(remoteAddress(ctx), String.valueOf(cause.getMessage())));
  }

  private void reject(ChannelHandlerContext ctx, Failure failure) {
    failures.accept(failure);
    ctx.close();
  }

  private static String remoteAddress(ChannelHandlerContext ctx) {
    return String.valueOf(ctx.channel().remoteAddress());
  }
}
