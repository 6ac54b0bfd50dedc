/** Fair queueing across teams. */
package io.samphiregauge.core.fair;
