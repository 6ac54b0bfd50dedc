package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.site.Team;
import java.util.Optional;

/** Logs the decisions on one request, with its identifier, route and team. */
final class RequestDecisionLog {
  private final EventLoopContext context;
  private final RoutedRequest request;

  RequestDecisionLog(EventLoopContext context, RoutedRequest request) {
    this.context = context;
    this.request = request;
  }

  /**
   * Logs a decision.
   *
   * @param event name of the decision
   * @param fields further fields, as {@code name=value}, separated by spaces
   */
  void add(String event, String fields) {
    String team = request.team().map(Team::name).orElse("-");
    String allFields = fields + " route=" + request.route().name() + " team=" + team;
    context.decisionLog().add(event, request.attemptId(), allFields);
  }

  /**
   * Logs that the request is sent to a server, and the loads on which the choice is based.
   *
   * @param attempt the attempt
   * @param sendCount number of sends so far, without those that only prefill
   */
  void addForward(ForwardAttempt attempt, int sendCount) {
    String fields =
        ("backend=%s in_flight=%d queued_tokens=%d tokens=%d cache_source=%s backup=%s send=%d"
                + " left_ms=%d")
            .formatted(
                attempt.incarnation(),
                attempt.load().totalInFlight(),
                attempt.load().totalPromptTokens(),
                attempt.uncachedTokens(),
                incarnationOf(attempt.cacheSource()),
                incarnationOf(attempt.backup()),
                sendCount,
                request.deadlineAtMs() - DualTimestamp.monotonicNowMs());
    add(attempt.prefillOnly() ? "prefill" : "forward", fields);
  }

  /** Logs that the request is sent again after a server answered with an error. */
  void addRepeat(ForwardAttempt attempt, int status) {
    add("repeat", "backend=%s cause=status_%d".formatted(attempt.incarnation(), status));
  }

  /** Logs the first event of the response. */
  void addFirstEvent(ForwardAttempt attempt) {
    add("first_event", "took_ms=%d since_ms=%d".formatted(attempt.elapsedMs(), sinceArrivalMs()));
  }

  /**
   * Logs that the response of a server was lost.
   *
   * @param attempt the attempt that has ended
   * @param failure why the response was lost
   * @param begun whether the caller has received a part of the response
   */
  void addLost(ForwardAttempt attempt, Failure failure, boolean begun) {
    add(
        "answer_lost",
        "backend=%s cause=\"%s\" begun=%b"
            .formatted(attempt.incarnation(), failure.message(), begun));
  }

  /**
   * Logs that the request ends with an error of this entry.
   *
   * @param error the error that is sent
   * @param moreFields further fields, with a leading space
   */
  void addRefused(ErrorResponse error, String moreFields) {
    add(
        "refused",
        "status=%d type=%s took_ms=%d%s"
            .formatted(error.status(), error.type(), sinceArrivalMs(), moreFields));
  }

  /**
   * Logs that the response is broken off after its begin.
   *
   * @param reason why it cannot go on
   * @param moreFields further fields, with a leading space
   */
  void addStreamBroken(String reason, String moreFields) {
    add(
        "stream_broken",
        "cause=\"%s\" took_ms=%d%s".formatted(reason, sinceArrivalMs(), moreFields));
  }

  private static String incarnationOf(Optional<ServerLoad> load) {
    return load.map(known -> known.server().incarnation()).orElse("-");
  }

  /** Returns the time since the request was received completely, in milliseconds. */
  long sinceArrivalMs() {
    return DualTimestamp.monotonicNowMs() - request.arrivedAt().monotonicMs();
  }
}
