package io.samphiregauge.core.room;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.TextHash;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.schema.peer.ServiceDemand;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * One entry's account of the room of each service: which servers are expected to accept a request,
 * and how many more requests the entry may send. Performs no I/O. Confined to one thread; times are
 * monotonic milliseconds.
 *
 * <pre>{@code
 * room.recordExchange(demandsOfOthers, group, nowMs);
 * if (room.freePlaces("checkout", nowMs) > 0) {
 *   List<ServerLoad> candidates = room.narrow("checkout", usableServers, nowMs);
 * }
 * }</pre>
 */
public final class RoomLedger implements ServiceRoom {
  private final Map<String, ServicePlaces> byService = new HashMap<>();
  private final Predicate<ServerLoad> usable;
  private final RandomSource random;
  private GroupState group = new GroupState(1, false, 0);

  /**
   * Creates an account without services.
   *
   * @param usable whether a server may be contacted now
   * @param random rounds fractions of places, and draws servers
   */
  public RoomLedger(Predicate<ServerLoad> usable, RandomSource random) {
    this.usable = usable;
    this.random = random;
  }

  /** Replaces the servers of all services. */
  public void update(Map<String, List<ServerLoad>> servers) {
    byService.forEach((name, places) -> places.update(servers.getOrDefault(name, List.of())));
    servers.forEach((name, loads) -> places(name).update(loads));
  }

  private ServicePlaces places(String service) {
    return byService.computeIfAbsent(service, name -> new ServicePlaces());
  }

  /** Records that a request for a service arrived at this entry. */
  public void recordArrival(String service, long nowMs) {
    places(service).recordArrival(nowMs);
  }

  /** Records that a server is chosen for a request. */
  public void recordChosen(ServerLoad load, long nowMs) {
    places(load.server().service()).recordChosen(nowMs);
  }

  /** Returns the demand at this entry, for each service that has some. */
  public List<ServiceDemand> ownDemands(long nowMs) {
    List<ServiceDemand> demands = new ArrayList<>();
    byService.forEach(
        (name, places) -> {
          int requests = places.arrivals(nowMs);
          if (requests > 0) {
            demands.add(new ServiceDemand(TextHash.crc32c(name), requests));
          }
        });
    return demands;
  }

  /**
   * Records that the loads of the other entries were applied to the servers.
   *
   * @param othersDemands demand at the other entries
   * @param newGroup what is known of the group
   * @param nowMs current time
   */
  public void recordExchange(List<ServiceDemand> othersDemands, GroupState newGroup, long nowMs) {
    group = newGroup;
    Map<Integer, Integer> requests = new HashMap<>();
    othersDemands.forEach(demand -> requests.put(demand.getService(), demand.getRequests()));
    byService.forEach(
        (name, places) ->
            places.recordExchange(
                requests.getOrDefault(TextHash.crc32c(name), 0), group, random, nowMs));
  }

  /**
   * Records that a server did not run a request.
   *
   * @param load the server
   * @param cause why it did not
   * @param sentAtMs time at which the request was sent
   * @param nowMs current time
   */
  public void recordRejection(ServerLoad load, RejectionCause cause, long sentAtMs, long nowMs) {
    if (cause.limitsRoom()) {
      limitOf(load).recordRejection(cause, sentAtMs, group.maxAgeMs(), nowMs);
    }
  }

  /** Records that a server accepted a request that was sent at a certain time. */
  public void recordAccepted(ServerLoad load, long sentAtMs, long nowMs) {
    places(load.server().service()).recordAccepted(load, sentAtMs, nowMs);
  }

  private PlaceLimit limitOf(ServerLoad load) {
    return places(load.server().service()).limitOf(load);
  }

  /** Returns the names of the services that have or had servers. */
  public List<String> services() {
    return List.copyOf(byService.keySet());
  }

  /** Returns the places of a service and their use, as far as known. */
  public ServiceUse use(String service, long nowMs) {
    return places(service).use(usable, nowMs);
  }

  @Override
  public int freePlaces(String service, long nowMs) {
    ServicePlaces places = places(service);
    return places.freePlaces(places.use(usable, nowMs), group, nowMs);
  }

  /**
   * Narrows the servers that a request may use to those that are expected to accept it. Never
   * leaves none.
   *
   * @param service name of the service
   * @param candidates servers that the request may use
   * @param nowMs current time
   * @return some of the candidates; all of them while the service has room and none waits
   */
  public List<ServerLoad> narrow(String service, List<ServerLoad> candidates, long nowMs) {
    ServicePlaces places = places(service);
    return places.spread(places.withRoom(candidates, nowMs), group, random, nowMs);
  }
}
