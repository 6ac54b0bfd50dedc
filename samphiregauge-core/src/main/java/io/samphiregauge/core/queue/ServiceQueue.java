package io.samphiregauge.core.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The requests that wait at one entry while a service is full. Decides which of them are sent as
 * places become free, and which are refused. Performs no I/O; not thread-safe.
 *
 * <pre>{@code
 * queue.offer(request, room.freePlaces(service, nowMs), nowMs).forEach(this::apply);
 * }</pre>
 *
 * <p>Nothing waits or is refused while there is a free place for it. A request whose caller is
 * expected to give up before its turn is refused as soon as that is known.
 */
public final class ServiceQueue {
  /** Time that a server needs at least to respond; with less left, sending is in vain. */
  private static final long MIN_RESPONSE_MS = 20;

  /**
   * Part of a forecast that is taken as certain. The rate of the last seconds may rise, so in doubt
   * a request waits.
   */
  private static final double CERTAIN_SHARE = 0.8;

  /** Time between two forecasts for all waiting requests. */
  private static final long FORECAST_PERIOD_MS = 100;

  /**
   * Time without any call, while requests wait, after which this process was stopped: rates from
   * before say nothing of now.
   */
  private static final long STOPPED_MS = 500;

  /** Bounds forecasts to a finite time: one request in 100 s. */
  private static final double MIN_RATE_PER_MS = 1e-5;

  /** Part of the remaining time for which a caller honours a delay. */
  private static final int RETURN_DIVISOR = 3;

  private final QueueLimits limits;
  private final Map<Long, Waiting> waiting = new LinkedHashMap<>();
  private final Map<String, KindSizes> sizes = new HashMap<>();
  private final ServedShares servedShares = new ServedShares();
  private final DispatchOrder order = new DispatchOrder(servedShares);
  private final ReturnCalendar calendar = new ReturnCalendar();
  private final SendRates rates;
  private long waitingBytes;
  private long lastCallMs;
  private long lastForecastMs;

  /**
   * Creates an empty queue.
   *
   * @param limits bounds of what waits
   * @param nowMs monotonic time in milliseconds
   */
  public ServiceQueue(QueueLimits limits, long nowMs) {
    this.limits = limits;
    this.rates = new SendRates(nowMs);
    this.lastCallMs = nowMs;
    this.lastForecastMs = nowMs;
  }

  /** Returns the number of requests that wait. */
  public int size() {
    return waiting.size();
  }

  /** Returns the bytes of the requests that wait. */
  public long waitingBytes() {
    return waitingBytes;
  }

  /** Returns the time for which the oldest request has waited, in milliseconds; 0 if none waits. */
  public long oldestMs(long nowMs) {
    return waiting.values().stream().findFirst().map(first -> nowMs - first.sinceMs()).orElse(0L);
  }

  /**
   * Decides on a request that has arrived.
   *
   * @param request the request
   * @param freePlaces number of requests that may be sent to the service now
   * @param nowMs monotonic time in milliseconds
   * @return the decisions, on this request and on others that it affects
   */
  public List<QueueDecision> offer(QueuedRequest request, int freePlaces, long nowMs) {
    noteCall(nowMs);
    KindSizes kindSizes = sizes.computeIfAbsent(request.kind(), kind -> new KindSizes());
    kindSizes.record(request.cost());
    OptionalDouble rate = rates.perMs(request.work().rank(), nowMs);
    Waiting arrived =
        new Waiting(
            request,
            calendar.classify(request, rate, nowMs),
            kindSizes.isLarge(request.cost()),
            nowMs);
    rates.recordArrived(arrived.rank(), nowMs);
    if (waiting.isEmpty() && freePlaces > 0) {
      return List.of(send(arrived, "room", nowMs));
    }
    if (waiting.isEmpty()) {
      rates.recordWaitBegun(nowMs);
    }
    waiting.put(arrived.number(), arrived);
    waitingBytes += request.bytes();
    List<QueueDecision> decisions = new ArrayList<>(advance(freePlaces, nowMs));
    double forecastMs = forecastMs(arrived, nowMs);
    if (waiting.containsKey(arrived.number())) {
      if (arrived.arrival() == Waiting.Arrival.EARLY_REPEAT) {
        decisions.add(refuse(arrived, QueueDecision.Reason.EARLY_REPEAT, nowMs));
      } else if (isTooLate(arrived, forecastMs, nowMs)) {
        decisions.add(refuse(arrived, QueueDecision.Reason.HOPELESS, nowMs));
      }
    }
    while (waiting.size() > limits.maxRequests() || waitingBytes > limits.maxBytes()) {
      decisions.add(
          refuse(order.last(waiting.values(), nowMs), QueueDecision.Reason.QUEUE_FULL, nowMs));
    }
    if (waiting.containsKey(arrived.number())) {
      decisions.add(
          new QueueDecision.Wait(request, placeOf(arrived, nowMs), Math.round(forecastMs)));
    }
    return decisions;
  }

  /**
   * Decides on the waiting requests after time has passed or the free places have changed. Call it
   * while requests wait, at least every 100 ms.
   *
   * @param freePlaces number of requests that may be sent to the service now
   * @param nowMs monotonic time in milliseconds
   * @return the decisions, in the order in which they are to be carried out
   */
  public List<QueueDecision> advance(int freePlaces, long nowMs) {
    noteCall(nowMs);
    List<QueueDecision> decisions = new ArrayList<>();
    refuseAll(
        waiting.values().stream().filter(known -> hasGivenUp(known, nowMs)).toList(),
        QueueDecision.Reason.HOPELESS,
        nowMs,
        decisions);
    for (int place = 0; place < freePlaces; place++) {
      Optional<DispatchOrder.Choice> choice = order.first(waiting.values(), nowMs);
      if (choice.isEmpty()) {
        return decisions;
      }
      Waiting first = choice.orElseThrow().waiting();
      decisions.add(send(first, choice.orElseThrow().reason(), nowMs));
    }
    if (nowMs - lastForecastMs >= FORECAST_PERIOD_MS) {
      lastForecastMs = nowMs;
      refuseAll(hopeless(nowMs), QueueDecision.Reason.HOPELESS, nowMs, decisions);
    }
    return decisions;
  }

  /** Removes a request whose caller has left or that has ended; returns whether it was waiting. */
  public boolean remove(long number) {
    Optional<Waiting> removed = Optional.ofNullable(waiting.remove(number));
    removed.ifPresent(known -> waitingBytes -= known.request().bytes());
    return removed.isPresent();
  }

  /**
   * Returns when the caller of a request that does not wait, and is refused for lack of room,
   * should return.
   *
   * @param request the request
   * @param forecastMs time until room for it is expected, in milliseconds
   * @param nowMs monotonic time in milliseconds
   * @return the time in milliseconds
   */
  public long returnAfterMs(QueuedRequest request, long forecastMs, long nowMs) {
    return book(request, forecastMs, nowMs).delayMs();
  }

  private ReturnCalendar.Booking book(QueuedRequest request, long forecastMs, long nowMs) {
    long maxDelayMs = (request.deadlineAtMs() - nowMs) / RETURN_DIVISOR;
    OptionalDouble rate = rates.perMs(request.work().rank(), nowMs);
    return calendar.book(request, rate, forecastMs, maxDelayMs, nowMs);
  }

  private void noteCall(long nowMs) {
    if (!waiting.isEmpty() && nowMs - lastCallMs > STOPPED_MS) {
      rates.restart(nowMs);
    }
    lastCallMs = nowMs;
  }

  private static boolean hasGivenUp(Waiting known, long nowMs) {
    return known.request().work().givesUpAtMs() - nowMs < MIN_RESPONSE_MS;
  }

  private static boolean isTooLate(Waiting known, double forecastMs, long nowMs) {
    long patienceMs = known.request().work().givesUpAtMs() - nowMs - MIN_RESPONSE_MS;
    return forecastMs * CERTAIN_SHARE > patienceMs;
  }

  /** Returns the requests that are not expected to be sent in time behind those before them. */
  private List<Waiting> hopeless(long nowMs) {
    List<Waiting> result = new ArrayList<>();
    int place = 1;
    int floorPlace = 1;
    for (Waiting known : waiting.values().stream().sorted(order.at(nowMs)).toList()) {
      boolean owed = order.isOwed(known);
      if (isTooLate(known, forecastMs(known, place, owed ? floorPlace : 0, nowMs), nowMs)) {
        result.add(known);
      } else {
        place++;
        floorPlace += owed ? 1 : 0;
      }
    }
    return result;
  }

  private void refuseAll(
      List<Waiting> refused,
      QueueDecision.Reason reason,
      long nowMs,
      List<QueueDecision> decisions) {
    refused.forEach(known -> decisions.add(refuse(known, reason, nowMs)));
  }

  private QueueDecision send(Waiting chosen, String reason, long nowMs) {
    remove(chosen.number());
    QueuedRequest request = chosen.request();
    rates.recordSent(chosen.rank(), nowMs);
    order.recordSent(chosen, nowMs);
    servedShares.record(chosen, true);
    calendar.onSent(request);
    return new QueueDecision.Send(request, nowMs - chosen.sinceMs(), reason);
  }

  private QueueDecision refuse(Waiting refused, QueueDecision.Reason reason, long nowMs) {
    QueuedRequest request = refused.request();
    long forecastMs = Math.round(forecastMs(refused, nowMs));
    remove(refused.number());
    servedShares.record(refused, false);
    ReturnCalendar.Booking booking = book(request, 0, nowMs);
    return new QueueDecision.Refuse(
        request,
        reason,
        nowMs - refused.sinceMs(),
        forecastMs,
        booking.delayMs(),
        booking.promised());
  }

  private double forecastMs(Waiting known, long nowMs) {
    Comparator<Waiting> comparator = order.at(nowMs);
    int floorPlace = 0;
    if (order.isOwed(known)) {
      floorPlace =
          1
              + (int)
                  waiting.values().stream()
                      .filter(order::isOwed)
                      .filter(other -> comparator.compare(other, known) < 0)
                      .count();
    }
    return forecastMs(known, placeOf(known, nowMs), floorPlace, nowMs);
  }

  /**
   * Returns the time until a request is expected to be sent; 0 if unknown. One that is late only
   * gets the places that newcomers of its rank leave.
   *
   * @param known the request
   * @param place its place in the order, from 1
   * @param floorPlace its place among the requests that are sent too rarely; 0 if it is none
   * @param nowMs monotonic time in milliseconds
   */
  private double forecastMs(Waiting known, int place, int floorPlace, long nowMs) {
    OptionalDouble rate = rates.perMs(known.rank(), nowMs);
    if (rate.isEmpty()) {
      return 0;
    }
    double newcomersPerMs =
        order.isBehind(known, nowMs) ? CERTAIN_SHARE * rates.arrivalsPerMs(known.rank(), nowMs) : 0;
    double inOrderMs = place / Math.max(MIN_RATE_PER_MS, rate.getAsDouble() - newcomersPerMs);
    if (floorPlace == 0) {
      return inOrderMs;
    }
    double floorCostPerMs =
        rates.perMs(0, nowMs).orElseThrow() * order.meanSentCost() * DispatchOrder.FLOOR_SHARE;
    return Math.min(inOrderMs, floorPlace * known.request().cost() / floorCostPerMs);
  }

  /** Returns the place of a request in the order, from 1. */
  private int placeOf(Waiting known, long nowMs) {
    Comparator<Waiting> comparator = order.at(nowMs);
    return 1
        + (int)
            waiting.values().stream().filter(other -> comparator.compare(other, known) < 0).count();
  }
}
