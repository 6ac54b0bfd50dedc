package io.samphiregauge.core.fair;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Waiting requests, taken in weighted max-min order of the service that each team has had.
 *
 * <p>Each team has a virtual time: its service, in cost of prefill and decode, over its weight. The
 * waiting team with the least virtual time is served next. A team that waits again after a pause
 * starts at the least virtual time of the waiting teams: its idle share was lent to the others, it
 * has no claim on the past, and it has its full share again from the next decision on.
 *
 * <p>Bound on drift: between two teams that both wait all the time, service over weight differs by
 * at most {@code maxCost / weightA + maxCost / weightB}, where {@code maxCost} is the largest cost
 * of one request including its correction. Charges for service at other entries add at most what
 * those served in one exchange interval.
 *
 * @param <T> type of a waiting request
 */
public final class FairQueue<T> {
  /**
   * A request in the queue.
   *
   * @param team team that it runs for
   * @param cost expected cost
   * @param content the request
   */
  public record Item<T>(String team, double cost, T content) {}

  private static final class Team<T> {
    private final String name;
    private final Deque<Item<T>> items = new ArrayDeque<>();
    private double weight = 1;
    private double virtualTime;
    private double backlogCost;

    private Team(String name) {
      this.name = name;
    }
  }

  private static final double MAX_REMOTE_LEAD_MS = 2_000;

  private final Map<String, Team<T>> teams = new HashMap<>();
  private final TreeSet<Team<T>> order =
      new TreeSet<>(
          Comparator.comparingDouble((Team<T> t) -> t.virtualTime).thenComparing(t -> t.name));
  private double systemVirtualTime;
  private int size;

  /** Returns the number of waiting requests. */
  public int size() {
    return size;
  }

  /**
   * Adds a request behind the others of its team.
   *
   * @param team name of the team
   * @param weight weight of the team, greater than 0
   * @param cost expected cost, greater than 0
   * @param content the request
   */
  public void offer(String team, double weight, double cost, T content) {
    if (!(weight > 0) || !(cost > 0)) {
      throw new IllegalArgumentException("weight and cost must be greater than 0");
    }
    Team<T> state = team(team);
    order.remove(state);
    if (state.items.isEmpty()) {
      state.virtualTime = Math.max(state.virtualTime, systemVirtualTime());
    }
    state.weight = weight;
    state.items.add(new Item<>(team, cost, content));
    state.backlogCost += cost;
    order.add(state);
    size++;
  }

  /** Returns the request to serve next, and leaves it in the queue. */
  public Optional<Item<T>> peek() {
    return order.isEmpty() ? Optional.empty() : Optional.of(order.first().items.element());
  }

  /**
   * Returns the first requests of the teams that are served next.
   *
   * @param maxTeams number of teams
   * @return requests in the order of service; they stay in the queue
   */
  public List<Item<T>> heads(int maxTeams) {
    List<Item<T>> heads = new ArrayList<>(Math.min(maxTeams, order.size()));
    for (Team<T> team : order) {
      if (heads.size() >= maxTeams) {
        break;
      }
      heads.add(team.items.element());
    }
    return heads;
  }

  /** Takes the request to serve next, and charges its expected cost to its team. */
  public Optional<Item<T>> poll() {
    return peek().flatMap(next -> poll(next.team()));
  }

  /**
   * Takes the first request of a team, and charges its expected cost.
   *
   * @param team name of the team
   * @return the request, or empty when the team has none
   */
  public Optional<Item<T>> poll(String team) {
    Optional<Item<T>> next = discard(team);
    next.ifPresent(item -> addService(team, item.cost()));
    return next;
  }

  /**
   * Takes the first request of a team without a charge, because it will not run.
   *
   * @param team name of the team
   * @return the request, or empty when the team has none
   */
  public Optional<Item<T>> discard(String team) {
    Team<T> state = team(team);
    if (state.items.isEmpty()) {
      return Optional.empty();
    }
    order.remove(state);
    systemVirtualTime = Math.max(systemVirtualTime, state.virtualTime);
    Item<T> next = state.items.remove();
    state.backlogCost = state.items.isEmpty() ? 0 : state.backlogCost - next.cost();
    size--;
    if (!state.items.isEmpty()) {
      order.add(state);
    }
    return Optional.of(next);
  }

  /**
   * Charges service that this queue has not charged: the difference between expected and real cost,
   * or service of the team at other entries.
   *
   * @param team name of the team
   * @param cost cost, negative where too much was charged
   */
  public void addService(String team, double cost) {
    Team<T> state = team(team);
    boolean queued = order.remove(state);
    state.virtualTime += cost / state.weight;
    if (queued) {
      order.add(state);
    }
  }

  /**
   * Charges service of a team at other entries.
   *
   * <p>A team that does not wait here is charged no further than two seconds of one engine ahead of
   * the others, so that it is served here again at most that much later.
   *
   * @param team name of the team
   * @param cost cost, in milliseconds of engine time
   */
  public void addRemoteService(String team, double cost) {
    Team<T> state = team(team);
    double maxVirtualTime = systemVirtualTime() + MAX_REMOTE_LEAD_MS / state.weight;
    if (state.items.isEmpty()) {
      state.virtualTime =
          Math.min(
              state.virtualTime + cost / state.weight, Math.max(state.virtualTime, maxVirtualTime));
      return;
    }
    addService(team, cost);
  }

  /**
   * Returns the cost that is served before a new request of a team, if all teams keep waiting.
   *
   * @param team name of the team
   * @param weight weight of the team
   * @param cost cost of the new request
   * @return cost of the requests ahead of it
   */
  public double costAhead(String team, double weight, double cost) {
    if (size == 0) {
      return 0;
    }
    Team<T> own = team(team);
    double start =
        own.items.isEmpty() ? Math.max(own.virtualTime, systemVirtualTime()) : own.virtualTime;
    double finish = start + (own.backlogCost + cost) / weight;
    double ahead = 0;
    for (Team<T> other : order) {
      if (other.virtualTime >= finish) {
        break;
      }
      ahead += Math.min(other.backlogCost, (finish - other.virtualTime) * other.weight);
    }
    return ahead;
  }

  private double systemVirtualTime() {
    return order.isEmpty() ? systemVirtualTime : order.first().virtualTime;
  }

  private Team<T> team(String name) {
    return teams.computeIfAbsent(name, Team::new);
  }
}
