package io.samphiregauge.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

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

/** Guards against two processes that act under one lease, and against a lease nobody takes over. */
class LeaseSafetyTest {
  private static final String ROLE = "fleet/luzon";
  private static final int STEP_MS = 50;

  /** Two holders at once, over lost answers, late appends, pauses and clocks 5% fast or slow. */
  @Property(seed = "17", tries = 300)
  void atMostOneProcessMayActAtAnyTime(@ForAll long seed) {
    World world = new World(seed, 3);
    for (int i = 0; i < 1_500; i++) {
      world.disturb();
      world.step();
      assertThat(world.acting()).as("seed %d at %d ms", seed, world.trueMs).isLessThanOrEqualTo(1);
    }
  }

  /** A lease that stays unclaimed for more than 10.5 s and one append after its holder is lost. */
  @Property(seed = "17", tries = 50)
  void aLostHolderIsSucceededInTime(@ForAll long seed) {
    World world = new World(seed, 3);
    world.lossy = false;
    world.run(2_000);
    assertThat(world.acting()).isEqualTo(1);
    Claimant holder = world.processes.stream().filter(Claimant::acts).findFirst().orElseThrow();
    holder.pausedUntilMs = Long.MAX_VALUE;
    // 10.5 s on a clock that is 5% slow, and a read and an append of 100 ms each.
    world.run(11_300);
    assertThat(world.processes.stream().filter(p -> p != holder && p.acts())).hasSize(1);
  }

  /** A release that leaves the others waiting for the whole duration. */
  @Test
  void aReleasedLeaseIsTakenOverAtOnce() {
    World world = new World(7, 2);
    world.lossy = false;
    world.run(2_000);
    Claimant holder = world.processes.stream().filter(Claimant::acts).findFirst().orElseThrow();
    holder.leaseEvent(new LeaseEvent.Resign());
    assertThat(holder.acts()).isFalse();
    world.run(1_000);
    assertThat(world.processes.stream().filter(p -> p != holder && p.acts())).hasSize(1);
  }

  private record Landing(long atMs, LogRecord entry) {}

  private static final class World {
    final Random random;
    final List<Claimant> processes = new ArrayList<>();
    final List<LogRecord> log = new ArrayList<>();
    final List<Landing> landings = new ArrayList<>();
    final TreeSet<Long> tokens = new TreeSet<>();
    long trueMs;
    boolean lossy = true;

    World(long seed, int count) {
      random = new Random(seed);
      for (int i = 0; i < count; i++) {
        // The rate of each clock is wrong by up to 1 in 20.
        double rate = 1 + (random.nextDouble() * 2 - 1) / LeaseTimes.CLOCK_RATE_MARGIN;
        processes.add(new Claimant(this, i, rate));
      }
    }

    void run(long ms) {
      for (long end = trueMs + ms; trueMs < end; ) {
        step();
      }
    }

    /** Pauses a process for up to 20 s now and then. */
    void disturb() {
      if (random.nextInt(100) == 0) {
        Claimant victim = processes.get(random.nextInt(processes.size()));
        victim.pausedUntilMs = trueMs + random.nextInt(20_000);
      }
    }

    void step() {
      trueMs += STEP_MS;
      landings.stream().filter(l -> l.atMs() <= trueMs).forEach(l -> log.add(l.entry()));
      landings.removeIf(l -> l.atMs() <= trueMs);
      processes.stream().filter(p -> p.pausedUntilMs <= trueMs).forEach(Claimant::wake);
    }

    long acting() {
      return processes.stream().filter(Claimant::acts).count();
    }

    /** Stores an append at once, late or never, and answers it or not. */
    boolean append(List<LogRecord> records) {
      for (LogRecord entry : records) {
        int fate = lossy ? random.nextInt(20) : 20;
        if (fate == 0) {
          return false;
        }
        if (fate == 1) {
          landings.add(new Landing(trueMs + random.nextInt(15_000), entry));
          return false;
        }
        log.add(entry);
        if (fate == 2) {
          return false;
        }
      }
      return true;
    }
  }

  private static final class Claimant {
    final World world;
    final double rate;
    final RandomSource jitter;
    LogWriter writer;
    LeaseAgent agent;
    FoldedState state = FoldedState.empty();
    long pausedUntilMs;

    Claimant(World world, int number, double rate) {
      this.world = world;
      this.rate = rate;
      this.jitter = world.random::nextLong;
      Incarnation self = new Incarnation("vm" + number, 1L, 1L);
      this.writer =
          LogWriter.of(self).enqueue(new Joined("luzon", "a", "127.0.0.1:1", "127.0.0.1:2"));
      this.agent = LeaseAgent.of(ROLE, self);
      leaseEvent(new LeaseEvent.Candidacy(true, number * 100L));
    }

    long nowMs() {
      return (long) (world.trueMs * rate);
    }

    /** A paused process is judged by what it would do on the next instruction. */
    boolean acts() {
      return agent.mayAct(nowMs());
    }

    void wake() {
      while (state.upToOffset() + 1 < world.log.size()) {
        read(state.upToOffset() + 1);
      }
      leaseEvent(new LeaseEvent.Tick());
      Step<LogWriter, LogWriter.Append> step =
          writer.handle(new LogWriter.Event.Tick(), nowMs(), jitter);
      writer = step.state();
      step.actions().forEach(this::append);
    }

    private void read(long offset) {
      LogRecord entry = world.log.get((int) offset);
      FoldStep folded = Fold.apply(state, offset, entry);
      state = folded.state();
      boolean own = entry.getWriter().equals(writer.writer());
      leaseEvent(
          new LeaseEvent.Read(
              offset, entry, folded.accepted(), writer.firstSentMs(own ? entry.getSequence() : 0)));
      if (own) {
        LogWriter.Event event = new LogWriter.Event.ReadBack(entry.getSequence());
        writer = writer.handle(event, nowMs(), jitter).state();
      }
    }

    private void append(LogWriter.Append call) {
      boolean answered = world.append(call.records());
      LogWriter.Event event =
          answered
              ? new LogWriter.Event.Acknowledged(call.callId())
              : new LogWriter.Event.Failed(call.callId());
      writer = writer.handle(event, nowMs(), jitter).state();
    }

    void leaseEvent(LeaseEvent event) {
      Step<LeaseAgent, LeaseAction> step = agent.on(event, nowMs());
      agent = step.state();
      for (LeaseAction action : step.actions()) {
        if (action instanceof LeaseAction.Write write) {
          writer = writer.enqueue(write.body());
        }
        if (action instanceof LeaseAction.Gained gained) {
          assertThat(world.tokens.add(gained.token()) || world.tokens.last() == gained.token())
              .as("a token comes back only for its last holder")
              .isTrue();
        }
      }
    }
  }
}
