package io.samphiregauge.core.member;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** VMs whose change is still to be passed on, newest first; immutable. */
record Rumours(List<Rumour> newestFirst) {
  private record Rumour(String vm, int sends) {}

  Rumours {
    newestFirst = List.copyOf(newestFirst);
  }

  static Rumours none() {
    return new Rumours(List.of());
  }

  /** Starts to pass on the newest description of a VM. */
  Rumours with(String vm) {
    List<Rumour> next = new ArrayList<>();
    next.add(new Rumour(vm, 0));
    newestFirst.stream().filter(r -> !r.vm().equals(vm)).forEach(next::add);
    return new Rumours(next);
  }

  /** Returns the VMs for one message, those that the receiver must see first. */
  Set<String> next(Set<String> urgent) {
    Set<String> vms = new LinkedHashSet<>(urgent);
    for (Rumour rumour : newestFirst) {
      if (vms.size() >= MemberTimes.MAX_UPDATES) {
        break;
      }
      vms.add(rumour.vm());
    }
    return vms;
  }

  /** Counts one send and drops what was sent often enough for all to have heard it. */
  Rumours sent(Set<String> vms, int members) {
    int limit = MemberTimes.RUMOUR_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(members));
    List<Rumour> next = new ArrayList<>();
    for (Rumour rumour : newestFirst) {
      int sends = rumour.sends() + (vms.contains(rumour.vm()) ? 1 : 0);
      if (sends < limit) {
        next.add(new Rumour(rumour.vm(), sends));
      }
    }
    return new Rumours(next);
  }
}
