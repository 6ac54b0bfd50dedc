/**
 * Time, randomness and state transitions: the inputs and the result type of every decision, so that
 * decisions are deterministic and can be tested without real clocks.
 */
package io.samphiregauge.core;
