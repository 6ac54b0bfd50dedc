package io.samphiregauge.daemon;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.core.Clock;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.route.RoutingPolicies;
import io.samphiregauge.daemon.traffic.TrafficParts;
import io.samphiregauge.daemon.traffic.TrafficServer;
import io.samphiregauge.daemon.traffic.TrafficView;
import io.samphiregauge.net.Address;
import io.samphiregauge.schema.config.Settings;
import io.samphiregauge.schema.record.Incarnation;
import java.security.SecureRandom;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
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
  // An entry that heard nothing from the log for longer cannot know which keys are valid.
  private static final long FRESH_MS = 3_000;

  private final EventLoopGroup loops;
  private final ControlLoop control;
  private final LogFollower follower;
  private final TrafficServer traffic;

  private Entry(
      EventLoopGroup loops, ControlLoop control, LogFollower follower, TrafficServer traffic) {
    this.loops = loops;
    this.control = control;
    this.follower = follower;
    this.traffic = traffic;
  }

  /**
   * Starts an entry.
   *
   * @param settings its settings
   * @param clock clock of the process
   * @return the running entry, or which address is wrong or taken
   */
  public static Result<Entry> start(Settings settings, Clock clock) {
    return Address.parse(settings.getLogUrl().replace("http://", ""))
        .flatMap(
            log ->
                Address.parse(settings.getHttpAddress())
                    .flatMap(http -> start(settings, log, http, clock)));
  }

  private static Result<Entry> start(Settings settings, Address log, Address http, Clock clock) {
    EventLoopGroup loops =
        new NioEventLoopGroup(
            settings.getTrafficThreads().orElse(Runtime.getRuntime().availableProcessors()));
    ControlLoop control = ControlLoop.start(clock, settings.getVm());
    LogFollower follower = new LogFollower(loops, log, control);
    Incarnation self =
        new Incarnation(
            settings.getVm(), System.currentTimeMillis(), new SecureRandom().nextLong());
    TrafficParts parts =
        new TrafficParts(
            settings,
            clock,
            self,
            () -> view(control.snapshot(), clock),
            RoutingPolicies.leastLoad(),
            (team, model, promptTokens, outputTokens) -> {},
            (backend, fingerprint, next) -> next.run());
    Result<Entry> entry =
        TrafficServer.start(loops, http, parts)
            .map(traffic -> new Entry(loops, control, follower, traffic));
    entry.value().ifPresent(started -> follower.follow(0));
    entry.failure().ifPresent(failure -> stop(loops, follower, control));
    return entry;
  }

  private static TrafficView view(Snapshot snapshot, Clock clock) {
    boolean fresh = snapshot.ready() && clock.nowMs() - snapshot.logContactMs() <= FRESH_MS;
    return new TrafficView(snapshot.state(), fresh, snapshot.ready(), Set.of(), Set.of());
  }

  /**
   * Returns the address that callers use.
   *
   * @return the address, with the port that was taken
   */
  public Address address() {
    return traffic.address();
  }

  /**
   * Shuts down without interrupting a request.
   *
   * @return completes when no call runs and no caller is connected; the entry is then to be closed
   */
  public CompletableFuture<Void> drain() {
    return traffic.drain();
  }

  @Override
  public void close() {
    traffic.close();
    stop(loops, follower, control);
  }

  private static void stop(EventLoopGroup loops, LogFollower follower, ControlLoop control) {
    CloseHelper.closeAll(follower, control);
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
