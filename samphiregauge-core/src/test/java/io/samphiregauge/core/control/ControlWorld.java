package io.samphiregauge.core.control;

import io.samphiregauge.core.Step;
import io.samphiregauge.core.log.LogWriter;
import io.samphiregauge.core.order.OrderEvent;
import io.samphiregauge.core.usage.UsageEvent;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.config.BackendKind;
import io.samphiregauge.schema.config.Configuration;
import io.samphiregauge.schema.config.Model;
import io.samphiregauge.schema.config.Withdrawal;
import io.samphiregauge.schema.peer.RecordAt;
import io.samphiregauge.schema.platform.OrderStatus;
import io.samphiregauge.schema.platform.RecordsPage;
import io.samphiregauge.schema.platform.ReportStatus;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Joined;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.Note;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/** Coordinators in virtual time around one log, with faults and a trace of what they do. */
final class ControlWorld {
  static final long WALL_MS = 6_000_000;
  private static final int POLL_MS = 500;
  private static final int STEP_MS = 50;

  final List<LogRecord> log = new ArrayList<>();
  final Map<String, Coordinator> running = new TreeMap<>();
  final Set<String> paused = new HashSet<>();
  final Set<String> withoutLog = new HashSet<>();
  final Set<Set<String>> cutLinks = new HashSet<>();
  final List<CoordinatorAction.SendOrder> orders = new ArrayList<>();
  final List<CoordinatorAction.SendReport> reports = new ArrayList<>();
  final List<String> trace = new ArrayList<>();
  final SplittableRandom random;
  boolean logDown;
  long nowMs = 1_000;
  private final Map<String, Incarnation> incarnations = new HashMap<>();

  ControlWorld(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Starts a process on a VM; its failure domain is the last letter of the name. */
  void start(String vm, UnaryOperator<Entrant> setting) {
    Incarnation self = new Incarnation(vm, nowMs, 7L);
    Joined joined = new Joined("luzon", vm.substring(vm.length() - 1), "http-" + vm, vm);
    Entrant entrant = setting.apply(Entrant.of(self, joined).knowing(List.of("vm1a", "vm2b")));
    incarnations.put(vm, self);
    running.put(vm, Coordinator.joining(entrant, now()));
    note(vm, "starts");
  }

  void start(String vm) {
    start(vm, entrant -> entrant);
  }

  Incarnation incarnation(String vm) {
    return incarnations.get(vm);
  }

  Coordinator get(String vm) {
    return running.get(vm);
  }

  void run(long ms) {
    for (long end = nowMs + ms; nowMs < end; nowMs += STEP_MS) {
      for (String vm : List.copyOf(running.keySet())) {
        if (running.containsKey(vm) && !paused.contains(vm)) {
          wake(vm);
        }
      }
    }
  }

  private Now now() {
    return new Now(nowMs, WALL_MS + nowMs);
  }

  private void wake(String vm) {
    boolean reachesLog = !logDown && !withoutLog.contains(vm);
    boolean unread = get(vm).nextOffset() < log.size();
    if (reachesLog && (unread || nowMs % POLL_MS == 0)) {
      on(vm, new CoordinatorEvent.PageRead(page(get(vm).nextOffset()), nowMs));
    }
    if (running.containsKey(vm) && get(vm).deadlineMs(now()) <= nowMs) {
      on(vm, new CoordinatorEvent.Tick());
    }
  }

  private RecordsPage page(long from) {
    List<RecordAt> records = new ArrayList<>();
    for (int i = (int) from; i < log.size(); i++) {
      records.add(new RecordAt(i, log.get(i)));
    }
    return new RecordsPage(0L, log.size(), records);
  }

  void on(String vm, CoordinatorEvent event) {
    Step<Coordinator, CoordinatorAction> step = get(vm).on(event, now(), random::nextLong);
    running.put(vm, step.state());
    for (CoordinatorAction action : step.actions()) {
      perform(vm, action);
    }
  }

  private void perform(String vm, CoordinatorAction action) {
    if (action instanceof CoordinatorAction.Append append) {
      append(vm, append.call());
    }
    if (action instanceof CoordinatorAction.SendPeer send) {
      deliver(vm, send.peerAddress(), send.message());
    }
    if (action instanceof CoordinatorAction.SendOrder send) {
      orders.add(send);
      note(vm, "order " + send.order().intentOffset() + " to " + send.order().target());
      on(
          vm,
          new CoordinatorEvent.Ordered(
              new OrderEvent.Answered(send.order().intentOffset(), OrderStatus.APPLIED)));
    }
    if (action instanceof CoordinatorAction.SendReport send) {
      reports.add(send);
      long window = send.report().report().getWindow();
      on(
          vm,
          new CoordinatorEvent.Reported(
              new UsageEvent.ReportResponse(window, ReportStatus.ACCEPTED, now().wallMs())));
    }
    if (action instanceof CoordinatorAction.Decided decided) {
      note(vm, decided.subject() + " " + decided.decision() + " " + decided.reason());
    }
    if (action instanceof CoordinatorAction.Ignored ignored) {
      note(vm, "ignores " + ignored.offset() + " " + ignored.reason().type());
    }
    if (action instanceof CoordinatorAction.HasEnded) {
      note(vm, "has ended");
      running.remove(vm);
    }
  }

  private void append(String vm, LogWriter.Append call) {
    boolean stored = !logDown && !withoutLog.contains(vm);
    if (stored) {
      call.records().forEach(entry -> store(vm, entry));
    }
    LogWriter.Event outcome =
        stored
            ? new LogWriter.Event.Acknowledged(call.callId())
            : new LogWriter.Event.Failed(call.callId());
    on(vm, new CoordinatorEvent.Appended(outcome));
  }

  private void store(String vm, LogRecord entry) {
    note(vm, "appends " + log.size() + " " + kind(entry.getBody()));
    log.add(entry);
  }

  private static String kind(RecordBody body) {
    return body.getClass().getSimpleName();
  }

  private void deliver(String from, String to, PeerMessage message) {
    boolean reached =
        running.containsKey(to) && !paused.contains(to) && !cutLinks.contains(Set.of(from, to));
    if (reached && !from.equals(to)) {
      on(to, new CoordinatorEvent.FromPeer(from, message));
    }
  }

  /** Appends a note of an operator with engines of so many pieces. */
  void appendNote(String author, long buildsOn, int pieces) {
    Configuration nothing = new Configuration(List.of(), List.of(), List.of(), List.of());
    Backend engine =
        new Backend(
            "engine-" + author,
            BackendKind.ENGINE,
            "127.0.0.1:9",
            "a",
            List.of("m-" + author),
            false,
            true,
            pieces * 1_000);
    Model model = new Model("m-" + author, List.of("1"), 1L, 1L);
    Configuration added = new Configuration(List.of(), List.of(model), List.of(), List.of(engine));
    Withdrawal none = new Withdrawal(List.of(), List.of(), List.of(), List.of(), List.of());
    Note note = new Note(buildsOn, author, added, nothing, none);
    store(author, new LogRecord(new Incarnation("operator-" + author, 1L, 1L), 1L, note));
  }

  void note(String who, String what) {
    trace.add("%8d %s %s".formatted(nowMs, who, what));
  }

  void fault(String what) {
    note("--", what);
  }

  /** Returns the VMs that may send orders now. */
  List<String> fleetHolders() {
    return running.keySet().stream().filter(vm -> get(vm).fleetLease().mayAct(nowMs)).toList();
  }

  long serving() {
    return running.values().stream().filter(c -> c.mayServe(nowMs)).count();
  }
}
