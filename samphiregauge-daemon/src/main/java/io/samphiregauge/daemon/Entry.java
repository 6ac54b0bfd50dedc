package io.samphiregauge.daemon;

import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.samphiregauge.core.Clock;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.route.RoutingPolicies;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.HttpServer;
import io.samphiregauge.schema.config.Settings;
import java.util.concurrent.TimeUnit;
import org.agrona.CloseHelper;

/**
 * One entry: serves callers and follows the log.
 *
 * <pre>{@code
 * try (Entry entry = Entry.start(settings, clock)) {
 *   Address address = entry.address();
 * }
 * }</pre>
 */
public final class Entry implements AutoCloseable {
  private static final int DEFAULT_HEADER_BYTES = 16 * 1024;
  private static final int DEFAULT_BODY_BYTES = 8 * 1024 * 1024;

  private final EventLoopGroup loops;
  private final ControlLoop control;
  private final LogFollower follower;
  private final HttpServer server;

  private Entry(Settings settings, Address log, Address http, Clock clock) {
    this.loops =
        new NioEventLoopGroup(
            settings.getTrafficThreads().orElse(Runtime.getRuntime().availableProcessors()));
    this.control = ControlLoop.start(clock, settings.getVm());
    this.follower = new LogFollower(loops, log, control);
    int maxBodyBytes = settings.getMaxBodyBytes().orElse(DEFAULT_BODY_BYTES);
    this.server =
        HttpServer.start(
                loops,
                http,
                settings.getMaxHeaderBytes().orElse(DEFAULT_HEADER_BYTES),
                () ->
                    new ChannelHandler[] {
                      new HttpObjectAggregator(maxBodyBytes),
                      new EntryHandler(control::snapshot, RoutingPolicies.leastLoad(), settings)
                    })
            .value()
            .orElseThrow();
    follower.follow(0);
  }

  /**
   * Starts an entry.
   *
   * @param settings its settings
   * @param clock clock of the process
   * @return the running entry, or which address is wrong
   */
  public static Result<Entry> start(Settings settings, Clock clock) {
    return Address.parse(settings.getLogUrl().replace("http://", ""))
        .flatMap(
            log ->
                Address.parse(settings.getHttpAddress())
                    .map(http -> new Entry(settings, log, http, clock)));
  }

  /** Returns the address that callers use. */
  public Address address() {
    return server.address();
  }

  @Override
  public void close() {
    CloseHelper.closeAll(server, follower, control);
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
