package io.samphiregauge.standins;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.samphiregauge.net.Address;
import io.samphiregauge.schema.peer.RecordAt;
import io.samphiregauge.schema.platform.AppendAnswer;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.standin.LogFaults;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Stand-in for the append-only log service, with configurable faults.
 *
 * <pre>{@code
 * LogStandin log = LogStandin.start(loops, new Address("127.0.0.1", 0));
 * log.setAppendFault(record -> new AppendFault.Effect(1, false, 0));
 * }</pre>
 */
public final class LogStandin implements AutoCloseable {
  private static final String RECORDS_PATH = "/v1/streams/control/records";

  private final RetainedRecords records = new RetainedRecords();
  private final LogFaultState faultState = new LogFaultState();
  private final TokenBucket appendLimiter = new TokenBucket();
  private final List<Runnable> pendingReads = new ArrayList<>();
  private final AtomicReference<AppendFault> appendFault =
      new AtomicReference<>(record -> AppendFault.Effect.NONE);
  private final StandinServer server;

  private LogStandin(EventLoopGroup loops, Address address) {
    this.server = StandinServer.start("log", loops, address, this::handle);
  }

  /**
   * Starts the stand-in.
   *
   * @param loops event loops; one of them owns the records
   * @param address address to bind
   * @return the running stand-in
   */
  public static LogStandin start(EventLoopGroup loops, Address address) {
    return new LogStandin(loops, address);
  }

  /** Returns the bound address. */
  public Address address() {
    return server.address();
  }

  /**
   * Sets the function that injects faults into appends.
   *
   * @param fault called for each append, on the event loop that owns the records
   */
  public void setAppendFault(AppendFault fault) {
    appendFault.set(fault);
  }

  /**
   * Sets faults; they are in effect when the method returns.
   *
   * @param faults faults to change; absent ones keep their values
   */
  public void setFaults(LogFaults faults) {
    server.callAndWait(
        () -> {
          applyFaults(faults);
          return true;
        });
  }

  /**
   * Returns the records that have not expired.
   *
   * @return the records, ordered by offset
   */
  public List<RecordAt> records() {
    return server.callAndWait(records::all);
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(HttpExchange exchange) {
    if (exchange.path().equals("/control/faults")) {
      exchange.decodeBody(
          LogFaults.class,
          faults -> {
            applyFaults(faults);
            exchange.respondOk("set");
          });
      return;
    }
    if (!exchange.path().equals(RECORDS_PATH)) {
      exchange.respondNotFound();
      return;
    }
    if (faultState.isDown()) {
      exchange.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, "The log is down.");
      return;
    }
    if (exchange.method().equals("POST")) {
      exchange.decodeBody(LogRecord.class, record -> append(exchange, record));
      return;
    }
    expireRecords();
    read(exchange, exchange.queryNumber("from"), exchange.queryNumber("wait_ms"));
  }

  private void applyFaults(LogFaults faults) {
    faultState.update(faults);
    if (faultState.isDown()) {
      pendingReads.clear();
      server.resetAllConnections();
    }
  }

  private void append(HttpExchange exchange, LogRecord record) {
    if (!appendLimiter.tryAcquire(StandinServer.nowMs(), faultState.appendsPerSecond())) {
      exchange.respond(HttpResponseStatus.TOO_MANY_REQUESTS, "The rate limit is exceeded.");
      return;
    }
    AppendFault.Effect injected = appendFault.get().effectFor(record);
    AppendFault.Effect configured = faultState.nextAppendEffect();
    if (injected.copies() == 0) {
      exchange.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, "The log is down.");
      return;
    }
    long offset = records.append(record, StandinServer.nowMs());
    for (int copy = 1; copy < Math.max(injected.copies(), configured.copies()); copy++) {
      records.append(record, StandinServer.nowMs());
    }
    expireRecords();
    completePendingReads();
    boolean sendsResponse = injected.sendsResponse() && configured.sendsResponse();
    Runnable response =
        sendsResponse
            ? () -> exchange.respondOk(new AppendAnswer(offset))
            : exchange::resetConnection;
    server.executeAfterMs(Math.max(injected.delayMs(), configured.delayMs()), response);
  }

  private void read(HttpExchange exchange, long from, long waitMs) {
    if (from < records.nextOffset() || waitMs <= 0) {
      exchange.respondOk(records.page(from));
      return;
    }
    Runnable completion = () -> exchange.respondOk(records.page(from));
    pendingReads.add(completion);
    server.executeAfterMs(
        waitMs,
        () -> {
          if (pendingReads.remove(completion)) {
            completion.run();
          }
        });
  }

  private void completePendingReads() {
    List<Runnable> reads = List.copyOf(pendingReads);
    pendingReads.clear();
    reads.forEach(Runnable::run);
  }

  private void expireRecords() {
    records.expire(faultState.retainRecords(), faultState.retainMs(), StandinServer.nowMs());
  }
}
