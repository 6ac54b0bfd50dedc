package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.queue.QueueDecision;
import io.samphiregauge.core.site.SiteConfig;

/** What a {@link WaitingRoom} tells a request that waits in it. */
interface QueuedCaller {
  /** Sends the request, which no longer waits. */
  void onSend(QueueDecision.Send decision);

  /** Refuses the request, which no longer waits. */
  void onRefuse(QueueDecision.Refuse decision);

  /** Refuses the request if a new configuration no longer allows it. */
  void onConfigChange(SiteConfig config);

  /** Notes that the request waits. */
  void onWait(QueueDecision.Wait decision);
}
