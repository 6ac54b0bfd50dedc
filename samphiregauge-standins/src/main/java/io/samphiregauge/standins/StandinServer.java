package io.samphiregauge.standins;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.util.concurrent.EventExecutor;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.HttpServer;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * HTTP front of a stand-in. Every call is handed to one event loop, which owns the state of the
 * stand-in; so do the functions that tests call.
 */
final class StandinServer implements AutoCloseable {
  private static final String CONTROL = "/control/";
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

  private final EventExecutor owner;
  private final ChannelGroup connections;
  private final Consumer<Call> onCall;
  private final HttpServer server;

  private StandinServer(String name, EventLoopGroup loops, Address address, Consumer<Call> onCall) {
    this.owner = loops.next();
    this.connections = new DefaultChannelGroup(owner);
    this.onCall = onCall;
    this.server =
        HttpServer.start(loops, address, MAX_HEADER_BYTES, this::handlers)
            .value()
            .orElseThrow(() -> new StandinException(name, address));
  }

  static StandinServer start(
      String name, EventLoopGroup loops, Address address, Consumer<Call> onCall) {
    return new StandinServer(name, loops, address, onCall);
  }

  Address address() {
    return server.address();
  }

  /** Returns milliseconds of the monotonic clock that the stand-ins use. */
  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  /** Runs a task on the owner of the state. */
  void run(Runnable task) {
    owner.execute(task);
  }

  /** Runs a task on the owner of the state after a delay, at once where there is none. */
  void runAfterMs(long delayMs, Runnable task) {
    runAfterUs(TimeUnit.MILLISECONDS.toMicros(delayMs), task);
  }

  /** Runs a task on the owner of the state after a delay, at once where there is none. */
  void runAfterUs(long delayUs, Runnable task) {
    if (delayUs <= 0) {
      owner.execute(task);
      return;
    }
    owner.schedule(task, delayUs, TimeUnit.MICROSECONDS);
  }

  /** Asks the owner of the state and waits for the answer; for other threads only. */
  <T> T ask(Callable<T> question) {
    return owner.submit(question).syncUninterruptibly().getNow();
  }

  /** Severs all open connections without an answer, but for those of the control path. */
  void severAll() {
    connections.forEach(Call::sever);
  }

  @Override
  public void close() {
    server.close();
    connections.close();
  }

  private ChannelHandler[] handlers() {
    return new ChannelHandler[] {new HttpObjectAggregator(MAX_BODY_BYTES), new Handler()};
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      connections.add(ctx.channel());
      ctx.fireChannelActive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      Call call = new Call(ctx.channel(), request);
      if (call.path().startsWith(CONTROL)) {
        connections.remove(ctx.channel());
      }
      owner.execute(() -> onCall.accept(call));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
