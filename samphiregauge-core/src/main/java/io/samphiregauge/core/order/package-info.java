/** Orders to engines and to the platform: intent first, one at a time for each target. */
package io.samphiregauge.core.order;
