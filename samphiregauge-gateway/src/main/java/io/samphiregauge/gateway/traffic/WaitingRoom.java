package io.samphiregauge.gateway.traffic;

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
import java.util.function.LongSupplier;
import java.util.function.ObjLongConsumer;
import java.util.function.Supplier;

/**
 * The requests of this entry that wait for a place at a full service, with one {@link ServiceQueue}
 * for each service. Carries out what the queues decide. Confined to one event loop.
 */
final class WaitingRoom {
  /** Period of the decisions while requests wait and no event shows that room has become free. */
  private static final long PERIOD_MS = 50;

  private final Supplier<Optional<SiteConfig>> config;
  private final ServiceRoom room;
  private final LongSupplier clock;
  private final ObjLongConsumer<Runnable> scheduler;
  private final GatewayMetrics metrics;
  private final QueueLimits limits = QueueLimits.forMemory(Runtime.getRuntime().maxMemory());
  private final Map<String, ServiceQueue> queues = new HashMap<>();
  private final Map<Long, QueuedCaller> callers = new HashMap<>();
  private final CallerAges callerAges = new CallerAges();
  private long lastNumber;
  private long configVersion = -1;
  private boolean enabled;
  private boolean ticking;
  private boolean advanceScheduled;

  /**
   * Creates an empty waiting room.
   *
   * @param config provides the newest configuration
   * @param room tells how many requests may be sent to a service
   * @param clock monotonic time in milliseconds
   * @param scheduler runs a task on the event loop after a number of milliseconds
   * @param metrics receives the depth of the queues
   */
  WaitingRoom(
      Supplier<Optional<SiteConfig>> config,
      ServiceRoom room,
      LongSupplier clock,
      ObjLongConsumer<Runnable> scheduler,
      GatewayMetrics metrics) {
    this.config = config;
    this.room = room;
    this.clock = clock;
    this.scheduler = scheduler;
    this.metrics = metrics;
  }

  /** Returns whether the configuration calls for an order among the requests of its services. */
  boolean isEnabled() {
    Optional<SiteConfig> current = config.get();
    long version = current.map(SiteConfig::version).orElse(-1L);
    if (version != configVersion) {
      configVersion = version;
      enabled = current.filter(SiteConfig::hasCompetingRoutes).isPresent();
      current.ifPresent(changed -> scheduler.accept(() -> onConfigChange(changed), 0));
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
    long nowMs = clock.getAsLong();
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
   * @param forecastMs time until room for it is expected, in milliseconds
   */
  long returnAfterMs(QueuedRequest request, long forecastMs) {
    long nowMs = clock.getAsLong();
    return queueOf(request.work().service(), nowMs).returnAfterMs(request, forecastMs, nowMs);
  }

  /** Decides on the waiting requests soon, since room may have become free. */
  void onRoomChanged() {
    if (!callers.isEmpty()) {
      scheduleAdvance();
    }
  }

  private void onConfigChange(SiteConfig changed) {
    List.copyOf(callers.values()).forEach(caller -> caller.onConfigChange(changed));
    onRoomChanged();
  }

  private ServiceQueue queueOf(String service, long nowMs) {
    return queues.computeIfAbsent(service, name -> new ServiceQueue(limits, nowMs));
  }

  private void scheduleAdvance() {
    if (!advanceScheduled) {
      advanceScheduled = true;
      // Not at once: the event that freed a place may still be changing the loads.
      scheduler.accept(this::advance, 0);
    }
  }

  private void advance() {
    advanceScheduled = false;
    boolean open = isEnabled();
    long nowMs = clock.getAsLong();
    for (Map.Entry<String, ServiceQueue> entry : List.copyOf(queues.entrySet())) {
      ServiceQueue queue = entry.getValue();
      if (queue.size() > 0) {
        int free = open ? room.freePlaces(entry.getKey(), nowMs) : Integer.MAX_VALUE;
        apply(queue.advance(free, nowMs));
      }
      metrics.setQueue(entry.getKey(), queue.size(), queue.waitingBytes(), queue.oldestMs(nowMs));
    }
  }

  private void startTicking() {
    if (!ticking && !callers.isEmpty()) {
      ticking = true;
      scheduler.accept(this::tick, PERIOD_MS);
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
