package io.samphiregauge.daemon;

import io.samphiregauge.core.control.Coordinator;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.member.KnownMember;
import io.samphiregauge.core.order.Orders;
import io.samphiregauge.schema.peer.MemberState;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * What other threads see of the control state; immutable.
 *
 * @param coordinator control state, or empty before the start
 * @param excludedBackends backend servers that get no new work because of an order
 * @param leavingVms VMs whose entries are about to end
 */
record ControlSnapshot(
    Optional<Coordinator> coordinator, Set<String> excludedBackends, Set<String> leavingVms) {
  static ControlSnapshot initial() {
    return new ControlSnapshot(Optional.empty(), Set.of(), Set.of());
  }

  /** Makes the next snapshot; what follows from the folded state is kept while that stays. */
  ControlSnapshot advance(Coordinator now) {
    boolean sameState =
        coordinator.filter(before -> before.state().equals(now.state())).isPresent();
    Set<String> excluded = sameState ? excludedBackends : Orders.excludedBackends(now.state());
    return new ControlSnapshot(Optional.of(now), excluded, leavingVmNames(now));
  }

  FoldedState state() {
    return coordinator.map(Coordinator::state).orElseGet(FoldedState::empty);
  }

  boolean mayServe(long nowMs) {
    return coordinator.filter(current -> current.mayServe(nowMs)).isPresent();
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
