package io.samphiregauge.core.dispatch;

import io.samphiregauge.core.backend.BackendServer;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What backend servers have said about themselves in their responses: that they leave, or that they
 * want no requests for a while. Decides whether a server may be contacted. Confined to one thread;
 * times are monotonic milliseconds.
 *
 * <p>A server that leaves is never contacted again, whatever its announcement says; only a later
 * start of the same server ends that. A wait ends by itself. After it, requests return as the
 * server's responses show room: each one allows two more, so that the demand that was held off does
 * not arrive as one burst.
 */
public final class ServerNotices {
  /** Time between requests that are sent without a preceding response, in case all were lost. */
  static final long TRIAL_PERIOD_MS = 250;

  /** Requests that each response allows after a wait. */
  public static final int PERMITS_PER_RESPONSE = 2;

  /** Responses after which a server receives requests without limit again. */
  private static final int RESPONSES_UNTIL_OPEN = 8;

  /** Time after which a server that was not contacted again is forgotten. */
  private static final long RETENTION_MS = 60_000;

  /** Capacity; of more leaving servers, the earliest are forgotten and long gone. */
  private static final int MAX_LEAVING = 4_096;

  private final Map<String, Long> leavingStartedMs = new LinkedHashMap<>();
  private final Map<String, Pause> pauses = new HashMap<>();

  /** The wait of one incarnation of a server, and its recovery afterwards. */
  private static final class Pause {
    private long waitUntilMs = Long.MIN_VALUE;
    private long nextTrialMs;
    private boolean contacted;
    private int permits;
    private int responses;

    void extend(long untilMs) {
      waitUntilMs = Math.max(waitUntilMs, untilMs);
      nextTrialMs = waitUntilMs;
      contacted = false;
      permits = 0;
      responses = 0;
    }

    boolean allows(long nowMs) {
      return nowMs >= waitUntilMs && (permits > 0 || nowMs >= nextTrialMs);
    }

    /** Returns whether this is the first request after the wait. */
    boolean recordContact(long nowMs) {
      boolean first = !contacted;
      contacted = true;
      if (permits > 0) {
        permits--;
      } else {
        nextTrialMs = nowMs + TRIAL_PERIOD_MS;
      }
      return first;
    }

    void recordResponse() {
      responses++;
      permits += PERMITS_PER_RESPONSE;
    }
  }

  /**
   * Records that a server has said that it leaves.
   *
   * @param server the server that responded
   * @return whether this was not known yet
   */
  public boolean recordLeaving(BackendServer server) {
    Optional<Long> known = Optional.ofNullable(leavingStartedMs.get(server.id()));
    if (known.filter(startedMs -> startedMs >= server.startedMs()).isPresent()) {
      return false;
    }
    leavingStartedMs.put(server.id(), server.startedMs());
    if (leavingStartedMs.size() > MAX_LEAVING) {
      leavingStartedMs.remove(leavingStartedMs.keySet().iterator().next());
    }
    return true;
  }

  /**
   * Records that a server wants no requests for a time.
   *
   * @param server the server that responded
   * @param waitMs the time, in milliseconds
   * @param nowMs current time
   * @return whether requests were allowed until now
   */
  public boolean recordWait(BackendServer server, long waitMs, long nowMs) {
    boolean allowed = mayContact(server, nowMs);
    pauses.values().removeIf(pause -> pause.nextTrialMs + RETENTION_MS < nowMs);
    pauses.computeIfAbsent(server.incarnation(), name -> new Pause()).extend(nowMs + waitMs);
    return allowed;
  }

  /**
   * Records that a server is chosen for a request.
   *
   * @param server the server
   * @param nowMs current time
   * @return whether it is the first time after a wait
   */
  public boolean recordContact(BackendServer server, long nowMs) {
    return pauseOf(server).map(pause -> pause.recordContact(nowMs)).orElse(false);
  }

  /**
   * Records a response that does not ask for a wait and is not a rejection.
   *
   * @param server the server that responded
   * @param sentAtMs time at which the server was chosen; a request from before the wait shows no
   *     room
   * @return whether more requests are allowed than before
   */
  public boolean recordResponse(BackendServer server, long sentAtMs) {
    Optional<Pause> recovering = pauseOf(server).filter(pause -> sentAtMs >= pause.waitUntilMs);
    recovering.ifPresent(Pause::recordResponse);
    recovering
        .filter(pause -> pause.responses >= RESPONSES_UNTIL_OPEN)
        .ifPresent(pause -> pauses.remove(server.incarnation()));
    return recovering.isPresent();
  }

  /** Returns whether no server has said anything that is still in effect. */
  public boolean isEmpty() {
    return leavingStartedMs.isEmpty() && pauses.isEmpty();
  }

  /**
   * Returns whether a server wants no request now. Unlike {@link #mayContact}, this does not depend
   * on the requests that were sent since a wait.
   *
   * @param server the server
   * @param nowMs current time
   */
  public boolean isClosed(BackendServer server, long nowMs) {
    return isLeaving(server)
        || pauseOf(server).filter(pause -> nowMs < pause.waitUntilMs).isPresent();
  }

  /**
   * Returns whether a server may be chosen for a request.
   *
   * @param server the server
   * @param nowMs current time
   */
  public boolean mayContact(BackendServer server, long nowMs) {
    return !isLeaving(server) && pauseOf(server).map(pause -> pause.allows(nowMs)).orElse(true);
  }

  /**
   * Returns the earliest time at which a server may be chosen for a request.
   *
   * @param server the server
   * @param nowMs current time
   * @return the time, at least {@code nowMs}; empty if the server leaves
   */
  public OptionalLong contactableAtMs(BackendServer server, long nowMs) {
    if (isLeaving(server)) {
      return OptionalLong.empty();
    }
    return mayContact(server, nowMs)
        ? OptionalLong.of(nowMs)
        : OptionalLong.of(pauseOf(server).orElseThrow().nextTrialMs);
  }

  /** Returns whether this start of a server, or a later one, has said that it leaves. */
  public boolean isLeaving(BackendServer server) {
    return Optional.ofNullable(leavingStartedMs.get(server.id()))
        .filter(startedMs -> startedMs >= server.startedMs())
        .isPresent();
  }

  private Optional<Pause> pauseOf(BackendServer server) {
    // Asked for each server of each choice, and mostly none has asked for a wait.
    return pauses.isEmpty()
        ? Optional.empty()
        : Optional.ofNullable(pauses.get(server.incarnation()));
  }
}
