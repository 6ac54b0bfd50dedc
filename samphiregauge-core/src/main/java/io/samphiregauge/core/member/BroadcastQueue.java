package io.samphiregauge.core.member;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** VMs whose change is still to be passed on, newest first; immutable. */
record BroadcastQueue(List<Broadcast> newestFirst) {
  private record Broadcast(String vm, int sends) {}

  BroadcastQueue {
    newestFirst = List.copyOf(newestFirst);
  }

  static BroadcastQueue empty() {
    return new BroadcastQueue(List.of());
  }

  /** Starts to pass on the newest description of a VM. */
  BroadcastQueue withUpdate(String vm) {
    List<Broadcast> next = new ArrayList<>();
    next.add(new Broadcast(vm, 0));
    newestFirst.stream().filter(r -> !r.vm().equals(vm)).forEach(next::add);
    return new BroadcastQueue(next);
  }

  /** Returns the VMs for one message, those that the receiver must see first. */
  Set<String> nextUpdates(Set<String> urgent) {
    Set<String> vms = new LinkedHashSet<>(urgent);
    for (Broadcast broadcast : newestFirst) {
      if (vms.size() >= GossipParameters.MAX_UPDATES_PER_MESSAGE) {
        break;
      }
      vms.add(broadcast.vm());
    }
    return vms;
  }

  /** Counts one send and drops what was sent often enough for all to have heard it. */
  BroadcastQueue withSent(Set<String> vms, int members) {
    int limit =
        GossipParameters.RETRANSMIT_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(members));
    List<Broadcast> next = new ArrayList<>();
    for (Broadcast broadcast : newestFirst) {
      int sends = broadcast.sends() + (vms.contains(broadcast.vm()) ? 1 : 0);
      if (sends < limit) {
        next.add(new Broadcast(broadcast.vm(), sends));
      }
    }
    return new BroadcastQueue(next);
  }
}
