/** Division of service among teams. */
package io.samphiregauge.core.fair;
