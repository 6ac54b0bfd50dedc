package io.samphiregauge.daemon.traffic;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.samphiregauge.schema.config.Settings;
import io.samphiregauge.schema.entry.StatusAnswer;
import java.util.List;

/** Pages for operators and probes. */
final class StatusPages {
  private final TrafficParts parts;
  private final Shared shared;

  StatusPages(TrafficParts parts, Shared shared) {
    this.parts = parts;
    this.shared = shared;
  }

  /** Answers a request for one of the pages; false where the path is none of them. */
  boolean answer(ChannelHandlerContext ctx, String path) {
    if (path.equals("/healthz")) {
      CallerAnswers.text(ctx, HttpResponseStatus.OK, "ok\n");
    } else if (path.equals("/readyz")) {
      ready(ctx);
    } else if (path.equals("/metrics")) {
      CallerAnswers.json(ctx, HttpResponseStatus.OK, shared.metrics().values());
    } else if (path.equals("/v1/status")) {
      CallerAnswers.json(ctx, HttpResponseStatus.OK, status());
    } else {
      return false;
    }
    return true;
  }

  private void ready(ChannelHandlerContext ctx) {
    boolean ready = isReady();
    CallerAnswers.text(
        ctx,
        ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
        ready ? "ready\n" : "not ready\n");
  }

  private boolean isReady() {
    TrafficView view = parts.views().get();
    return view.ready() && view.fresh() && !shared.drain().isDraining();
  }

  private StatusAnswer status() {
    TrafficView view = parts.views().get();
    Settings settings = parts.settings();
    return new StatusAnswer(
        settings.getVm(),
        settings.getRegion(),
        settings.getFailureDomain(),
        parts.self(),
        isReady(),
        view.fresh(),
        shared.drain().isDraining(),
        view.state().upToOffset(),
        view.state().noteOffset(),
        shared.running().count(),
        List.copyOf(view.state().leases().values()));
  }
}
