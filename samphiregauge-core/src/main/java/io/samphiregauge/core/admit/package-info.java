/** Admission: early refusal, team limits, retry budget, isolation of engines. */
package io.samphiregauge.core.admit;
