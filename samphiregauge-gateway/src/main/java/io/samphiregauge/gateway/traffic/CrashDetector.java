package io.samphiregauge.gateway.traffic;

import io.netty.buffer.ByteBufUtil;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.suspect.CrashTracker;
import io.samphiregauge.core.suspect.Fingerprint;
import io.samphiregauge.schema.gateway.CrashRecord;
import java.util.function.Consumer;

/**
 * Detects requests that crash the servers that run them, blocks them, and reports the crashes to
 * the other entries. Confined to one event loop.
 *
 * <p>Connections also break for other reasons, so a lost response counts as a crash only if the
 * server is found to be unreachable or restarted {@link #CONFIRMATION_DELAY_MS} later.
 */
final class CrashDetector {
  /** Time after a lost response within which a crash of the server becomes visible. */
  private static final long CONFIRMATION_DELAY_MS = 1_500;

  private final EventLoopContext context;
  private final Consumer<CrashRecord> publisher;
  private final CrashTracker tracker = new CrashTracker();

  CrashDetector(EventLoopContext context, Consumer<CrashRecord> publisher) {
    this.context = context;
    this.publisher = publisher;
  }

  /** Records a crash that this or another entry has detected. */
  void recordCrash(CrashRecord crash) {
    tracker.recordCrash(crash.getFingerprint(), crash.getBackend());
  }

  /** Returns whether the request has crashed so many servers that it must not be sent again. */
  boolean isBlocked(RoutedRequest request) {
    return !tracker.isEmpty() && tracker.isBlocked(fingerprint(request));
  }

  /** Records a response to the request, which clears its crashes. */
  void recordResponse(RoutedRequest request) {
    if (!tracker.isEmpty()) {
      tracker.recordResponse(fingerprint(request));
    }
  }

  /** Schedules the check whether a server crashed, after the loss of its response to a request. */
  void onResponseLost(RoutedRequest request, ServerLoad load) {
    String fingerprint = fingerprint(request);
    String incarnation = load.server().incarnation();
    context.schedule(
        CONFIRMATION_DELAY_MS,
        () -> {
          context.view();
          if (load.isUnreachable() || !context.serverLoads().isUsable(incarnation)) {
            CrashRecord crash = new CrashRecord(fingerprint, incarnation);
            recordCrash(crash);
            publisher.accept(crash);
          }
        });
  }

  private static String fingerprint(RoutedRequest request) {
    return Fingerprint.of(
        request.meta().teamKey().orElse(""),
        request.httpRequest().method() + " " + request.httpRequest().uri(),
        ByteBufUtil.getBytes(request.httpRequest().content()));
  }
}
