package io.samphiregauge.gateway.traffic;

import io.netty.buffer.ByteBufUtil;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.suspect.CrashTracker;
import io.samphiregauge.core.suspect.Fingerprint;
import io.samphiregauge.schema.gateway.CrashRecord;
import java.util.function.Consumer;

/**
 * Finds out which requests bring down the servers that run them, and tells the other entries. Used
 * by one event loop.
 *
 * <p>A lost answer alone says little, since connections break for other reasons too. It counts only
 * if the server cannot be reached or has started again soon after.
 */
final class CrashDetector {
  /** Time after a lost answer in which the end of its server shows. */
  private static final long CONFIRMATION_DELAY_MS = 1_500;

  private final EventLoopContext context;
  private final Consumer<CrashRecord> publisher;
  private final CrashTracker tracker = new CrashTracker();

  CrashDetector(EventLoopContext context, Consumer<CrashRecord> publisher) {
    this.context = context;
    this.publisher = publisher;
  }

  /** Takes a crash that an entry has published. */
  void recordCrash(CrashRecord crash) {
    tracker.recordCrash(crash.getFingerprint(), crash.getBackend());
  }

  boolean isBlocked(RoutedRequest request) {
    return !tracker.isEmpty() && tracker.isBlocked(fingerprint(request));
  }

  void recordResponse(RoutedRequest request) {
    if (!tracker.isEmpty()) {
      tracker.recordResponse(fingerprint(request));
    }
  }

  /** Notes that a server's answer was lost after the request went out. */
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
