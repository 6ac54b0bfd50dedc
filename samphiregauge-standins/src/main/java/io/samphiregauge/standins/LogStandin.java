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
 * Stand-in of the append-only log service.
 *
 * <pre>{@code
 * LogStandin log = LogStandin.start(loops, new Address("127.0.0.1", 0));
 * log.onAppend(record -> new AppendFault.Effect(1, false, 0));
 * }</pre>
 */
public final class LogStandin implements AutoCloseable {
  private static final String RECORDS = "/v1/streams/control/records";

  private final RetainedRecords records = new RetainedRecords();
  private final LogSwitches switches = new LogSwitches();
  private final RateLimit rate = new RateLimit();
  private final List<Runnable> waiting = new ArrayList<>();
  private final AtomicReference<AppendFault> fault =
      new AtomicReference<>(record -> AppendFault.Effect.NONE);
  private final StandinServer server;

  private LogStandin(EventLoopGroup loops, Address address) {
    this.server = StandinServer.start("log", loops, address, this::handle);
  }

  /**
   * Starts the stand-in.
   *
   * @param loops event loops; one of them will own the records
   * @param address address to bind
   * @return the running stand-in
   */
  public static LogStandin start(EventLoopGroup loops, Address address) {
    return new LogStandin(loops, address);
  }

  /** Returns the address that callers use. */
  public Address address() {
    return server.address();
  }

  /**
   * Sets the function that decides what happens to each append.
   *
   * @param next called on the owner of the records
   */
  public void onAppend(AppendFault next) {
    fault.set(next);
  }

  /**
   * Sets faults; they are in force when the method returns.
   *
   * @param faults the faults
   */
  public void set(LogFaults faults) {
    server.ask(
        () -> {
          switchOver(faults);
          return true;
        });
  }

  /**
   * Returns the records that have not expired.
   *
   * @return the records in order
   */
  public List<RecordAt> records() {
    return server.ask(records::all);
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(Call call) {
    if (call.path().equals("/control/faults")) {
      call.decode(
          LogFaults.class,
          faults -> {
            switchOver(faults);
            call.ok("set");
          });
      return;
    }
    if (!call.path().equals(RECORDS)) {
      call.notFound();
      return;
    }
    if (switches.isDown()) {
      call.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "The log is down.");
      return;
    }
    if (call.method().equals("POST")) {
      call.decode(LogRecord.class, record -> append(call, record));
      return;
    }
    expire();
    read(call, call.number("from"), call.number("wait_ms"));
  }

  private void switchOver(LogFaults faults) {
    switches.set(faults);
    if (switches.isDown()) {
      waiting.clear();
      server.severAll();
    }
  }

  private void append(Call call, LogRecord record) {
    if (!rate.take(StandinServer.nowMs(), switches.appendsPerSecond())) {
      call.answer(HttpResponseStatus.TOO_MANY_REQUESTS, "The rate limit is exceeded.");
      return;
    }
    AppendFault.Effect chosen = fault.get().on(record);
    AppendFault.Effect counted = switches.next();
    if (chosen.copies() == 0) {
      call.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "The log is down.");
      return;
    }
    long offset = records.append(record, StandinServer.nowMs());
    for (int copy = 1; copy < Math.max(chosen.copies(), counted.copies()); copy++) {
      records.append(record, StandinServer.nowMs());
    }
    expire();
    wake();
    boolean answered = chosen.answered() && counted.answered();
    Runnable answer = answered ? () -> call.ok(new AppendAnswer(offset)) : call::sever;
    server.runAfterMs(Math.max(chosen.delayMs(), counted.delayMs()), answer);
  }

  private void read(Call call, long from, long waitMs) {
    if (from < records.nextOffset() || waitMs <= 0) {
      call.ok(records.page(from));
      return;
    }
    Runnable reader = () -> call.ok(records.page(from));
    waiting.add(reader);
    server.runAfterMs(
        waitMs,
        () -> {
          if (waiting.remove(reader)) {
            reader.run();
          }
        });
  }

  private void wake() {
    List<Runnable> woken = List.copyOf(waiting);
    waiting.clear();
    woken.forEach(Runnable::run);
  }

  private void expire() {
    records.expire(switches.retainRecords(), switches.retainMs(), StandinServer.nowMs());
  }
}
