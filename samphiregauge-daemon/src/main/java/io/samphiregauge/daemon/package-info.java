/** The daemon on each entry VM: traffic, and the control roles that it happens to hold. */
package io.samphiregauge.daemon;
