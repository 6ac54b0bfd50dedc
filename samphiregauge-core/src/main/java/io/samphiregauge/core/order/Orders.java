package io.samphiregauge.core.order;

import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.order.Drain;
import io.samphiregauge.schema.order.StopBackend;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.LastOrderer;
import io.samphiregauge.schema.record.OpenIntent;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Facts about orders that each process derives from the folded state. */
public final class Orders {
  /** Target of orders to the platform. */
  public static final String PLATFORM = "platform";

  private Orders() {}

  /**
   * Tells whether an order to a target can take effect only once and in order. The platform and
   * engines that check fencing tokens guarantee it; any other engine gets orders only after the
   * previous holder that sent it orders has released its lease or ended.
   *
   * @param state folded state
   * @param target name of the backend server, or {@link #PLATFORM}
   * @param holder process that would send the order
   * @return true where the order may be sent
   */
  public static boolean isSafe(FoldedState state, String target, Incarnation holder) {
    Optional<LastOrderer> last = Optional.ofNullable(state.lastOrderers().get(target));
    return checksTokens(state, target)
        || last.isEmpty()
        || last.get().getHolder().equals(holder)
        || state.hasEnded(last.get().getHolder());
  }

  /** Tells whether a target refuses orders with an old token, or knows repeats by their key. */
  static boolean checksTokens(FoldedState state, String target) {
    return target.equals(PLATFORM)
        || state.config().backend(target).filter(Backend::isChecksFencing).isPresent();
  }

  /**
   * Finds the backend servers that get no new work because of an order: it drains or stops them, or
   * it cannot be given safely.
   *
   * @param state folded state
   * @return names of backend servers
   */
  public static Set<String> excludedBackends(FoldedState state) {
    Set<String> names = new TreeSet<>();
    for (OpenIntent openIntent : state.openIntents().values()) {
      String target = openIntent.getIntent().getTarget();
      if (openIntent.getIntent().getOrder() instanceof StopBackend stop) {
        names.add(stop.getBackend());
      }
      if (openIntent.getIntent().getOrder() instanceof Drain || !isSafe(state, openIntent)) {
        names.add(target);
      }
    }
    return names;
  }

  /** The holder of the region is the only process that may send the order. */
  private static boolean isSafe(FoldedState state, OpenIntent openIntent) {
    return openIntent
        .getIntent()
        .getRegion()
        .flatMap(region -> state.lease("fleet/" + region))
        .map(lease -> isSafe(state, openIntent.getIntent().getTarget(), lease.getHolder()))
        .orElse(true);
  }
}
