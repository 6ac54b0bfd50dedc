package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.quota.QuotaCharge;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A request on whose quota is to be decided; compared by identity.
 *
 * @param request the request
 * @param onAdmitted receives what it was charged
 * @param onRefused receives the error to send
 */
record QuotaWait(
    RoutedRequest request,
    Consumer<Optional<QuotaCharge>> onAdmitted,
    Consumer<ErrorResponse> onRefused) {
  @Override
  public boolean equals(Object other) {
    return this == other;
  }

  @Override
  public int hashCode() {
    return System.identityHashCode(this);
  }
}
