package io.samphiregauge.bench;

import io.samphiregauge.core.config.KeyDigest;
import io.samphiregauge.core.log.Fold;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.net.Codec;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.config.BackendKind;
import io.samphiregauge.schema.config.Configuration;
import io.samphiregauge.schema.config.Model;
import io.samphiregauge.schema.config.Team;
import io.samphiregauge.schema.config.Withdrawal;
import io.samphiregauge.schema.record.Checkpoint;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Joined;
import io.samphiregauge.schema.record.LeaseClaim;
import io.samphiregauge.schema.record.LeaseRenewal;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.Note;
import java.util.ArrayList;
import java.util.List;
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

/** Measures folding one record, restoring a checkpoint, and looking up the team of a key. */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(3)
@State(Scope.Benchmark)
public class FoldBenchmark {
  private static final String LEASE_ROLE = "fleet/luzon";
  private static final int KEYS_PER_TEAM = 4;
  private static final Configuration EMPTY_CONFIGURATION =
      new Configuration(List.of(), List.of(), List.of(), List.of());

  /** Members, teams and backend servers, as {@code members/teams/backends}. */
  @Param({"8/8/12", "64/225/310", "560/1800/3100"})
  public String size;

  private FoldedState state;
  private LogRecord renewal;
  private LogRecord note;
  private LogRecord join;
  private byte[] checkpoint;
  private String key;

  /** Creates the state and the records that the benchmarks apply to it. */
  @Setup
  public void fold() {
    String[] counts = size.split("/", -1);
    int members = Integer.parseInt(counts[0]);
    int teams = Integer.parseInt(counts[1]);
    int backends = Integer.parseInt(counts[2]);
    state = FoldedState.empty();
    for (int i = 0; i < members; i++) {
      append(incarnation(i, 1), 1, joined());
    }
    append(incarnation(0, 1), 2, new LeaseClaim(LEASE_ROLE, -1L, 10_000L));
    append(incarnation(0, 1), 1, configurationNote(teams, backends));
    renewal = new LogRecord(incarnation(0, 1), 3L, new LeaseRenewal(LEASE_ROLE, (long) members));
    note = new LogRecord(incarnation(0, 1), 1L, teamChangeNote(state.noteOffset()));
    join = new LogRecord(incarnation(members - 1, 2), 1L, joined());
    checkpoint = Codec.messagePack().encode(state.toCheckpoint());
    key = "key-" + (teams - 1) + "-0";
  }

  /** Folds a lease renewal, the most frequent record. */
  @Benchmark
  public FoldedState foldRenewal() {
    return apply(renewal);
  }

  /** Folds a note that changes one team. */
  @Benchmark
  public FoldedState foldNote() {
    return apply(note);
  }

  /** Folds the join of a restarted process. */
  @Benchmark
  public FoldedState foldJoin() {
    return apply(join);
  }

  /** Decodes and restores a checkpoint. */
  @Benchmark
  public FoldedState restoreCheckpoint() {
    return Codec.messagePack()
        .decode(checkpoint, Checkpoint.class)
        .map(Fold::restore)
        .value()
        .orElseThrow();
  }

  /** Computes the digest of a key and looks up its team. */
  @Benchmark
  public Optional<Team> findTeam() {
    return state.config().teamOfKey(KeyDigest.of(key));
  }

  /** Returns the size of the encoded checkpoint, which {@link StateSizes} prints. */
  int checkpointBytes() {
    return checkpoint.length;
  }

  private FoldedState apply(LogRecord record) {
    return Fold.apply(state, state.upToOffset() + 1, record).state();
  }

  private void append(Incarnation writer, long sequence, RecordBody body) {
    state = apply(new LogRecord(writer, sequence, body));
  }

  private static Incarnation incarnation(int index, long startMs) {
    return new Incarnation("vm" + index, startMs, 7L);
  }

  private static Joined joined() {
    return new Joined("luzon", "a", "127.0.0.1:8080", "127.0.0.1:9090");
  }

  private static Note configurationNote(int teams, int backends) {
    List<Team> teamList = new ArrayList<>();
    for (int i = 0; i < teams; i++) {
      teamList.add(team(i, 1));
    }
    List<Model> models = List.of(new Model("m1", List.of("1"), 10L, 30L));
    List<Backend> servers = new ArrayList<>();
    for (int i = 0; i < backends; i++) {
      servers.add(engine(i));
    }
    Configuration added = new Configuration(teamList, models, List.of(), servers);
    return new Note(-1L, "ops", added, EMPTY_CONFIGURATION, emptyWithdrawal());
  }

  private static Note teamChangeNote(long buildsOnOffset) {
    Configuration changed = new Configuration(List.of(team(0, 2)), List.of(), List.of(), List.of());
    return new Note(buildsOnOffset, "ops", EMPTY_CONFIGURATION, changed, emptyWithdrawal());
  }

  private static Backend engine(int index) {
    return new Backend(
        "engine-" + index,
        BackendKind.ENGINE,
        "10.0.0.1:8000",
        "domain-" + index % 17,
        List.of("m1"),
        false,
        true,
        1_000);
  }

  private static Team team(int index, double weight) {
    List<String> digests = new ArrayList<>();
    for (int k = 0; k < KEYS_PER_TEAM; k++) {
      digests.add(KeyDigest.of("key-" + index + "-" + k));
    }
    return new Team("team-" + index, digests, List.of("m1"), List.of(), weight);
  }

  private static Withdrawal emptyWithdrawal() {
    return new Withdrawal(List.of(), List.of(), List.of(), List.of(), List.of());
  }
}
