/** Admission control: early rejection, team limits, retry budgets and circuit breakers. */
package io.samphiregauge.core.admit;
