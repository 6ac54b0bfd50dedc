package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.dispatch.ServerNotices;
import io.samphiregauge.core.result.Failure;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * Records what servers say about themselves in the heads of their responses, and logs when this
 * entry begins and ends to avoid one. Confined to one event loop.
 */
final class ServerNoticeRecorder {
  private static final Logger LOG = System.getLogger(ServerNoticeRecorder.class.getName());

  private final EventLoopContext context;

  ServerNoticeRecorder(EventLoopContext context) {
    this.context = context;
  }

  /**
   * Records the head of a response, whatever its status is.
   *
   * @param attempt the attempt to which the server responds
   * @param response the response
   * @param requestId identifier of the caller's attempt, for the log
   */
  void onResponseHead(ForwardAttempt attempt, ServerResponse response, String requestId) {
    context.room().onResponseHead(attempt, response);
    if (response.isMisdirected()) {
      // Another server responded, at an address that the expected one had before.
      return;
    }
    BackendServer server = attempt.load().server();
    if (response.isFromLeavingServer() && notices().recordLeaving(server)) {
      context.metrics().increment("servers_leaving");
      LOG.log(
          Level.INFO, "event=server_leaving backend={0} id={1}", server.incarnation(), requestId);
    }
    response
        .requestedWaitMs()
        .ifPresentOrElse(
            wait ->
                wait.fold(
                    waitMs -> recordWait(server, waitMs, requestId),
                    failure -> recordInvalidWait(attempt.load(), failure, requestId)),
            () -> recordRoom(attempt, response));
  }

  private boolean recordWait(BackendServer server, long waitMs, String requestId) {
    if (notices().recordWait(server, waitMs, DualTimestamp.monotonicNowMs())) {
      context.metrics().increment("server_waits");
      LOG.log(
          Level.INFO,
          "event=server_wait_begun backend={0} wait_ms={1} id={2}",
          server.incarnation(),
          Long.toString(waitMs),
          requestId);
    }
    return true;
  }

  /** Handles a wait that makes no sense as a failure of the server, which ends by itself. */
  private static boolean recordInvalidWait(ServerLoad load, Failure failure, String requestId) {
    load.recordFailure(DualTimestamp.monotonicNowMs());
    LOG.log(
        Level.INFO,
        "event=server_wait_invalid backend={0} id={1} cause=\"{2}\"",
        load.server().incarnation(),
        requestId,
        failure.message());
    return false;
  }

  private void recordRoom(ForwardAttempt attempt, ServerResponse response) {
    BackendServer server = attempt.load().server();
    boolean room =
        !response.isRejection()
            && notices().recordResponse(server, attempt.startedAt().monotonicMs());
    if (room) {
      context.heldRequests().resume(server.service(), ServerNotices.PERMITS_PER_RESPONSE);
    }
  }

  /** Records that a server is chosen for a request, and logs the first choice after a wait. */
  void onChosen(ServerLoad load) {
    context.room().onChosen(load);
    if (notices().recordContact(load.server(), DualTimestamp.monotonicNowMs())) {
      LOG.log(Level.INFO, "event=server_wait_ended backend={0}", load.server().incarnation());
    }
  }

  /** Returns whether a server that was chosen before wants no request any more. */
  boolean isClosed(BackendServer server) {
    return notices().isClosed(server, DualTimestamp.monotonicNowMs());
  }

  private ServerNotices notices() {
    return context.serverLoads().notices();
  }
}
