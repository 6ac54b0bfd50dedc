package io.samphiregauge.daemon.traffic;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.ticket.TicketFailure;
import io.samphiregauge.core.ticket.TicketReply;
import io.samphiregauge.core.ticket.TicketRoute;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.HttpConnection;
import io.samphiregauge.net.ResponseListener;

/**
 * Forwards a request with a ticket to the entry that owns the ticket. The request is never sent
 * twice, and a failure is reported as {@code outcome_unknown}, since an earlier attempt may have
 * run there.
 */
final class TicketForwarder {
  private final EventLoopState loopState;
  private final ChannelHandlerContext ctx;
  private final TicketRoute.Forward owner;
  private boolean responseStarted;

  TicketForwarder(EventLoopState loopState, ChannelHandlerContext ctx, TicketRoute.Forward owner) {
    this.loopState = loopState;
    this.ctx = ctx;
    this.owner = owner;
  }

  void send(FullHttpRequest request, HttpHeaders headers) {
    headers.set(CallerHeaders.FORWARDED_HEADER, loopState.context().settings().getVm());
    headers.set(HttpHeaderNames.HOST, owner.httpAddress());
    headers.set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
    DefaultFullHttpRequest copy =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.uri(),
            Unpooled.copiedBuffer(request.content()),
            headers,
            EmptyHttpHeaders.INSTANCE);
    Result<Address> address = Address.parse(owner.httpAddress());
    address.failure().ifPresent(failure -> replyUnreachable());
    address
        .value()
        .ifPresent(
            ownerAddress ->
                loopState.pool().acquire(ownerAddress, false, result -> sendRequest(result, copy)));
  }

  private void sendRequest(Result<HttpConnection> result, DefaultFullHttpRequest request) {
    result.failure().ifPresent(failure -> replyUnreachable());
    result.value().ifPresent(connection -> connection.send(request, responseListener()));
  }

  private ResponseListener responseListener() {
    return new ResponseListener(
        part -> {
          responseStarted = true;
          ctx.channel().write(part);
        },
        () -> ctx.channel().flush(),
        failure -> onConnectionFailed());
  }

  private void onConnectionFailed() {
    if (responseStarted) {
      ctx.channel().close();
    } else {
      replyUnreachable();
    }
  }

  private void replyUnreachable() {
    String vm = owner.ticket().owner().getVm();
    ResponseWriter.writeTicketReply(
        ctx, TicketReply.outcomeUnknown(new TicketFailure.OwnerUnreachable(vm)));
  }
}
