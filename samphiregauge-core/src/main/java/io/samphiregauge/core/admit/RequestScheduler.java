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
public final class RequestScheduler<T> {
  /**
   * An engine gets no more work while its prompts wait longer than this. Short queues at the
   * engines keep the order of the teams in the hands of the entries, and two report intervals keep
   * an engine busy until the next report.
   */
  public static final double MAX_ENGINE_QUEUE_MS = 600;

  /** An engine gets no more work while more than this share of its slots is taken or waited for. */
  private static final double MAX_OCCUPANCY = 1.15;

  /**
   * The same for a team that has had more than its share lately. The room above it is kept for the
   * others, whose requests with tight deadlines would be refused on engines that one team filled.
   */
  private static final double OVER_SHARE_MAX_OCCUPANCY = 1.0;

  /** A request waits for its team's turn only; other teams may go first, up to this number. */
  private static final int MAX_TEAMS_TRIED = 4;

  /** Answers may be longer than expected, by 40% in the traces, and engines fill up meanwhile. */
  private static final double LATENCY_SAFETY_FACTOR = 1.45;

  /** Time constant of the measured service rate. */
  private static final double RATE_TIME_CONSTANT_MS = 5_000;

  /**
   * A request at the gate.
   *
   * @param team team
   * @param weight weight of the team
   * @param cost expected cost in milliseconds of engine time
   * @param deadlineMs time by which the answer has to be whole
   * @param content the request
   */
  public record PendingRequest<T>(
      String team, double weight, double cost, long deadlineMs, T content) {
    /** Checks the arguments. */
    public PendingRequest {
      Objects.requireNonNull(team, "team");
      Objects.requireNonNull(content, "content");
    }
  }

  /** What to do with a request that was waiting. */
  public sealed interface Decision<T> {}

  /** Sends the request to its engines. */
  public record Dispatch<T>(PendingRequest<T> pending, Placement placement)
      implements Decision<T> {}

  /** Refuses the request with {@code not_run}. */
  public record Refuse<T>(PendingRequest<T> pending, Refusal refusal) implements Decision<T> {}

  private final FairQueue<PendingRequest<T>> queue = new FairQueue<>();
  private final TeamUsage usage = new TeamUsage();
  private final Function<T, Optional<Placement>> placer;
  private double dispatchedCost;
  private double busyMs;
  private long lastDecisionMs = Long.MIN_VALUE;

  /**
   * Makes a gate without requests.
   *
   * @param placer chooses engines for a request, from the entry's view at the time of the call
   * @param costPerMs expected service of the fleet for this entry until it is measured, in
   *     milliseconds of engine time per millisecond
   */
  public RequestScheduler(Function<T, Optional<Placement>> placer, double costPerMs) {
    this.placer = placer;
    this.busyMs = RATE_TIME_CONSTANT_MS;
    this.dispatchedCost = costPerMs * RATE_TIME_CONSTANT_MS;
  }

  /** Returns the number of requests that wait. */
  public int queuedRequests() {
    return queue.size();
  }

  /**
   * Lets a request wait, or refuses it because it would be late.
   *
   * @param pending the request
   * @param nowMs time
   * @return a refusal, or empty when the request waits
   */
  public Optional<Refusal> submit(PendingRequest<T> pending, long nowMs) {
    double costAhead = queue.costAhead(pending.team(), pending.weight(), pending.cost());
    double waitMs = costAhead * busyMs / Math.max(1, dispatchedCost);
    double totalMs = placer.apply(pending.content()).map(Placement::totalMs).orElse(0.0);
    double remainingMs = pending.deadlineMs() - nowMs;
    if (waitMs + totalMs * LATENCY_SAFETY_FACTOR > remainingMs) {
      return Optional.of(
          new Refusal.DeadlineExceeded(Math.round(waitMs + totalMs), Math.round(remainingMs)));
    }
    queue.offer(pending.team(), pending.weight(), pending.cost(), pending);
    return Optional.empty();
  }

  /**
   * Decides on the request that is to be served next; called on arrival, on each report and on each
   * finished request, until it decides nothing. The caller notes each dispatch in its view first.
   *
   * @param nowMs time
   * @return a decision, or empty while nothing waits or all engines have enough
   */
  public Optional<Decision<T>> nextDecision(long nowMs) {
    updateServiceRate(nowMs);
    for (FairQueue.Item<PendingRequest<T>> head : queue.heads(MAX_TEAMS_TRIED)) {
      Optional<Decision<T>> decision = decide(head.content(), nowMs);
      if (decision.isPresent()) {
        return decision;
      }
    }
    return Optional.empty();
  }

  private Optional<Decision<T>> decide(PendingRequest<T> pending, long nowMs) {
    double remainingMs = pending.deadlineMs() - nowMs;
    Optional<Placement> placement = placer.apply(pending.content());
    double totalMs = placement.map(Placement::totalMs).orElse(0.0);
    if (remainingMs <= 0 || totalMs * LATENCY_SAFETY_FACTOR > remainingMs) {
      queue.discard(pending.team());
      return Optional.of(
          new Refuse<>(
              pending, new Refusal.DeadlineExceeded(Math.round(totalMs), Math.round(remainingMs))));
    }
    double maxOccupancy =
        usage.exceedsShare(pending.team(), nowMs) ? OVER_SHARE_MAX_OCCUPANCY : MAX_OCCUPANCY;
    return placement
        .filter(candidate -> hasCapacity(candidate, maxOccupancy))
        .map(candidate -> dispatch(pending, candidate, nowMs));
  }

  /**
   * Corrects the charge of a team once the real cost of a request is known.
   *
   * @param team team
   * @param costDelta cost above the charged one; negative where too much was charged
   */
  public void adjustCost(String team, double costDelta) {
    queue.addService(team, costDelta);
  }

  /**
   * Charges service that other entries gave to a team.
   *
   * @param team team
   * @param cost cost
   */
  public void recordRemoteService(String team, double cost) {
    queue.addRemoteService(team, cost);
  }

  private static boolean hasCapacity(Placement placement, double maxOccupancy) {
    EngineView decode = placement.decodeEngine();
    return placement.queueMs() <= MAX_ENGINE_QUEUE_MS * maxOccupancy
        && decode.sequences() < maxOccupancy * decode.profile().slots();
  }

  private Decision<T> dispatch(PendingRequest<T> pending, Placement placement, long nowMs) {
    queue.poll(pending.team());
    usage.recordService(pending.team(), pending.weight(), pending.cost(), nowMs);
    dispatchedCost += pending.cost();
    return new Dispatch<>(pending, placement);
  }

  /** Counts time in which requests waited as busy, and forgets old service. */
  private void updateServiceRate(long nowMs) {
    double elapsed = lastDecisionMs == Long.MIN_VALUE ? 0 : nowMs - lastDecisionMs;
    lastDecisionMs = nowMs;
    if (queue.size() == 0 || elapsed <= 0) {
      return;
    }
    busyMs += elapsed;
    double decay = RATE_TIME_CONSTANT_MS / Math.max(RATE_TIME_CONSTANT_MS, busyMs);
    busyMs *= decay;
    dispatchedCost *= decay;
  }
}
