package io.samphiregauge.standins;

import io.samphiregauge.schema.platform.VmEntry;
import io.samphiregauge.schema.platform.VmList;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** VMs and backend servers, and the list of them as it was some time ago. */
final class VmListHistory {
  private static final int MAX_SNAPSHOTS = 10_000;

  private final Map<String, VmEntry> vms = new LinkedHashMap<>();
  private final Deque<Snapshot> snapshots = new ArrayDeque<>();

  private record Snapshot(List<VmEntry> vms, long atMs) {}

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

  VmList laggedList(long nowMs, long lagMs) {
    List<VmEntry> visible = List.of();
    for (Snapshot snapshot : snapshots) {
      if (nowMs - snapshot.atMs() < lagMs) {
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
