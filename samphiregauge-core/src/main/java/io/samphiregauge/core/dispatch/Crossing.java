package io.samphiregauge.core.dispatch;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongToDoubleFunction;
import java.util.function.ToDoubleFunction;
import java.util.function.UnaryOperator;

/**
 * Which servers of other failure domains one request may use, and at what cost.
 *
 * @param permitted selects from the candidates those that the request may use; empty only if there
 *     are no candidates
 * @param requestMs cost of handling the request in a failure domain other than the entry's, in
 *     milliseconds
 * @param kvMs cost of sending the KV cache of a number of tokens to an engine of another failure
 *     domain, in milliseconds
 * @param onChosen receives the server that the request will use
 * @param priced whether the costs follow the number of bytes
 */
public record Crossing(
    UnaryOperator<List<ServerLoad>> permitted,
    ToDoubleFunction<String> requestMs,
    LongToDoubleFunction kvMs,
    Consumer<ServerLoad> onChosen,
    boolean priced) {

  /** Cost of leaving without a setting: additional network latency and paid traffic. */
  private static final double CONSTANT_MS = 6;

  /** Allows all servers, at the same small cost for each request and each KV cache. */
  public static Crossing atConstantCost() {
    return new Crossing(
        servers -> servers, domain -> CONSTANT_MS, tokens -> CONSTANT_MS, load -> {}, false);
  }

  /** Returns the same costs for a request that may use every failure domain. */
  Crossing toAnyDomain() {
    return new Crossing(servers -> servers, requestMs, kvMs, onChosen, priced);
  }

  /** Returns the same with an additional receiver of the chosen server. */
  public Crossing andOnChosen(Consumer<ServerLoad> receiver) {
    return new Crossing(permitted, requestMs, kvMs, onChosen.andThen(receiver), priced);
  }
}
