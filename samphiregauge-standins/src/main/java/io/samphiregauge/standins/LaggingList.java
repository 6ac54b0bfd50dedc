package io.samphiregauge.standins;

import io.samphiregauge.schema.platform.VmEntry;
import io.samphiregauge.schema.platform.VmList;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** VMs and backend servers, and the list of them as it was some time ago. */
final class LaggingList {
  private static final int MAX_KEPT_STATES = 10_000;

  private final Map<String, VmEntry> vms = new LinkedHashMap<>();
  private final Deque<Timed> states = new ArrayDeque<>();

  private record Timed(List<VmEntry> vms, long atMs) {}

  void put(VmEntry vm, long nowMs) {
    vms.put(vm.getName(), vm);
    keep(nowMs);
  }

  void remove(String name, long nowMs) {
    vms.remove(name);
    keep(nowMs);
  }

  List<VmEntry> current() {
    return List.copyOf(vms.values());
  }

  VmList answer(long nowMs, long lagMs) {
    List<VmEntry> visible = List.of();
    for (Timed state : states) {
      if (nowMs - state.atMs() < lagMs) {
        break;
      }
      visible = state.vms();
    }
    return new VmList(lagMs, visible);
  }

  private void keep(long nowMs) {
    states.addLast(new Timed(current(), nowMs));
    if (states.size() > MAX_KEPT_STATES) {
      states.removeFirst();
    }
  }
}
