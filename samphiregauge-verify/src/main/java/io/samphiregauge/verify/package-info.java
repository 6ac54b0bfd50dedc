/**
 * Seeded fault schedules over the state machines of the core, checked by invariants after every
 * step.
 *
 * <p>The fakes here stand at the interfaces of the state machines only. Everything in a schedule
 * happens on one thread, in an order and at virtual times drawn from its seed.
 */
package io.samphiregauge.verify;
