package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.queue.CallerAges;
import io.samphiregauge.core.queue.QueueDecision;
import io.samphiregauge.core.queue.QueueLimits;
import io.samphiregauge.core.queue.QueuedRequest;
import io.samphiregauge.core.queue.ServiceQueue;
import io.samphiregauge.core.room.ServiceRoom;
import io.samphiregauge.core.site.SiteConfig;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The requests of this entry that wait for a place at a full service, with one {@link ServiceQueue}
 * for each service. Carries out what the queues decide. Confined to one event loop.
 */
final class WaitingRoom {
  /** Period of the decisions while requests wait and no event shows that room has become free. */
  private static final long PERIOD_MS = 50;

  private final EventLoopContext context;
  private final ServiceRoom room;
  private final QueueLimits limits = QueueLimits.forMemory(Runtime.getRuntime().maxMemory());
  private final Map<String, ServiceQueue> queues = new HashMap<>();
  private final Map<Long, QueuedCaller> callers = new HashMap<>();
  private final CallerAges callerAges = new CallerAges();
  private long lastNumber;
  private long configVersion = -1;
  private boolean enabled;
  private boolean ticking;
  private boolean advanceScheduled;

  WaitingRoom(EventLoopContext context, ServiceRoom room) {
    this.context = context;
    this.room = room;
  }

  /** Returns whether the configuration calls for an order among the requests of its services. */
  boolean isEnabled() {
    Optional<SiteConfig> config = context.view().config();
    long version = config.map(SiteConfig::version).orElse(-1L);
    if (version != configVersion) {
      configVersion = version;
      enabled = config.filter(SiteConfig::hasCompetingRoutes).isPresent();
      config.ifPresent(changed -> context.execute(() -> onConfigChange(changed)));
    }
    return enabled;
  }

  /**
   * Describes a request that has arrived, for the decisions on it.
   *
   * @param request the request
   * @param givesUpAtMs monotonic time in milliseconds at which its caller gives up
   */
  QueuedRequest describe(RoutedRequest request, long givesUpAtMs) {
    lastNumber++;
    return QueuedRequestFactory.create(request, lastNumber, givesUpAtMs, callerAges);
  }

  /**
   * Offers a request that has not waited yet. The caller is told at once, or later, what is decided
   * on it.
   */
  void offer(QueuedRequest request, QueuedCaller caller) {
    String service = request.work().service();
    long nowMs = DualTimestamp.monotonicNowMs();
    callers.put(request.work().number(), caller);
    apply(queueOf(service, nowMs).offer(request, room.freePlaces(service, nowMs), nowMs));
    startTicking();
  }

  /** Removes a request that has ended; returns whether it was waiting. */
  boolean remove(String service, long number) {
    callers.remove(number);
    return Optional.ofNullable(queues.get(service))
        .filter(queue -> queue.remove(number))
        .isPresent();
  }

  /**
   * Returns when a refused caller should return.
   *
   * @param request its request, which does not wait
   * @param forecastMs time until room is expected for it
   */
  long returnAfterMs(QueuedRequest request, long forecastMs) {
    long nowMs = DualTimestamp.monotonicNowMs();
    return queueOf(request.work().service(), nowMs).returnAfterMs(request, forecastMs, nowMs);
  }

  /** Decides on the waiting requests soon, since room may have become free. */
  void onRoomChanged() {
    if (!callers.isEmpty()) {
      scheduleAdvance();
    }
  }

  private void onConfigChange(SiteConfig config) {
    List.copyOf(callers.values()).forEach(caller -> caller.onConfigChange(config));
    onRoomChanged();
  }

  private ServiceQueue queueOf(String service, long nowMs) {
    return queues.computeIfAbsent(service, name -> new ServiceQueue(limits, nowMs));
  }

  private void scheduleAdvance() {
    if (!advanceScheduled) {
      advanceScheduled = true;
      // Not at once: the event that freed a place may still be changing the loads.
      context.execute(this::advance);
    }
  }

  private void advance() {
    advanceScheduled = false;
    boolean open = isEnabled();
    long nowMs = DualTimestamp.monotonicNowMs();
    for (Map.Entry<String, ServiceQueue> entry : List.copyOf(queues.entrySet())) {
      ServiceQueue queue = entry.getValue();
      if (queue.size() > 0) {
        int free = open ? room.freePlaces(entry.getKey(), nowMs) : Integer.MAX_VALUE;
        apply(queue.advance(free, nowMs));
      }
      context
          .metrics()
          .setQueue(entry.getKey(), queue.size(), queue.waitingBytes(), queue.oldestMs(nowMs));
    }
  }

  private void startTicking() {
    if (!ticking && !callers.isEmpty()) {
      ticking = true;
      context.schedule(PERIOD_MS, this::tick);
    }
  }

  private void tick() {
    ticking = false;
    advance();
    startTicking();
  }

  private void apply(List<QueueDecision> decisions) {
    for (QueueDecision decision : decisions) {
      long number = decision.request().work().number();
      if (decision instanceof QueueDecision.Wait wait) {
        Optional.ofNullable(callers.get(number)).ifPresent(caller -> caller.onWait(wait));
      } else {
        Optional.ofNullable(callers.remove(number)).ifPresent(caller -> tell(caller, decision));
      }
    }
  }

  private static void tell(QueuedCaller caller, QueueDecision decision) {
    if (decision instanceof QueueDecision.Send send) {
      caller.onSend(send);
    } else if (decision instanceof QueueDecision.Refuse refuse) {
      caller.onRefuse(refuse);
    }
  }
}
