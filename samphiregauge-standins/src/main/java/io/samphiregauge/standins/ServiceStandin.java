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
 * Stand-in of a plain service. It does not look whether a call repeats an earlier one, so tests can
 * count the runs of each ticket.
 *
 * <pre>{@code
 * ServiceStandin booking = ServiceStandin.start(loops, new Address("127.0.0.1", 0), "booking");
 * int runs = booking.runs(ticket);
 * }</pre>
 */
public final class ServiceStandin implements AutoCloseable {
  /** Header of the ticket, which the service takes as idempotency key. */
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
   * @param loops event loops; one of them will own the state
   * @param address address to bind
   * @param name name of the service, which its answers repeat
   * @return the running stand-in
   */
  public static ServiceStandin start(EventLoopGroup loops, Address address, String name) {
    return new ServiceStandin(loops, address, name);
  }

  /** Returns the address that entries use. */
  public Address address() {
    return server.address();
  }

  /**
   * Sets faults; they are in force when the method returns.
   *
   * @param faults the faults
   */
  public void setFaults(ServiceFaults faults) {
    server.callAndWait(
        () -> {
          faultState.update(faults);
          return true;
        });
  }

  /**
   * Returns how often calls with a ticket have run.
   *
   * @param key ticket or idempotency key
   * @return number of runs over all paths
   */
  public int runs(String key) {
    return record().getRuns().stream()
        .filter(run -> run.getKey().equals(key))
        .mapToInt(ServiceRun::getRuns)
        .sum();
  }

  /**
   * Returns what the service has seen.
   *
   * @return runs and violations
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
