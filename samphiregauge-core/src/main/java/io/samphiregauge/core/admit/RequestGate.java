package io.samphiregauge.core.admit;

import io.samphiregauge.core.engine.EngineView;
import io.samphiregauge.core.fair.FairQueue;
import io.samphiregauge.core.route.Placement;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * Decides when a request goes to an engine: in fair order of the teams, only while the engine has
 * little waiting, and only if it can be answered in time. A refusal always comes before the request
 * goes anywhere, so its {@code not_run} is true. Used by one thread.
 *
 * <pre>{@code
 * gate.arrive(request, nowMs).ifPresent(refusal -> refuse(refusal));
 * gate.next(nowMs).ifPresent(decision -> carryOut(decision));
 * }</pre>
 *
 * @param <T> type of a request
 */
public final class RequestGate<T> {
  /**
   * An engine gets no more work while its prompts wait longer than this. Short queues at the
   * engines keep the order of the teams in the hands of the entries, and two report intervals keep
   * an engine busy until the next report.
   */
  public static final double MAX_ENGINE_QUEUE_MS = 600;

  /** An engine gets no more work while more than this share of its slots is taken or waited for. */
  private static final double MAX_FILL = 1.15;

  /**
   * The same for a team that has had more than its share lately. The room above it is kept for the
   * others, whose requests with tight deadlines would be refused on engines that one team filled.
   */
  private static final double OVER_SHARE_FILL = 1.0;

  /** A request waits for its team's turn only; other teams may go first, up to this number. */
  private static final int MAX_TEAMS_TRIED = 4;

  /** Answers may be longer than expected, by 40% in the traces, and engines fill up meanwhile. */
  private static final double PREDICTION_MARGIN = 1.45;

  /** Time constant of the measured service rate. */
  private static final double RATE_MS = 5_000;

  /**
   * A request at the gate.
   *
   * @param team team
   * @param weight weight of the team
   * @param cost expected cost in milliseconds of engine time
   * @param deadlineMs time by which the answer has to be whole
   * @param content the request
   */
  public record Arrival<T>(String team, double weight, double cost, long deadlineMs, T content) {
    /** Checks the arguments. */
    public Arrival {
      Objects.requireNonNull(team, "team");
      Objects.requireNonNull(content, "content");
    }
  }

  /** What to do with a request that was waiting. */
  public sealed interface Decision<T> {}

  /** Sends the request to its engines. */
  public record Dispatch<T>(Arrival<T> arrival, Placement placement) implements Decision<T> {}

  /** Refuses the request with {@code not_run}. */
  public record Refuse<T>(Arrival<T> arrival, Refusal refusal) implements Decision<T> {}

  private final FairQueue<Arrival<T>> queue = new FairQueue<>();
  private final TeamUsage usage = new TeamUsage();
  private final Function<T, Optional<Placement>> place;
  private double sentCost;
  private double busyMs;
  private long lastDecisionMs = Long.MIN_VALUE;

  /**
   * Makes a gate without requests.
   *
   * @param place chooses engines for a request, from the entry's view at the time of the call
   * @param costPerMs expected service of the fleet for this entry until it is measured, in
   *     milliseconds of engine time per millisecond
   */
  public RequestGate(Function<T, Optional<Placement>> place, double costPerMs) {
    this.place = place;
    this.busyMs = RATE_MS;
    this.sentCost = costPerMs * RATE_MS;
  }

  /** Returns the number of requests that wait. */
  public int waiting() {
    return queue.size();
  }

  /**
   * Lets a request wait, or refuses it because it would be late.
   *
   * @param arrival the request
   * @param nowMs time
   * @return a refusal, or empty when the request waits
   */
  public Optional<Refusal> arrive(Arrival<T> arrival, long nowMs) {
    double ahead = queue.costAhead(arrival.team(), arrival.weight(), arrival.cost());
    double waitMs = ahead * busyMs / Math.max(1, sentCost);
    double totalMs = place.apply(arrival.content()).map(Placement::totalMs).orElse(0.0);
    double leftMs = arrival.deadlineMs() - nowMs;
    if (waitMs + totalMs * PREDICTION_MARGIN > leftMs) {
      return Optional.of(new Refusal.Late(Math.round(waitMs + totalMs), Math.round(leftMs)));
    }
    queue.offer(arrival.team(), arrival.weight(), arrival.cost(), arrival);
    return Optional.empty();
  }

  /**
   * Decides on the request that is to be served next; called on arrival, on each report and on each
   * finished request, until it decides nothing. The caller notes each dispatch in its view first.
   *
   * @param nowMs time
   * @return a decision, or empty while nothing waits or all engines have enough
   */
  public Optional<Decision<T>> next(long nowMs) {
    age(nowMs);
    for (FairQueue.Waiting<Arrival<T>> head : queue.heads(MAX_TEAMS_TRIED)) {
      Optional<Decision<T>> decision = decide(head.content(), nowMs);
      if (decision.isPresent()) {
        return decision;
      }
    }
    return Optional.empty();
  }

  private Optional<Decision<T>> decide(Arrival<T> arrival, long nowMs) {
    double leftMs = arrival.deadlineMs() - nowMs;
    Optional<Placement> placement = place.apply(arrival.content());
    double totalMs = placement.map(Placement::totalMs).orElse(0.0);
    if (leftMs <= 0 || totalMs * PREDICTION_MARGIN > leftMs) {
      queue.drop(arrival.team());
      return Optional.of(
          new Refuse<>(arrival, new Refusal.Late(Math.round(totalMs), Math.round(leftMs))));
    }
    double fill = usage.overShare(arrival.team(), nowMs) ? OVER_SHARE_FILL : MAX_FILL;
    return placement
        .filter(choice -> hasRoom(choice, fill))
        .map(choice -> send(arrival, choice, nowMs));
  }

  /**
   * Corrects the charge of a team once the real cost of a request is known.
   *
   * @param team team
   * @param cost cost above the charged one; negative where too much was charged
   */
  public void correct(String team, double cost) {
    queue.charge(team, cost);
  }

  /**
   * Charges service that other entries gave to a team.
   *
   * @param team team
   * @param cost cost
   */
  public void servedElsewhere(String team, double cost) {
    queue.chargeElsewhere(team, cost);
  }

  private static boolean hasRoom(Placement choice, double fill) {
    EngineView decode = choice.decodeEngine();
    return choice.queueMs() <= MAX_ENGINE_QUEUE_MS * fill
        && decode.sequences() < fill * decode.profile().slots();
  }

  private Decision<T> send(Arrival<T> arrival, Placement placement, long nowMs) {
    queue.poll(arrival.team());
    usage.served(arrival.team(), arrival.weight(), arrival.cost(), nowMs);
    sentCost += arrival.cost();
    return new Dispatch<>(arrival, placement);
  }

  /** Counts time in which requests waited as busy, and forgets old service. */
  private void age(long nowMs) {
    double elapsed = lastDecisionMs == Long.MIN_VALUE ? 0 : nowMs - lastDecisionMs;
    lastDecisionMs = nowMs;
    if (queue.size() == 0 || elapsed <= 0) {
      return;
    }
    busyMs += elapsed;
    double keep = RATE_MS / Math.max(RATE_MS, busyMs);
    busyMs *= keep;
    sentCost *= keep;
  }
}
