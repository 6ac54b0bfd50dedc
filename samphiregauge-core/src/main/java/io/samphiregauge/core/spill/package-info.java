/**
 * Decides when work leaves its failure domain, and how much of it. Answers uneven demand: one
 * failure domain has too few servers, or has lost them all at once, while others have servers to
 * spare and traffic between failure domains is slow and paid for. The work that leaves is a flow
 * that shifts by bounded steps; each request then uses the flow only if that pays for its own
 * bytes.
 */
package io.samphiregauge.core.spill;
