package io.samphiregauge.standins;

import io.samphiregauge.schema.platform.VmEntry;
import io.samphiregauge.schema.platform.VmList;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Tracks the listed VMs and backend servers, with past snapshots for a list that lags. */
final class VmListHistory {
  private static final int MAX_SNAPSHOTS = 10_000;

  private final Map<String, VmEntry> vms = new LinkedHashMap<>();
  private final Deque<Snapshot> snapshots = new ArrayDeque<>();

  private record Snapshot(List<VmEntry> vms, long takenMs) {}

  void put(VmEntry vm, long nowMs) {
    vms.put(vm.getName(), vm);
    addSnapshot(nowMs);
  }

  void remove(String name, long nowMs) {
    vms.remove(name);
    addSnapshot(nowMs);
  }

  List<VmEntry> current() {
    return List.copyOf(vms.values());
  }

  /** Returns the newest snapshot that is at least as old as the lag, or an empty list. */
  VmList laggedList(long nowMs, long lagMs) {
    List<VmEntry> visible = List.of();
    for (Snapshot snapshot : snapshots) {
      if (nowMs - snapshot.takenMs() < lagMs) {
        break;
      }
      visible = snapshot.vms();
    }
    return new VmList(lagMs, visible);
  }

  private void addSnapshot(long nowMs) {
    snapshots.addLast(new Snapshot(current(), nowMs));
    if (snapshots.size() > MAX_SNAPSHOTS) {
      snapshots.removeFirst();
    }
  }
}
