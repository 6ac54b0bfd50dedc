package io.samphiregauge.core.control;

import io.samphiregauge.core.DualTimestamp;
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

/** Simulates coordinators that share a log in virtual time, injects faults and records a trace. */
final class CoordinatorSimulation {
  static final long WALL_MS = 6_000_000;
  private static final int POLL_MS = 500;
  private static final int STEP_MS = 50;

  final List<LogRecord> log = new ArrayList<>();
  final Map<String, Coordinator> coordinators = new TreeMap<>();
  final Set<String> pausedVms = new HashSet<>();
  final Set<String> suspendedVms = new HashSet<>();
  final Set<String> vmsWithoutLog = new HashSet<>();
  final Set<Set<String>> cutLinks = new HashSet<>();
  final List<CoordinatorAction.SendOrder> orders = new ArrayList<>();
  final List<CoordinatorAction.SendReport> reports = new ArrayList<>();
  final List<String> trace = new ArrayList<>();
  final SplittableRandom random;
  boolean logDown;
  long nowMs = 1_000;
  private final Map<String, Incarnation> incarnations = new HashMap<>();
  private final Map<String, Long> suspendedMsByVm = new HashMap<>();

  CoordinatorSimulation(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Starts a process on a VM whose failure domain is the last letter of its name. */
  void start(String vm, UnaryOperator<CoordinatorConfig> customizer) {
    Incarnation self = new Incarnation(vm, nowMs, 7L);
    Joined joined = new Joined("luzon", vm.substring(vm.length() - 1), "http-" + vm, vm);
    CoordinatorConfig config =
        customizer.apply(CoordinatorConfig.of(self, joined).withSeedPeers(List.of("vm1a", "vm2b")));
    incarnations.put(vm, self);
    coordinators.put(vm, Coordinator.create(config, now(vm)));
    recordTrace(vm, "starts");
  }

  void start(String vm) {
    start(vm, config -> config);
  }

  Incarnation incarnation(String vm) {
    return incarnations.get(vm);
  }

  Coordinator coordinator(String vm) {
    return coordinators.get(vm);
  }

  void runFor(long ms) {
    for (long end = nowMs + ms; nowMs < end; nowMs += STEP_MS) {
      for (String vm : List.copyOf(coordinators.keySet())) {
        if (suspendedVms.contains(vm)) {
          suspendedMsByVm.merge(vm, (long) STEP_MS, Long::sum);
        } else if (coordinators.containsKey(vm) && !pausedVms.contains(vm)) {
          runVm(vm);
        }
      }
    }
  }

  /** Returns the time of a VM, whose monotonic clock does not advance while it is suspended. */
  DualTimestamp now(String vm) {
    return new DualTimestamp(nowMs - suspendedMsByVm.getOrDefault(vm, 0L), WALL_MS + nowMs);
  }

  private void runVm(String vm) {
    boolean reachesLog = !logDown && !vmsWithoutLog.contains(vm);
    boolean unread = coordinator(vm).nextOffset() < log.size();
    if (reachesLog && (unread || nowMs % POLL_MS == 0)) {
      handle(vm, new CoordinatorEvent.PageRead(page(coordinator(vm).nextOffset()), now(vm)));
    }
    if (coordinators.containsKey(vm)
        && coordinator(vm).deadlineMs(now(vm)) <= now(vm).monotonicMs()) {
      handle(vm, new CoordinatorEvent.Tick());
    }
  }

  private RecordsPage page(long fromOffset) {
    List<RecordAt> records = new ArrayList<>();
    for (int i = (int) fromOffset; i < log.size(); i++) {
      records.add(new RecordAt(i, log.get(i)));
    }
    return new RecordsPage(0L, log.size(), records);
  }

  void handle(String vm, CoordinatorEvent event) {
    Step<Coordinator, CoordinatorAction> step =
        coordinator(vm).handle(event, now(vm), random::nextLong);
    coordinators.put(vm, step.state());
    for (CoordinatorAction action : step.actions()) {
      perform(vm, action);
    }
  }

  private void perform(String vm, CoordinatorAction action) {
    if (action instanceof CoordinatorAction.Append append) {
      append(vm, append.batch());
    }
    if (action instanceof CoordinatorAction.SendPeerMessage send) {
      deliver(vm, send.peerAddress(), send.message());
    }
    if (action instanceof CoordinatorAction.SendOrder send) {
      orders.add(send);
      recordTrace(vm, "order " + send.order().intentOffset() + " to " + send.order().target());
      handle(
          vm,
          new CoordinatorEvent.OrderCompleted(
              new OrderEvent.Responded(send.order().intentOffset(), OrderStatus.APPLIED)));
    }
    if (action instanceof CoordinatorAction.SendReport send) {
      reports.add(send);
      long window = send.report().report().getWindow();
      handle(
          vm,
          new CoordinatorEvent.ReportCompleted(
              new UsageEvent.ReportResponse(window, ReportStatus.ACCEPTED, now(vm).wallMs())));
    }
    if (action instanceof CoordinatorAction.DecisionMade decision) {
      recordTrace(vm, decision.subject() + " " + decision.decision() + " " + decision.reason());
    }
    if (action instanceof CoordinatorAction.RecordRejected rejected) {
      recordTrace(vm, "ignores " + rejected.offset() + " " + rejected.reason().type());
    }
    if (action instanceof CoordinatorAction.IncarnationEnded) {
      recordTrace(vm, "has ended");
      coordinators.remove(vm);
    }
  }

  private void append(String vm, LogWriter.Append append) {
    boolean stored = !logDown && !vmsWithoutLog.contains(vm);
    if (stored) {
      append.records().forEach(logRecord -> store(vm, logRecord));
    }
    LogWriter.Event outcome =
        stored
            ? new LogWriter.Event.Acknowledged(append.callId())
            : new LogWriter.Event.Failed(append.callId());
    handle(vm, new CoordinatorEvent.AppendCompleted(outcome));
  }

  private void store(String vm, LogRecord logRecord) {
    recordTrace(vm, "appends " + log.size() + " " + bodyType(logRecord.getBody()));
    log.add(logRecord);
  }

  private static String bodyType(RecordBody body) {
    return body.getClass().getSimpleName();
  }

  private void deliver(String from, String to, PeerMessage message) {
    boolean reached =
        coordinators.containsKey(to)
            && !pausedVms.contains(to)
            && !suspendedVms.contains(to)
            && !cutLinks.contains(Set.of(from, to));
    if (reached && !from.equals(to)) {
      handle(to, new CoordinatorEvent.PeerMessageReceived(from, message));
    }
  }

  /** Appends an operator's note that adds an engine with a capacity in pieces. */
  void appendNote(String author, long buildsOn, int pieces) {
    Configuration empty = new Configuration(List.of(), List.of(), List.of(), List.of());
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
    Note note = new Note(buildsOn, author, added, empty, none);
    store(author, new LogRecord(new Incarnation("operator-" + author, 1L, 1L), 1L, note));
  }

  void recordTrace(String actor, String text) {
    trace.add("%8d %s %s".formatted(nowMs, actor, text));
  }

  void recordFault(String text) {
    recordTrace("--", text);
  }

  /** Returns the VMs whose processes may act under the fleet lease now. */
  List<String> fleetHolders() {
    return coordinators.keySet().stream()
        .filter(vm -> coordinator(vm).fleetLease().mayAct(now(vm)))
        .toList();
  }

  long countServing() {
    return coordinators.keySet().stream().filter(vm -> coordinator(vm).mayServe(now(vm))).count();
  }
}
