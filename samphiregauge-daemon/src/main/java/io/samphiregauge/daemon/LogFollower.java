package io.samphiregauge.daemon;

import io.netty.channel.EventLoopGroup;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.Codec;
import io.samphiregauge.net.HttpCaller;
import io.samphiregauge.schema.platform.RecordsPage;
import java.util.concurrent.TimeUnit;

/** Reads the log with long polls and posts what it reads to the control thread. */
final class LogFollower implements AutoCloseable {
  private static final int WAIT_MS = 1_000;
  private static final int TIMEOUT_MS = 3_000;
  private static final int RETRY_MS = 200;

  private final EventLoopGroup loops;
  private final HttpCaller caller;
  private final Address log;
  private final ControlLoop control;
  private volatile boolean closed;

  LogFollower(EventLoopGroup loops, Address log, ControlLoop control) {
    this.loops = loops;
    this.caller = new HttpCaller(loops);
    this.log = log;
    this.control = control;
  }

  /** Starts to read from an offset. */
  void follow(long fromOffset) {
    if (closed) {
      return;
    }
    String path = "/v1/streams/control/records?from=%d&wait_ms=%d".formatted(fromOffset, WAIT_MS);
    caller
        .get(log, path, TIMEOUT_MS)
        .thenAccept(
            body -> {
              Result<RecordsPage> page =
                  body.flatMap(bytes -> Codec.json().decode(bytes, RecordsPage.class));
              next(fromOffset, page);
            });
  }

  @Override
  public void close() {
    closed = true;
  }

  private void next(long fromOffset, Result<RecordsPage> page) {
    page.failure()
        .ifPresent(
            failure -> {
              control.post(new ControlEvent.LogUnreachable(failure));
              loops.schedule(() -> follow(fromOffset), RETRY_MS, TimeUnit.MILLISECONDS);
            });
    page.value()
        .ifPresent(
            read -> {
              control.post(new ControlEvent.PageRead(read));
              follow(fromOffset + read.getRecords().size());
            });
  }
}
