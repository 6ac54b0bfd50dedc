package io.samphiregauge.daemon;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.control.Coordinator;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.member.KnownMember;
import io.samphiregauge.core.order.Orders;
import io.samphiregauge.schema.peer.MemberState;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Immutable snapshot of the control state, published by the control thread for all others.
 *
 * @param coordinator coordinator with its control state, or empty before its first event
 * @param excludedBackends backend servers that receive no new calls because of an order
 * @param leavingVms VMs whose entries have announced that they are leaving
 */
record ControlSnapshot(
    Optional<Coordinator> coordinator, Set<String> excludedBackends, Set<String> leavingVms) {
  static ControlSnapshot initial() {
    return new ControlSnapshot(Optional.empty(), Set.of(), Set.of());
  }

  /**
   * Returns the snapshot that follows this one. The excluded backend servers depend only on the
   * folded state, so they are computed again only when it has changed.
   */
  ControlSnapshot advance(Coordinator current) {
    boolean sameState =
        coordinator.filter(previous -> previous.state().equals(current.state())).isPresent();
    Set<String> excluded = sameState ? excludedBackends : Orders.excludedBackends(current.state());
    return new ControlSnapshot(Optional.of(current), excluded, leavingVmNames(current));
  }

  FoldedState state() {
    return coordinator.map(Coordinator::state).orElseGet(FoldedState::empty);
  }

  boolean mayServe(DualTimestamp now) {
    return coordinator.filter(control -> control.mayServe(now)).isPresent();
  }

  long nextOffset() {
    return coordinator.map(Coordinator::nextOffset).orElse(0L);
  }

  private static Set<String> leavingVmNames(Coordinator coordinator) {
    Set<String> vms = new HashSet<>();
    for (KnownMember known : coordinator.membership().others()) {
      if (known.member().getState() == MemberState.LEAVING) {
        vms.add(known.member().getIncarnation().getVm());
      }
    }
    return vms;
  }
}
