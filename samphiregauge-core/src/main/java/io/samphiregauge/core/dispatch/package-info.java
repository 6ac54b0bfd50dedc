/** Selects backend servers for requests by estimated load and prompt cache contents. */
package io.samphiregauge.core.dispatch;
