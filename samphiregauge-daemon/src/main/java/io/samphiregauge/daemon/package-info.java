/** The daemon that runs on each entry VM: traffic handling, and any control roles leased to it. */
package io.samphiregauge.daemon;
