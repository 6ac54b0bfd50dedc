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

/** Rules for sending orders, which every process derives from the folded state. */
public final class Orders {
  /** Target name of orders to the platform. */
  public static final String PLATFORM = "platform";

  private Orders() {}

  /**
   * Returns whether an order to a target takes effect at most once and in order. The platform and
   * engines that check fencing tokens guarantee this. Any other engine receives orders only after
   * the last holder that sent it orders has released its lease or ended.
   *
   * @param state folded state
   * @param target name of the backend server, or {@link #PLATFORM}
   * @param holder lease holder that would send the order
   * @return true if the order may be sent
   */
  public static boolean isSafe(FoldedState state, String target, Incarnation holder) {
    Optional<LastOrderer> last = Optional.ofNullable(state.lastOrderers().get(target));
    return checksTokens(state, target)
        || last.isEmpty()
        || last.get().getHolder().equals(holder)
        || state.hasEnded(last.get().getHolder());
  }

  /**
   * Returns whether a target rejects orders with an old token or deduplicates them by their key.
   */
  static boolean checksTokens(FoldedState state, String target) {
    return target.equals(PLATFORM)
        || state.config().backend(target).filter(Backend::isChecksFencing).isPresent();
  }

  /**
   * Returns the backend servers that receive no new work because of an open intent: its order
   * drains or stops them, or cannot be sent safely.
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

  /** Checks safety for the lease holder of the region, which alone may send the order. */
  private static boolean isSafe(FoldedState state, OpenIntent openIntent) {
    return openIntent
        .getIntent()
        .getRegion()
        .flatMap(region -> state.lease("fleet/" + region))
        .map(lease -> isSafe(state, openIntent.getIntent().getTarget(), lease.getHolder()))
        .orElse(true);
  }
}
