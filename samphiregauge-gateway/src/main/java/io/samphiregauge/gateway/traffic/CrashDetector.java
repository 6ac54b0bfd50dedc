package io.samphiregauge.gateway.traffic;

import io.netty.buffer.ByteBufUtil;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.suspect.CrashSuspects;
import io.samphiregauge.core.suspect.Fingerprint;
import io.samphiregauge.core.suspect.RequestTraits;
import io.samphiregauge.gateway.DualTimestamp;
import io.samphiregauge.schema.gateway.CrashRecord;
import java.util.List;
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
  private final Consumer<RequestTraits> completionHandler;

  CrashDetector(
      EventLoopContext context,
      Consumer<CrashRecord> publisher,
      Consumer<RequestTraits> completionHandler) {
    this.context = context;
    this.publisher = publisher;
    this.completionHandler = completionHandler;
  }

  /** Returns whether the request has crashed so many servers that it must not be sent again. */
  boolean isBlocked(RoutedRequest request) {
    CrashSuspects suspects = context.view().crashSuspects();
    return !suspects.isEmpty()
        && suspects.blockOf(traits(request), DualTimestamp.monotonicNowMs()).isPresent();
  }

  /** Records a response to the request, which clears its crashes. */
  void recordResponse(RoutedRequest request) {
    if (!context.view().crashSuspects().isEmpty()) {
      completionHandler.accept(traits(request));
    }
  }

  /** Schedules the check whether a server crashed, after the loss of its response to a request. */
  void onResponseLost(RoutedRequest request, ServerLoad load) {
    RequestTraits traits = traits(request);
    String incarnation = load.server().incarnation();
    context.schedule(
        CONFIRMATION_DELAY_MS,
        () -> {
          context.view();
          if (load.isUnreachable() || !context.serverLoads().isUsable(incarnation)) {
            publisher.accept(new CrashRecord(incarnation, List.of(traits.values())));
          }
        });
  }

  private static RequestTraits traits(RoutedRequest request) {
    return new RequestTraits(
        List.of(
            Fingerprint.of(
                request.meta().teamKey().orElse(""),
                request.httpRequest().method() + " " + request.httpRequest().uri(),
                ByteBufUtil.getBytes(request.httpRequest().content()))));
  }
}
