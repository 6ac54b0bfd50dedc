package io.samphiregauge.standins;

import io.netty.channel.EventLoopGroup;
import io.samphiregauge.net.Address;
import io.samphiregauge.schema.standin.ServiceAnswer;
import io.samphiregauge.schema.standin.ServiceFaults;
import io.samphiregauge.schema.standin.ServiceRecord;
import io.samphiregauge.schema.standin.ServiceRun;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for a plain service. It does not deduplicate calls, so tests can count the runs of each
 * ticket.
 *
 * <pre>{@code
 * ServiceStandin booking = ServiceStandin.start(loops, new Address("127.0.0.1", 0), "booking");
 * int runs = booking.runs(ticket);
 * }</pre>
 */
public final class ServiceStandin implements AutoCloseable {
  /** Header that carries the ticket, which the service uses as idempotency key. */
  public static final String TICKET_HEADER = "Samphire-Ticket";

  private static final String IDEMPOTENCY_HEADER = "Idempotency-Key";

  private final String name;
  private final StandinServer server;
  private final ServiceFaultState faultState = new ServiceFaultState();
  private final Map<RunKey, Integer> runCounts = new TreeMap<>();
  private int calls;
  private int keyViolations;

  private record RunKey(String key, String method, String path) implements Comparable<RunKey> {
    @Override
    public int compareTo(RunKey other) {
      return toString().compareTo(other.toString());
    }
  }

  private ServiceStandin(EventLoopGroup loops, Address address, String name) {
    this.name = name;
    this.server = StandinServer.start("service", loops, address, this::handle);
  }

  /**
   * Starts the stand-in.
   *
   * @param loops event loops; one of them owns the state
   * @param address address to bind
   * @param name name of the service, included in its responses
   * @return the running stand-in
   */
  public static ServiceStandin start(EventLoopGroup loops, Address address, String name) {
    return new ServiceStandin(loops, address, name);
  }

  /** Returns the bound address. */
  public Address address() {
    return server.address();
  }

  /**
   * Sets faults; they are in effect when the method returns.
   *
   * @param faults faults to change; absent ones keep their values
   */
  public void setFaults(ServiceFaults faults) {
    server.callAndWait(
        () -> {
          faultState.update(faults);
          return true;
        });
  }

  /**
   * Returns the number of runs of calls with a ticket or idempotency key.
   *
   * @param key ticket or idempotency key
   * @return number of runs over all methods and paths
   */
  public int runs(String key) {
    return record().getRuns().stream()
        .filter(run -> run.getKey().equals(key))
        .mapToInt(ServiceRun::getRuns)
        .sum();
  }

  /**
   * Returns the runs per ticket, and counts of calls and API key violations.
   *
   * @return runs and counts
   */
  public ServiceRecord record() {
    return server.callAndWait(this::toRecord);
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(HttpExchange exchange) {
    switch (exchange.path()) {
      case "/control/record" -> exchange.respondOk(toRecord());
      case "/control/faults" ->
          exchange.decodeBody(
              ServiceFaults.class,
              faults -> {
                faultState.update(faults);
                exchange.respondOk("set");
              });
      default -> handleServiceCall(exchange);
    }
  }

  private void handleServiceCall(HttpExchange exchange) {
    calls++;
    if (exchange.containsCallerKey()) {
      keyViolations++;
    }
    if (faultState.consumeCrashBeforeRun()) {
      exchange.resetConnection();
      return;
    }
    server.executeAfterMs(faultState.delayMs(), () -> runCall(exchange));
  }

  private void runCall(HttpExchange exchange) {
    String key =
        exchange.header(TICKET_HEADER).or(() -> exchange.header(IDEMPOTENCY_HEADER)).orElse("");
    int runCount =
        runCounts.merge(new RunKey(key, exchange.method(), exchange.path()), 1, Integer::sum);
    if (faultState.consumeCrashAfterRun()) {
      exchange.resetConnection();
      return;
    }
    exchange.respondOk(new ServiceAnswer(name, exchange.path(), key, runCount));
  }

  private ServiceRecord toRecord() {
    return new ServiceRecord(
        keyViolations,
        calls,
        runCounts.entrySet().stream()
            .map(
                run ->
                    new ServiceRun(
                        run.getKey().key(),
                        run.getKey().method(),
                        run.getKey().path(),
                        run.getValue()))
            .toList());
  }
}
