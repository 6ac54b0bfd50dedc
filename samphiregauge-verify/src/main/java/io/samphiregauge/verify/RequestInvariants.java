package io.samphiregauge.verify;

import io.samphiregauge.verify.Observation.EngineCrash;
import io.samphiregauge.verify.Observation.ReplyReceived;
import io.samphiregauge.verify.Observation.RequestBlocked;
import io.samphiregauge.verify.Observation.ResponseReceived;
import io.samphiregauge.verify.Observation.ServiceRun;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Checks the replies to callers, and the runs and engine crashes of their requests. */
final class RequestInvariants {
  private static final int MAX_CRASHES = 2;

  static final List<Invariant.Definition> ALL =
      List.of(
          new Invariant.Definition(9, "runs_at_most_once", RequestInvariants::runsAtMostOnce),
          new Invariant.Definition(8, "not_run_is_true", RequestInvariants::notRunIsTrue),
          new Invariant.Definition(7, "own_answer", () -> RequestInvariants::ownResponse),
          new Invariant.Definition(0, "at_most_two_crashes", RequestInvariants::atMostTwoCrashes),
          new Invariant.Definition(
              0, "neighbours_not_condemned", () -> RequestInvariants::harmlessNotBlocked));

  private RequestInvariants() {}

  private static Invariant runsAtMostOnce() {
    Map<String, String> ticketsOfRuns = new HashMap<>();
    return observation -> {
      if (!(observation instanceof ServiceRun run)) {
        return Optional.empty();
      }
      return Optional.ofNullable(ticketsOfRuns.put(run.request(), run.ticket()))
          .map(
              firstTicket ->
                  "%s ran under %s and again under %s"
                      .formatted(run.request(), firstTicket, run.ticket()));
    };
  }

  /** Checks that a ticket with the reply not_run has no run, before or after that reply. */
  private static Invariant notRunIsTrue() {
    Set<String> executedTickets = new HashSet<>();
    Set<String> refusedTickets = new HashSet<>();
    return observation -> {
      if (observation instanceof ServiceRun run) {
        executedTickets.add(run.ticket());
      } else if (observation instanceof ReplyReceived received && received.reply().isNotRun()) {
        received.ticket().ifPresent(refusedTickets::add);
      } else {
        return Optional.empty();
      }
      return refusedTickets.stream()
          .filter(executedTickets::contains)
          .findFirst()
          .map(ticket -> "ticket " + ticket + " was reported as not_run, but ran");
    };
  }

  private static Optional<String> ownResponse(Observation observation) {
    return observation instanceof ResponseReceived response
            && !response.request().equals(response.producedBy())
        ? Optional.of(
            "%s received the response to %s".formatted(response.request(), response.producedBy()))
        : Optional.empty();
  }

  private static Invariant atMostTwoCrashes() {
    Map<String, Integer> crashes = new HashMap<>();
    return observation -> {
      if (!(observation instanceof EngineCrash crash)) {
        return Optional.empty();
      }
      int count = crashes.merge(crash.fingerprint(), 1, Integer::sum);
      return count > MAX_CRASHES && !crash.exempt()
          ? Optional.of("%s crashed %d engines".formatted(crash.fingerprint(), count))
          : Optional.empty();
    };
  }

  private static Optional<String> harmlessNotBlocked(Observation observation) {
    return observation instanceof RequestBlocked blocked && !blocked.crashes() && !blocked.exempt()
        ? Optional.of(blocked.fingerprint() + " was refused, but does not crash engines")
        : Optional.empty();
  }
}
