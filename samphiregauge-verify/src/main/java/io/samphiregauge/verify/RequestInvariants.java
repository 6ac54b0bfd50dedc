package io.samphiregauge.verify;

import io.samphiregauge.verify.Observation.AnswerOf;
import io.samphiregauge.verify.Observation.Condemned;
import io.samphiregauge.verify.Observation.Crash;
import io.samphiregauge.verify.Observation.Ran;
import io.samphiregauge.verify.Observation.Replied;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Promises to callers. */
final class RequestInvariants {
  private static final int MAX_CRASHES = 2;

  static final List<Invariant.Named> ALL =
      List.of(
          new Invariant.Named(9, "runs_at_most_once", RequestInvariants::runsAtMostOnce),
          new Invariant.Named(8, "not_run_is_true", RequestInvariants::notRunIsTrue),
          new Invariant.Named(7, "own_answer", () -> RequestInvariants::ownAnswer),
          new Invariant.Named(0, "at_most_two_crashes", RequestInvariants::atMostTwoCrashes),
          new Invariant.Named(0, "neighbours_not_condemned", () -> RequestInvariants::condemned));

  private RequestInvariants() {}

  private static Invariant runsAtMostOnce() {
    Map<String, String> ticketsOfRuns = new HashMap<>();
    return seen -> {
      if (!(seen instanceof Ran ran)) {
        return Optional.empty();
      }
      return Optional.ofNullable(ticketsOfRuns.put(ran.request(), ran.ticket()))
          .map(
              first ->
                  "%s ran under %s and again under %s"
                      .formatted(ran.request(), first, ran.ticket()));
    };
  }

  /** A run after the refusal breaks the promise as much as a run before it. */
  private static Invariant notRunIsTrue() {
    Set<String> ran = new HashSet<>();
    Set<String> refused = new HashSet<>();
    return seen -> {
      if (seen instanceof Ran run) {
        ran.add(run.ticket());
      } else if (seen instanceof Replied replied && replied.reply().isNotRun()) {
        replied.ticket().ifPresent(refused::add);
      } else {
        return Optional.empty();
      }
      return refused.stream()
          .filter(ran::contains)
          .findFirst()
          .map(ticket -> "not_run was said of " + ticket + ", which ran");
    };
  }

  private static Optional<String> ownAnswer(Observation seen) {
    return seen instanceof AnswerOf answer && !answer.request().equals(answer.answeredRequest())
        ? Optional.of(
            "%s got the answer to %s".formatted(answer.request(), answer.answeredRequest()))
        : Optional.empty();
  }

  private static Invariant atMostTwoCrashes() {
    Map<String, Integer> crashes = new HashMap<>();
    return seen -> {
      if (!(seen instanceof Crash crash)) {
        return Optional.empty();
      }
      int count = crashes.merge(crash.fingerprint(), 1, Integer::sum);
      return count > MAX_CRASHES && !crash.excused()
          ? Optional.of("%s crashed %d engines".formatted(crash.fingerprint(), count))
          : Optional.empty();
    };
  }

  private static Optional<String> condemned(Observation seen) {
    return seen instanceof Condemned condemned && !condemned.crashes() && !condemned.excused()
        ? Optional.of(condemned.fingerprint() + " is refused, but crashes nothing")
        : Optional.empty();
  }
}
