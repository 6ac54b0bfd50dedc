package io.samphiregauge.daemon.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.samphiregauge.core.ticket.RecordedResponse;
import io.samphiregauge.core.ticket.TicketFailure;
import io.samphiregauge.core.ticket.TicketReply;
import io.samphiregauge.net.Codec;
import io.samphiregauge.schema.entry.ErrorAnswer;
import io.samphiregauge.schema.entry.ErrorDetail;
import io.samphiregauge.schema.entry.Outcome;
import java.nio.charset.StandardCharsets;

/** Writes complete responses that the entry itself creates, as opposed to forwarded ones. */
final class ResponseWriter {
  private static final String JSON_TYPE = "application/json";

  private ResponseWriter() {}

  static void writeJson(ChannelHandlerContext ctx, HttpResponseStatus status, Object message) {
    write(ctx, status, JSON_TYPE, Unpooled.wrappedBuffer(Codec.json().encode(message)));
  }

  static void writeText(ChannelHandlerContext ctx, HttpResponseStatus status, String text) {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    write(ctx, status, "text/plain; charset=utf-8", Unpooled.wrappedBuffer(body));
  }

  static void writeError(ChannelHandlerContext ctx, EntryFailure failure) {
    ErrorDetail detail = new ErrorDetail(failure.type(), failure.message(), failure.outcome());
    writeJson(ctx, HttpResponseStatus.valueOf(failure.status()), new ErrorAnswer(detail));
  }

  /** Rejects a request that lacks a ticket, and includes a new ticket for its repeat. */
  static void writeTicketRequired(ChannelHandlerContext ctx, String ticket) {
    TicketFailure required = new TicketFailure.Required();
    ErrorDetail detail =
        new ErrorDetail(required.type(), required.message(), Outcome.NOT_RUN, ticket);
    writeJson(ctx, HttpResponseStatus.PRECONDITION_REQUIRED, new ErrorAnswer(detail));
  }

  static void writeTicketReply(ChannelHandlerContext ctx, TicketReply reply) {
    if (reply instanceof TicketReply.Completed completed) {
      writeRecorded(ctx, completed.response());
      return;
    }
    TicketReply.Refused rejected = (TicketReply.Refused) reply;
    writeError(ctx, toEntryFailure(rejected));
  }

  private static EntryFailure toEntryFailure(TicketReply.Refused rejected) {
    int status =
        rejected.reason() instanceof EntryFailure entryFailure
            ? entryFailure.status()
            : rejected.outcome() == Outcome.NOT_RUN ? 503 : 409;
    return new EntryFailure(
        status, rejected.reason().type(), rejected.reason().message(), rejected.outcome());
  }

  private static void writeRecorded(ChannelHandlerContext ctx, RecordedResponse recorded) {
    write(
        ctx,
        HttpResponseStatus.valueOf(recorded.status()),
        recorded.contentType(),
        Unpooled.wrappedBuffer(recorded.body()));
  }

  private static void write(
      ChannelHandlerContext ctx, HttpResponseStatus status, String contentType, ByteBuf body) {
    var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    if (!contentType.isEmpty()) {
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    }
    ctx.channel().writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }
}
