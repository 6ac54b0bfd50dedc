package io.samphiregauge.gateway.port;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.gateway.SealedUsage;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/**
 * Calls to the platform that only the holder of the duty lease makes.
 *
 * @param usageReporter reports a usage window
 * @param orderSender orders backend servers
 */
public record FleetApi(UsageReporter usageReporter, OrderSender orderSender) {

  /**
   * The authority of a call.
   *
   * @param holder VM that holds the lease
   * @param token fencing token
   * @param stillHeld asked at the last step before the call is written
   */
  public record LeaseCredentials(String holder, long token, BooleanSupplier stillHeld) {}

  /**
   * An order of backend servers.
   *
   * @param service service that they offer
   * @param domain failure domain
   * @param serverCount number that is wanted
   * @param reclaimable whether these are the servers that may be taken away at short notice
   */
  public record ServerOrder(String service, String domain, int serverCount, boolean reclaimable) {}

  /** Reports a usage window. */
  @FunctionalInterface
  public interface UsageReporter {
    /**
     * Reports.
     *
     * @param usage final figures of the window
     * @param credentials authority of the call
     * @return success if the platform accepted the report
     */
    CompletableFuture<Result<Boolean>> report(SealedUsage usage, LeaseCredentials credentials);
  }

  /** Orders backend servers. */
  @FunctionalInterface
  public interface OrderSender {
    /**
     * Orders.
     *
     * @param order the order
     * @param credentials authority of the call
     * @return whether the servers can be had; false where there are none at the moment
     */
    CompletableFuture<Result<Boolean>> send(ServerOrder order, LeaseCredentials credentials);
  }
}
