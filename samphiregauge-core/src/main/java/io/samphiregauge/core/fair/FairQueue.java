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
 * Weighted fair queue: serves backlogged teams in weighted max-min order of the service that they
 * received. Not thread-safe.
 *
 * <p>Each team has a virtual time: its accumulated service, in cost of prefill and decode, divided
 * by its weight. The backlogged team with the lowest virtual time is served next. A team that
 * becomes backlogged after an idle period starts at the lowest virtual time of the backlogged
 * teams: it receives no credit for the share that it left unused, and its full share from the next
 * decision on.
 *
 * <p>Fairness bound: between two teams that are continuously backlogged, service divided by weight
 * differs by at most {@code maxCost / weightA + maxCost / weightB}, where {@code maxCost} is the
 * largest cost of one request including its correction. Service at other entries adds at most the
 * amount that those served in one exchange interval.
 *
 * @param <T> type of the queued requests
 */
public final class FairQueue<T> {
  /**
   * A request in the queue.
   *
   * @param team name of the team
   * @param cost expected cost, in milliseconds of engine time
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

  /** Bound of {@link #addRemoteService} for a team of weight 1: two seconds of one engine. */
  private static final double MAX_REMOTE_LEAD_MS = 2_000;

  private final Map<String, Team<T>> teams = new HashMap<>();
  private final TreeSet<Team<T>> order =
      new TreeSet<>(
          Comparator.comparingDouble((Team<T> t) -> t.virtualTime).thenComparing(t -> t.name));
  private double systemVirtualTime;
  private int size;

  /** Returns the number of queued requests. */
  public int size() {
    return size;
  }

  /**
   * Appends a request to the queue of its team.
   *
   * @param team name of the team
   * @param weight weight of the team, greater than 0
   * @param cost expected cost, greater than 0
   * @param content the request
   */
  public void offer(String team, double weight, double cost, T content) {
    if (!(weight > 0) || !(cost > 0)) {
      throw new IllegalArgumentException(
          "weight and cost of a request of team \"%s\" must be greater than 0, got %s and %s"
              .formatted(team, weight, cost));
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

  /** Returns the request to serve next without removing it. */
  public Optional<Item<T>> peek() {
    return order.isEmpty() ? Optional.empty() : Optional.of(order.first().items.element());
  }

  /**
   * Returns the first request of each of the next teams, without removing it.
   *
   * @param maxTeams maximum number of teams
   * @return requests in order of service
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

  /** Removes the request to serve next, and adds its expected cost to the service of its team. */
  public Optional<Item<T>> poll() {
    return peek().flatMap(next -> poll(next.team()));
  }

  /**
   * Removes the first request of a team, and adds its expected cost to the service of the team.
   *
   * @param team name of the team
   * @return the request, or empty if the team has none
   */
  public Optional<Item<T>> poll(String team) {
    Optional<Item<T>> next = discard(team);
    next.ifPresent(item -> addService(team, item.cost()));
    return next;
  }

  /**
   * Removes the first request of a team without accounting for its cost, because it will not run.
   *
   * @param team name of the team
   * @return the request, or empty if the team has none
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
   * Adds service that is not yet accounted for, such as the difference between actual and expected
   * cost.
   *
   * @param team name of the team
   * @param cost cost in milliseconds of engine time; negative to reduce the service
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
   * Adds service that a team received through other entries.
   *
   * <p>For a team without queued requests, the virtual time is advanced to at most two seconds of
   * one engine ahead of the other teams. This bounds the delay before its next request is served
   * here.
   *
   * @param team name of the team
   * @param cost cost in milliseconds of engine time
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
   * Returns the cost of the queued requests that would be served before a new request of a team, if
   * no other requests arrive.
   *
   * @param team name of the team
   * @param weight weight of the team
   * @param cost expected cost of the new request
   * @return cost in milliseconds of engine time
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
