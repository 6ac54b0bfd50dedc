package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.suspect.RequestTraits;
import io.samphiregauge.net.HttpConnection;
import io.samphiregauge.schema.gateway.CrashRecord;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Detects crashes of backend servers from responses that are lost before they begin, and reports
 * each with all requests of this entry that were lost in it. Confined to one event loop.
 *
 * <p>Connections also break for other reasons, so a server counts as crashed only if it refuses a
 * new connection soon after the loss, or is unreachable or no longer announced some time later.
 */
final class CrashDetector {
  private static final Logger LOG = System.getLogger(CrashDetector.class.getName());

  /**
   * Time from a loss to the first check. A process that is killed loses all its connections, and
   * its listener, within this time.
   */
  private static final long PROBE_DELAY_MS = 50;

  /** Time after a loss within which the restart of a server is announced. */
  private static final long ANNOUNCEMENT_DELAY_MS = 1_500;

  /** Time for which further losses on a server are part of a crash that was reported. */
  private static final long REPORTED_RETENTION_MS = 2_000;

  /** Capacity in servers; losses on further ones are not checked. */
  private static final int MAX_CHECKS = 256;

  /** Capacity in lost requests for each server; the load on one server is below this. */
  private static final int MAX_LOST_REQUESTS = 128;

  private final EventLoopContext context;
  private final Consumer<CrashRecord> publisher;
  private final Map<String, CrashCheck> checks = new HashMap<>();

  CrashDetector(EventLoopContext context, Consumer<CrashRecord> publisher) {
    this.context = context;
    this.publisher = publisher;
  }

  /** The requests that were lost on one incarnation of a server. */
  private static final class CrashCheck {
    private final ServerLoad load;
    private final Set<RequestTraits> lost = new LinkedHashSet<>();
    private List<Runnable> waiting = new ArrayList<>();
    private boolean probing;
    private boolean reported;

    CrashCheck(ServerLoad load) {
      this.load = load;
    }

    String incarnation() {
      return load.server().incarnation();
    }

    void addLost(RequestTraits traits) {
      if (lost.size() < MAX_LOST_REQUESTS) {
        lost.add(traits);
      }
    }

    void notifyWaiting() {
      List<Runnable> notified = waiting;
      waiting = new ArrayList<>();
      notified.forEach(Runnable::run);
    }
  }

  /**
   * Checks whether a server crashed, after a response was lost before it began. All requests that
   * are lost on the server meanwhile share the check.
   *
   * @param traits traits of the lost request
   * @param load the server
   * @param cause why the response was lost
   * @param onChecked called after the first check, at most 400 ms later
   */
  void onResponseLost(RequestTraits traits, ServerLoad load, String cause, Runnable onChecked) {
    String incarnation = load.server().incarnation();
    Optional<CrashCheck> known = Optional.ofNullable(checks.get(incarnation));
    boolean reported = known.filter(check -> check.reported).isPresent();
    if (reported || (known.isEmpty() && checks.size() >= MAX_CHECKS)) {
      onChecked.run();
      return;
    }
    CrashCheck check = known.orElseGet(() -> startCheck(load, cause));
    check.addLost(traits);
    check.waiting.add(onChecked);
    if (!check.probing) {
      check.probing = true;
      context.schedule(PROBE_DELAY_MS, () -> probe(check));
    }
  }

  private CrashCheck startCheck(ServerLoad load, String cause) {
    CrashCheck check = new CrashCheck(load);
    checks.put(check.incarnation(), check);
    LOG.log(
        Level.INFO, "event=crash_suspected backend={0} cause=\"{1}\"", check.incarnation(), cause);
    context.schedule(ANNOUNCEMENT_DELAY_MS, () -> checkAnnouncement(check));
    return check;
  }

  /** Opens a new connection, which a server that ended refuses. */
  private void probe(CrashCheck check) {
    context
        .connectionPool()
        .acquire(
            EventLoopContext.parseAddress(check.load.server().address()),
            false,
            opened -> {
              check.probing = false;
              opened.value().ifPresent(HttpConnection::abandon);
              if (opened.value().isEmpty()) {
                check.load.recordConnectFailure(DualTimestamp.monotonicNowMs());
                report(check, "unreachable");
              }
              check.notifyWaiting();
            });
  }

  private void checkAnnouncement(CrashCheck check) {
    context.view();
    if (check.load.isUnreachable()) {
      report(check, "unreachable");
    } else if (!context.serverLoads().isAnnounced(check.incarnation())) {
      report(check, "not_announced");
    }
    if (!check.reported) {
      checks.remove(check.incarnation());
    }
  }

  private void report(CrashCheck check, String cause) {
    if (check.reported) {
      return;
    }
    check.reported = true;
    LOG.log(
        Level.INFO,
        "event=crash_confirmed backend={0} cause={1} requests={2}",
        check.incarnation(),
        cause,
        check.lost.size());
    context.metrics().increment("server_crashes");
    publisher.accept(
        new CrashRecord(
            check.incarnation(), check.lost.stream().map(RequestTraits::values).toList()));
    context.schedule(REPORTED_RETENTION_MS, () -> checks.remove(check.incarnation()));
  }
}
