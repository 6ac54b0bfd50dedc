/**
 * Control state of an entry: followers that read the store, and the fleet duties that the holder of
 * the duty lease performs. All of it runs on the control thread.
 */
package io.samphiregauge.gateway.control;
