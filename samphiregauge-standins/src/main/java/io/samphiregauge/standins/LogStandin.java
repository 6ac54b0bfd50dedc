package io.samphiregauge.standins;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.Codec;
import io.samphiregauge.net.HttpServer;
import io.samphiregauge.schema.peer.RecordAt;
import io.samphiregauge.schema.platform.AppendAnswer;
import io.samphiregauge.schema.platform.RecordsPage;
import io.samphiregauge.schema.record.LogRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Stand-in of the append-only log service. All state belongs to one event loop. */
public final class LogStandin implements AutoCloseable {
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
  private static final int MAX_PAGE_RECORDS = 1_000;

  private final EventLoopGroup loop;
  private final List<RecordAt> records = new ArrayList<>();
  private final List<Runnable> waiting = new ArrayList<>();
  private final HttpServer server;

  private LogStandin(EventLoopGroup loop, Address address) {
    this.loop = loop;
    this.server =
        HttpServer.start(loop, address, MAX_HEADER_BYTES, this::handlers)
            .value()
            .orElseThrow(() -> new StandinException("log", address));
  }

  /**
   * Starts the stand-in.
   *
   * @param loop group with one event loop, which will own the records
   * @param address address to bind
   * @return the running stand-in
   */
  public static LogStandin start(EventLoopGroup loop, Address address) {
    return new LogStandin(loop, address);
  }

  /** Returns the address that callers use. */
  public Address address() {
    return server.address();
  }

  @Override
  public void close() {
    server.close();
  }

  private ChannelHandler[] handlers() {
    return new ChannelHandler[] {new HttpObjectAggregator(MAX_BODY_BYTES), new Handler()};
  }

  private void append(ChannelHandlerContext ctx, FullHttpRequest request) {
    Result<LogRecord> decoded =
        Codec.json().decode(ByteBufUtil.getBytes(request.content()), LogRecord.class);
    if (decoded.value().isEmpty()) {
      String reason = decoded.failure().map(f -> f.message()).orElse("");
      Answers.json(ctx, HttpResponseStatus.BAD_REQUEST, reason);
      return;
    }
    long offset = records.size();
    records.add(new RecordAt(offset, decoded.value().get()));
    Answers.json(ctx, HttpResponseStatus.OK, new AppendAnswer(offset));
    List<Runnable> woken = List.copyOf(waiting);
    waiting.clear();
    woken.forEach(Runnable::run);
  }

  private void read(ChannelHandlerContext ctx, int from, long waitMs) {
    if (from < records.size() || waitMs <= 0) {
      answer(ctx, from);
      return;
    }
    Runnable[] reader = new Runnable[1];
    reader[0] = () -> answer(ctx, from);
    waiting.add(reader[0]);
    loop.next()
        .schedule(
            () -> {
              if (waiting.remove(reader[0])) {
                answer(ctx, from);
              }
            },
            waitMs,
            TimeUnit.MILLISECONDS);
  }

  private void answer(ChannelHandlerContext ctx, int from) {
    int end = Math.min(records.size(), from + MAX_PAGE_RECORDS);
    List<RecordAt> page = from < end ? List.copyOf(records.subList(from, end)) : List.of();
    Answers.json(ctx, HttpResponseStatus.OK, new RecordsPage(0L, (long) records.size(), page));
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      if (request.method().equals(HttpMethod.POST)) {
        append(ctx, request);
        return;
      }
      QueryStringDecoder query = new QueryStringDecoder(request.uri());
      read(ctx, (int) number(query, "from"), number(query, "wait_ms"));
    }

    private long number(QueryStringDecoder query, String name) {
      return Long.parseLong(query.parameters().getOrDefault(name, List.of("0")).get(0));
    }
  }
}
