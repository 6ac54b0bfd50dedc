package io.samphiregauge.core.admit;

import io.samphiregauge.core.engine.EngineView;
import io.samphiregauge.core.fair.FairQueue;
import io.samphiregauge.core.route.Placement;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * Schedules requests to engines: in fair order of the teams, only while the queue of the engine is
 * short, and only if the response can be complete before the deadline. A request is only refused
 * before it is sent, so the outcome {@code not_run} is accurate. Not thread-safe.
 *
 * <pre>{@code
 * scheduler.submit(request, nowMs).ifPresent(refusal -> refuse(refusal));
 * scheduler.nextDecision(nowMs).ifPresent(decision -> execute(decision));
 * }</pre>
 *
 * @param <T> type of the requests
 */
public final class RequestScheduler<T> {
  /**
   * Maximum queueing delay at an engine for which it receives more work. With short engine queues,
   * the fair order of the entries determines the order of service; two report intervals keep an
   * engine busy until its next report.
   */
  public static final double MAX_ENGINE_QUEUE_MS = 600;

  /**
   * An engine receives no more work once its running and queued sequences reach this multiple of
   * its slots.
   */
  private static final double MAX_OCCUPANCY = 1.15;

  /**
   * Maximum occupancy for a team that recently received more than its share. The difference to
   * {@link #MAX_OCCUPANCY} is reserved for other teams; their requests with tight deadlines would
   * otherwise be refused because one team fills the engines.
   */
  private static final double OVER_SHARE_MAX_OCCUPANCY = 1.0;

  /** Maximum number of teams, in fair order, whose first request is considered per decision. */
  private static final int MAX_TEAMS_TRIED = 4;

  /**
   * Safety factor on predicted latency: in the traces, responses were 40% longer than expected, and
   * engine load grows while a request runs.
   */
  private static final double LATENCY_SAFETY_FACTOR = 1.45;

  /** Time constant of the service rate estimate. */
  private static final double RATE_TIME_CONSTANT_MS = 5_000;

  /**
   * A request that waits for dispatch.
   *
   * @param team name of the team
   * @param weight weight of the team
   * @param cost expected cost in milliseconds of engine time
   * @param deadlineMs time by which the response must be complete
   * @param content the request
   */
  public record PendingRequest<T>(
      String team, double weight, double cost, long deadlineMs, T content) {
    /** Validates the arguments. */
    public PendingRequest {
      Objects.requireNonNull(team, "team");
      Objects.requireNonNull(content, "content");
    }
  }

  /** Decision on a queued request. */
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
   * Creates a scheduler with an empty queue.
   *
   * @param placer chooses engines for a request, based on the current view of the entry
   * @param costPerMs initial estimate of the service rate that this entry receives from the fleet,
   *     in milliseconds of engine time per millisecond
   */
  public RequestScheduler(Function<T, Optional<Placement>> placer, double costPerMs) {
    this.placer = placer;
    this.busyMs = RATE_TIME_CONSTANT_MS;
    this.dispatchedCost = costPerMs * RATE_TIME_CONSTANT_MS;
  }

  /** Returns the number of queued requests. */
  public int queuedRequests() {
    return queue.size();
  }

  /**
   * Queues a request, or refuses it if it would miss its deadline.
   *
   * @param pending the request
   * @param nowMs time in milliseconds
   * @return the refusal, or empty if the request was queued
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
   * Decides on the next request in fair order. Call it on each arrival, engine report and finished
   * request until it returns empty; record each dispatch in the view of the engines before the next
   * call.
   *
   * @param nowMs time in milliseconds
   * @return a decision, or empty if the queue is empty or no engine has capacity
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
   * Adjusts the accounted service of a team once the actual cost of a request is known.
   *
   * @param team name of the team
   * @param costDelta actual minus expected cost, in milliseconds of engine time
   */
  public void adjustCost(String team, double costDelta) {
    queue.addService(team, costDelta);
  }

  /**
   * Accounts for service that a team received through other entries.
   *
   * @param team name of the team
   * @param cost cost in milliseconds of engine time
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
    usage.recordCost(pending.team(), pending.weight(), pending.cost(), nowMs);
    dispatchedCost += pending.cost();
    return new Dispatch<>(pending, placement);
  }

  /** Adds the time in which requests were queued to the busy time, and decays both sums. */
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
