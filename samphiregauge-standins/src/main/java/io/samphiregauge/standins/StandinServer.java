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
 * HTTP server of a stand-in. HTTP requests, and the methods that tests call, run on a single event
 * loop, which owns the state of the stand-in.
 */
final class StandinServer implements AutoCloseable {
  private static final String CONTROL_PATH_PREFIX = "/control/";
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

  private final EventExecutor stateLoop;
  private final ChannelGroup connections;
  private final Consumer<HttpExchange> requestHandler;
  private final HttpServer server;

  private StandinServer(
      String name, EventLoopGroup loops, Address address, Consumer<HttpExchange> requestHandler) {
    this.stateLoop = loops.next();
    this.connections = new DefaultChannelGroup(stateLoop);
    this.requestHandler = requestHandler;
    this.server =
        HttpServer.start(loops, address, MAX_HEADER_BYTES, this::channelHandlers)
            .value()
            .orElseThrow(() -> new StandinException(name, address));
  }

  static StandinServer start(
      String name, EventLoopGroup loops, Address address, Consumer<HttpExchange> requestHandler) {
    return new StandinServer(name, loops, address, requestHandler);
  }

  Address address() {
    return server.address();
  }

  /** Returns the time in milliseconds of the monotonic clock that the stand-ins use. */
  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  /** Runs a task on the event loop that owns the state. */
  void execute(Runnable task) {
    stateLoop.execute(task);
  }

  /** Like {@link #executeAfterUs}, with a delay in milliseconds. */
  void executeAfterMs(long delayMs, Runnable task) {
    executeAfterUs(TimeUnit.MILLISECONDS.toMicros(delayMs), task);
  }

  /**
   * Runs a task on the event loop that owns the state after a delay in microseconds. Without a
   * delay, the task is submitted immediately.
   */
  void executeAfterUs(long delayUs, Runnable task) {
    if (delayUs <= 0) {
      stateLoop.execute(task);
      return;
    }
    stateLoop.schedule(task, delayUs, TimeUnit.MICROSECONDS);
  }

  /**
   * Runs a task on the event loop that owns the state and waits for its result. Must not be called
   * on that loop.
   */
  <T> T callAndWait(Callable<T> task) {
    return stateLoop.submit(task).syncUninterruptibly().getNow();
  }

  /** Resets all open connections without a response, except those that used the control path. */
  void resetAllConnections() {
    connections.forEach(HttpExchange::resetConnection);
  }

  @Override
  public void close() {
    server.close();
    connections.close();
  }

  private ChannelHandler[] channelHandlers() {
    return new ChannelHandler[] {
      new HttpObjectAggregator(MAX_BODY_BYTES), new RequestChannelHandler()
    };
  }

  private final class RequestChannelHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      connections.add(ctx.channel());
      ctx.fireChannelActive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      HttpExchange exchange = new HttpExchange(ctx.channel(), request);
      if (exchange.path().startsWith(CONTROL_PATH_PREFIX)) {
        connections.remove(ctx.channel());
      }
      stateLoop.execute(() -> requestHandler.accept(exchange));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
