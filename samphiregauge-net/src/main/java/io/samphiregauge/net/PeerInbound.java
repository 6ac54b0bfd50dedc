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

/** Decodes the frames of one connection; the first one says who sends. */
final class PeerInbound extends SimpleChannelInboundHandler<ByteBuf> {
  private final PeerReceiver receiver;
  private final Consumer<Failure> failures;
  private Optional<String> sender = Optional.empty();

  PeerInbound(PeerReceiver receiver, Consumer<Failure> failures) {
    this.receiver = receiver;
    this.failures = failures;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
    Result<PeerMessage> decoded =
        Codec.messagePack().decode(ByteBufUtil.getBytes(frame), PeerMessage.class);
    decoded.failure().ifPresent(failure -> refuse(ctx, failure));
    decoded.value().ifPresent(message -> take(ctx, message));
  }

  private void take(ChannelHandlerContext ctx, PeerMessage message) {
    if (message instanceof PeerHello hello) {
      sender = Optional.of(hello.getPeerAddress());
      return;
    }
    if (sender.isEmpty()) {
      refuse(ctx, new NetFailure.BadFrame(remote(ctx), "the first message is not a PeerHello"));
      return;
    }
    receiver.received(sender.get(), message);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    refuse(ctx, new NetFailure.BadFrame(remote(ctx), String.valueOf(cause.getMessage())));
  }

  private void refuse(ChannelHandlerContext ctx, Failure failure) {
    failures.accept(failure);
    ctx.close();
  }

  private static String remote(ChannelHandlerContext ctx) {
    return String.valueOf(ctx.channel().remoteAddress());
  }
}
