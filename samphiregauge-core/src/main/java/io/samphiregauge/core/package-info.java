/** Sources of time and randomness that every decision takes as an argument. */
package io.samphiregauge.core;
