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

/** Writes whole answers of the entry itself. */
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

  /** Refuses a request that needs a ticket, and gives one. */
  static void writeTicketRequired(ChannelHandlerContext ctx, String ticket) {
    TicketFailure required = new TicketFailure.Required();
    ErrorDetail detail =
        new ErrorDetail(required.type(), required.message(), Outcome.NOT_RUN, ticket);
    writeJson(ctx, HttpResponseStatus.PRECONDITION_REQUIRED, new ErrorAnswer(detail));
  }

  static void writeTicketReply(ChannelHandlerContext ctx, TicketReply reply) {
    if (reply instanceof TicketReply.Completed answered) {
      writeRecorded(ctx, answered.response());
      return;
    }
    TicketReply.Refused refused = (TicketReply.Refused) reply;
    writeError(ctx, toEntryFailure(refused));
  }

  private static EntryFailure toEntryFailure(TicketReply.Refused refused) {
    int status =
        refused.reason() instanceof EntryFailure entry
            ? entry.status()
            : refused.outcome() == Outcome.NOT_RUN ? 503 : 409;
    return new EntryFailure(
        status, refused.reason().type(), refused.reason().message(), refused.outcome());
  }

  private static void writeRecorded(ChannelHandlerContext ctx, RecordedResponse answer) {
    write(
        ctx,
        HttpResponseStatus.valueOf(answer.status()),
        answer.contentType(),
        Unpooled.wrappedBuffer(answer.body()));
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
