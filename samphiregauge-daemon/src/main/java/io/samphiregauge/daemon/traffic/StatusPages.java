package io.samphiregauge.daemon.traffic;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.samphiregauge.schema.config.Settings;
import io.samphiregauge.schema.entry.StatusAnswer;
import java.util.List;

/** Serves health, readiness, metrics and status for operators and probes. */
final class StatusPages {
  private final TrafficContext context;
  private final SharedTrafficState shared;

  StatusPages(TrafficContext context, SharedTrafficState shared) {
    this.context = context;
    this.shared = shared;
  }

  /** Responds if the path is one of these pages; otherwise returns false without a response. */
  boolean handle(ChannelHandlerContext ctx, String path) {
    if (path.equals("/healthz")) {
      ResponseWriter.writeText(ctx, HttpResponseStatus.OK, "ok\n");
    } else if (path.equals("/readyz")) {
      writeReadiness(ctx);
    } else if (path.equals("/metrics")) {
      ResponseWriter.writeJson(ctx, HttpResponseStatus.OK, shared.metrics().values());
    } else if (path.equals("/v1/status")) {
      ResponseWriter.writeJson(ctx, HttpResponseStatus.OK, createStatus());
    } else {
      return false;
    }
    return true;
  }

  private void writeReadiness(ChannelHandlerContext ctx) {
    boolean ready = isReady();
    ResponseWriter.writeText(
        ctx,
        ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
        ready ? "ready\n" : "not ready\n");
  }

  private boolean isReady() {
    TrafficView view = context.viewSupplier().get();
    return view.ready() && view.fresh() && !shared.drainState().isDraining();
  }

  private StatusAnswer createStatus() {
    TrafficView view = context.viewSupplier().get();
    Settings settings = context.settings();
    return new StatusAnswer(
        settings.getVm(),
        settings.getRegion(),
        settings.getFailureDomain(),
        context.self(),
        isReady(),
        view.fresh(),
        shared.drainState().isDraining(),
        view.state().upToOffset(),
        view.state().noteOffset(),
        shared.runningCalls().count(),
        List.copyOf(view.state().leases().values()));
  }
}
