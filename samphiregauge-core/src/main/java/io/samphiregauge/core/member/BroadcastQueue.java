package io.samphiregauge.core.member;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Queue of VMs whose latest member update is still to be piggybacked on messages, newest first;
 * immutable.
 */
record BroadcastQueue(List<Broadcast> newestFirst) {
  private record Broadcast(String vm, int sends) {}

  BroadcastQueue {
    newestFirst = List.copyOf(newestFirst);
  }

  static BroadcastQueue empty() {
    return new BroadcastQueue(List.of());
  }

  /** Queues the latest update of a VM, and restarts its count of sends. */
  BroadcastQueue withUpdate(String vm) {
    List<Broadcast> next = new ArrayList<>();
    next.add(new Broadcast(vm, 0));
    newestFirst.stream().filter(r -> !r.vm().equals(vm)).forEach(next::add);
    return new BroadcastQueue(next);
  }

  /** Returns the VMs to include in one message, urgent ones first. */
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

  /** Counts one send of each VM and removes those sent often enough to have reached all members. */
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
