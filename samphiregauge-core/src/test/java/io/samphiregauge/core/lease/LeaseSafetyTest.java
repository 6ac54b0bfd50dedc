package io.samphiregauge.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.Step;
import io.samphiregauge.core.log.Fold;
import io.samphiregauge.core.log.FoldStep;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.log.LogWriter;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Joined;
import io.samphiregauge.schema.record.LogRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against two processes acting under one lease, and expired leases that nobody claims. */
class LeaseSafetyTest {
  private static final String ROLE = "fleet/luzon";
  private static final int STEP_MS = 50;

  /**
   * Guards against two processes acting at once because of lost responses, delayed appends, pauses,
   * or clocks that run 5% fast or slow.
   */
  @Property(seed = "17", tries = 300)
  void atMostOneProcessMayActAtAnyTime(@ForAll long seed) {
    Simulation simulation = new Simulation(seed, 3);
    for (int i = 0; i < 1_500; i++) {
      simulation.maybePauseCandidate();
      simulation.step();
      assertThat(simulation.countActing())
          .as("seed %d at %d ms", seed, simulation.trueMs)
          .isLessThanOrEqualTo(1);
    }
  }

  /**
   * Guards against a resumed VM that acts under a lease that another process has claimed meanwhile,
   * because its monotonic clock stood still while it was suspended.
   */
  @Property(seed = "17", tries = 300)
  void atMostOneProcessMayActWhenVmsAreSuspended(@ForAll long seed) {
    Simulation simulation = new Simulation(seed, 3);
    for (int i = 0; i < 1_500; i++) {
      simulation.maybeSuspendCandidate();
      simulation.step();
      assertThat(simulation.countActing())
          .as("seed %d at %d ms", seed, simulation.trueMs)
          .isLessThanOrEqualTo(1);
    }
  }

  /**
   * Guards against a lease unclaimed for more than 10.5 s and one append after its holder stops.
   */
  @Property(seed = "17", tries = 50)
  void pausedHolderIsReplacedInTime(@ForAll long seed) {
    Simulation simulation = new Simulation(seed, 3);
    simulation.faulty = false;
    simulation.runFor(2_000);
    assertThat(simulation.countActing()).isEqualTo(1);
    Candidate holder =
        simulation.candidates.stream().filter(Candidate::mayAct).findFirst().orElseThrow();
    holder.pausedUntilMs = Long.MAX_VALUE;
    // 10.5 s on a clock that is 5% slow, and a read and an append of 100 ms each.
    simulation.runFor(11_300);
    assertThat(simulation.candidates.stream().filter(p -> p != holder && p.mayAct())).hasSize(1);
  }

  /** Guards against processes that wait for the lease duration after the lease was released. */
  @Test
  void releasedLeaseIsClaimedImmediately() {
    Simulation simulation = new Simulation(7, 2);
    simulation.faulty = false;
    simulation.runFor(2_000);
    Candidate holder =
        simulation.candidates.stream().filter(Candidate::mayAct).findFirst().orElseThrow();
    holder.handleLeaseEvent(new LeaseEvent.Resign());
    assertThat(holder.mayAct()).isFalse();
    simulation.runFor(1_000);
    assertThat(simulation.candidates.stream().filter(p -> p != holder && p.mayAct())).hasSize(1);
  }

  private record DelayedAppend(long atMs, LogRecord logRecord) {}

  private static final class Simulation {
    final Random random;
    final List<Candidate> candidates = new ArrayList<>();
    final List<LogRecord> log = new ArrayList<>();
    final List<DelayedAppend> delayedAppends = new ArrayList<>();
    final TreeSet<Long> tokens = new TreeSet<>();
    long trueMs;
    boolean faulty = true;

    Simulation(long seed, int count) {
      random = new Random(seed);
      for (int i = 0; i < count; i++) {
        // Each clock runs up to 1 part in 20 fast or slow.
        double rate = 1 + (random.nextDouble() * 2 - 1) / LeaseTimes.CLOCK_RATE_MARGIN;
        candidates.add(new Candidate(this, i, rate));
      }
    }

    void runFor(long ms) {
      for (long end = trueMs + ms; trueMs < end; ) {
        step();
      }
    }

    /** Pauses a random process for up to 20 s in one of 100 calls. */
    void maybePauseCandidate() {
      if (random.nextInt(100) == 0) {
        Candidate candidate = candidates.get(random.nextInt(candidates.size()));
        candidate.pausedUntilMs = trueMs + random.nextInt(20_000);
      }
    }

    /** Suspends the VM of a random process for up to 20 s in one of 100 calls. */
    void maybeSuspendCandidate() {
      if (random.nextInt(100) == 0) {
        Candidate candidate = candidates.get(random.nextInt(candidates.size()));
        if (candidate.pausedUntilMs <= trueMs) {
          candidate.pausedUntilMs = trueMs + random.nextInt(20_000);
          candidate.suspendedUntilMs = candidate.pausedUntilMs;
        }
      }
    }

    void step() {
      trueMs += STEP_MS;
      candidates.stream()
          .filter(p -> p.suspendedUntilMs >= trueMs)
          .forEach(p -> p.suspendedMs += STEP_MS);
      delayedAppends.stream()
          .filter(delayed -> delayed.atMs() <= trueMs)
          .forEach(delayed -> log.add(delayed.logRecord()));
      delayedAppends.removeIf(delayed -> delayed.atMs() <= trueMs);
      candidates.stream().filter(p -> p.pausedUntilMs <= trueMs).forEach(Candidate::runTick);
    }

    long countActing() {
      return candidates.stream().filter(Candidate::mayAct).count();
    }

    /** Stores records immediately, late or never; returns whether the append is acknowledged. */
    boolean append(List<LogRecord> records) {
      for (LogRecord logRecord : records) {
        int fault = faulty ? random.nextInt(20) : 20;
        if (fault == 0) {
          return false;
        }
        if (fault == 1) {
          delayedAppends.add(new DelayedAppend(trueMs + random.nextInt(15_000), logRecord));
          return false;
        }
        log.add(logRecord);
        if (fault == 2) {
          return false;
        }
      }
      return true;
    }
  }

  private static final class Candidate {
    final Simulation simulation;
    final double clockRate;
    final RandomSource jitter;
    LogWriter writer;
    LeaseAgent agent;
    FoldedState state = FoldedState.empty();
    long pausedUntilMs;
    long suspendedUntilMs;
    long suspendedMs;

    Candidate(Simulation simulation, int number, double clockRate) {
      this.simulation = simulation;
      this.clockRate = clockRate;
      this.jitter = simulation.random::nextLong;
      Incarnation self = new Incarnation("vm" + number, 1L, 1L);
      this.writer =
          LogWriter.of(self).enqueue(new Joined("luzon", "a", "127.0.0.1:1", "127.0.0.1:2"));
      this.agent = LeaseAgent.of(ROLE, self);
      handleLeaseEvent(new LeaseEvent.Candidacy(true, number * 100L));
    }

    /** Returns the time; the monotonic clock does not advance while the VM is suspended. */
    DualTimestamp now() {
      return new DualTimestamp(
          (long) ((simulation.trueMs - suspendedMs) * clockRate),
          (long) (simulation.trueMs * clockRate));
    }

    /** A paused process counts as acting if its next instruction could start an action. */
    boolean mayAct() {
      return agent.mayAct(now());
    }

    void runTick() {
      while (state.upToOffset() + 1 < simulation.log.size()) {
        read(state.upToOffset() + 1);
      }
      handleLeaseEvent(new LeaseEvent.Tick());
      Step<LogWriter, LogWriter.Append> step =
          writer.handle(new LogWriter.Event.Tick(), now(), jitter);
      writer = step.state();
      step.actions().forEach(this::append);
    }

    private void read(long offset) {
      LogRecord logRecord = simulation.log.get((int) offset);
      FoldStep folded = Fold.apply(state, offset, logRecord);
      state = folded.state();
      boolean own = logRecord.getWriter().equals(writer.writer());
      handleLeaseEvent(
          new LeaseEvent.Read(
              offset,
              logRecord,
              folded.accepted(),
              writer.firstSentAt(own ? logRecord.getSequence() : 0)));
      if (own) {
        LogWriter.Event event = new LogWriter.Event.ReadBack(logRecord.getSequence());
        writer = writer.handle(event, now(), jitter).state();
      }
    }

    private void append(LogWriter.Append append) {
      boolean acknowledged = simulation.append(append.records());
      LogWriter.Event event =
          acknowledged
              ? new LogWriter.Event.Acknowledged(append.callId())
              : new LogWriter.Event.Failed(append.callId());
      writer = writer.handle(event, now(), jitter).state();
    }

    void handleLeaseEvent(LeaseEvent event) {
      Step<LeaseAgent, LeaseAction> step = agent.handle(event, now());
      agent = step.state();
      for (LeaseAction action : step.actions()) {
        if (action instanceof LeaseAction.Write write) {
          writer = writer.enqueue(write.body());
        }
        if (action instanceof LeaseAction.Gained gained) {
          assertThat(
                  simulation.tokens.add(gained.token())
                      || simulation.tokens.last() == gained.token())
              .as("only the highest token is gained more than once")
              .isTrue();
        }
      }
    }
  }
}
