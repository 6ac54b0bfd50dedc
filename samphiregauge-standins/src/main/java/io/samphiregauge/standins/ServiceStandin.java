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
  private final ServiceSwitches switches = new ServiceSwitches();
  private final Map<RunKey, Integer> runs = new TreeMap<>();
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
  public void set(ServiceFaults faults) {
    server.ask(
        () -> {
          switches.set(faults);
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
    return server.ask(this::toRecord);
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(Call call) {
    switch (call.path()) {
      case "/control/record" -> call.ok(toRecord());
      case "/control/faults" ->
          call.decode(
              ServiceFaults.class,
              faults -> {
                switches.set(faults);
                call.ok("set");
              });
      default -> receive(call);
    }
  }

  private void receive(Call call) {
    calls++;
    if (call.hasKey()) {
      keyViolations++;
    }
    if (switches.takeCrashBefore()) {
      call.sever();
      return;
    }
    server.runAfterMs(switches.delayMs(), () -> run(call));
  }

  private void run(Call call) {
    String key = call.header(TICKET_HEADER).or(() -> call.header(IDEMPOTENCY_HEADER)).orElse("");
    int count = runs.merge(new RunKey(key, call.method(), call.path()), 1, Integer::sum);
    if (switches.takeCrashAfter()) {
      call.sever();
      return;
    }
    call.ok(new ServiceAnswer(name, call.path(), key, count));
  }

  private ServiceRecord toRecord() {
    return new ServiceRecord(
        keyViolations,
        calls,
        runs.entrySet().stream()
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
