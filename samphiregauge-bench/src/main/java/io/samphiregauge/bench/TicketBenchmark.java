package io.samphiregauge.bench;

import io.samphiregauge.core.ticket.RecordedResponse;
import io.samphiregauge.core.ticket.Settlement;
import io.samphiregauge.core.ticket.Ticket;
import io.samphiregauge.core.ticket.TicketLimits;
import io.samphiregauge.core.ticket.TicketRequest;
import io.samphiregauge.core.ticket.TicketTable;
import io.samphiregauge.schema.record.Incarnation;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the life cycle of a ticket in a table that holds a number of finished tickets. */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(3)
@State(Scope.Benchmark)
public class TicketBenchmark {
  private static final long FIRST_USE_MS = 1_000;
  private static final int MAX_RESPONSE_BYTES = 1_024;
  private static final int MAX_WAITERS = 16;
  private static final byte[] BODY = new byte[512];

  /** Number of finished tickets that the table holds. */
  @Param({"1000", "10000", "50000"})
  public int kept;

  private TicketTable<Integer> table;
  private long nowMs;

  /** Fills the table; afterwards the clock advances so that each new ticket expires an old one. */
  @Setup
  public void fill() {
    long recordMs = Math.max(FIRST_USE_MS, kept);
    TicketLimits limits =
        new TicketLimits(
            FIRST_USE_MS, recordMs, 2 * kept + 16, MAX_RESPONSE_BYTES, 1L << 30, MAX_WAITERS);
    table = new TicketTable<>(new Incarnation("vm0", 1L, 1L), limits, 0, 1);
    nowMs = 0;
    for (int i = 0; i < kept; i++) {
      runOne();
    }
  }

  /** Issues a ticket, uses it for a request and records the response. */
  @Benchmark
  public Optional<Settlement<Integer>> runOne() {
    nowMs++;
    Ticket ticket = table.issue(nowMs).value().orElseThrow();
    table.use(ticket, new TicketRequest("t1", "f"), 1, nowMs, Optional::empty);
    table.markDispatched(ticket);
    return table.complete(ticket, RecordedResponse.of(200, "application/json", BODY), nowMs);
  }
}
