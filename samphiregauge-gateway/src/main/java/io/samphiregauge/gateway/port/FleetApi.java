package io.samphiregauge.gateway.port;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.gateway.SealedUsage;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/**
 * Calls to the platform that only the holder of the duty lease makes.
 *
 * @param usageReporter reports usage windows
 * @param orderSender sends orders of backend servers
 */
public record FleetApi(UsageReporter usageReporter, OrderSender orderSender) {

  /**
   * Proof that the sender of a call holds the duty lease.
   *
   * @param holder VM that holds the lease
   * @param token fencing token
   * @param remainingMs returns the time until the end of the lease, in milliseconds, 0 or less
   *     after it; called on the thread that writes the call, from immediately before the write
   *     until the answer. A call without an answer is cancelled at the end of the lease
   */
  public record LeaseCredentials(String holder, long token, LongSupplier remainingMs) {}

  /**
   * An order of backend servers.
   *
   * @param service service of the servers
   * @param domain failure domain of the servers
   * @param serverCount total number of servers of this kind that there should be
   * @param reclaimable whether the order is for servers that may be reclaimed at short notice
   */
  public record ServerOrder(String service, String domain, int serverCount, boolean reclaimable) {}

  /** Reports usage windows to the platform. */
  @FunctionalInterface
  public interface UsageReporter {
    /**
     * Reports a usage window.
     *
     * @param usage sealed counts of the window
     * @param credentials proof that the sender holds the lease
     * @return success if the platform accepted the report
     */
    CompletableFuture<Result<Boolean>> report(SealedUsage usage, LeaseCredentials credentials);
  }

  /** Sends orders of backend servers to the platform. */
  @FunctionalInterface
  public interface OrderSender {
    /**
     * Sends an order.
     *
     * @param order the order
     * @param credentials proof that the sender holds the lease
     * @return whether the servers are available; false if there are none at the moment
     */
    CompletableFuture<Result<Boolean>> send(ServerOrder order, LeaseCredentials credentials);
  }
}
