/**
 * Runs seeded fault schedules against the state machines of the core and checks invariants after
 * every step.
 *
 * <p>The simulated log, network, engines, services and callers drive the state machines through
 * their public interfaces only. Each schedule runs on one thread; the order and the virtual times
 * of its steps depend only on its seed.
 */
package io.samphiregauge.verify;
