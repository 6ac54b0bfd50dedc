package io.samphiregauge.gateway.port;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.gateway.SealedUsage;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/**
 * Calls to the platform that only the holder of the duty lease makes.
 *
 * @param reportUsage reports a usage window
 * @param order orders backend servers
 */
public record FleetApi(ReportUsage reportUsage, Order order) {

  /**
   * The authority of a call.
   *
   * @param holder VM that holds the lease
   * @param token fencing token
   * @param stillHeld asked at the last step before the call is written
   */
  public record Authority(String holder, long token, BooleanSupplier stillHeld) {}

  /**
   * An order of backend servers.
   *
   * @param service service that they offer
   * @param domain failure domain
   * @param servers number that is wanted
   * @param reclaimable whether these are the servers that may be taken away at short notice
   */
  public record FleetOrder(String service, String domain, int servers, boolean reclaimable) {}

  /** Reports a usage window. */
  @FunctionalInterface
  public interface ReportUsage {
    /**
     * Reports.
     *
     * @param usage final figures of the window
     * @param authority authority of the call
     * @return success if the platform accepted the report
     */
    CompletableFuture<Result<Boolean>> report(SealedUsage usage, Authority authority);
  }

  /** Orders backend servers. */
  @FunctionalInterface
  public interface Order {
    /**
     * Orders.
     *
     * @param order the order
     * @param authority authority of the call
     * @return whether the servers can be had; false where there are none at the moment
     */
    CompletableFuture<Result<Boolean>> order(FleetOrder order, Authority authority);
  }
}
