/** The control thread: what it follows in the store, and the duties it takes. */
package io.samphiregauge.gateway.control;
