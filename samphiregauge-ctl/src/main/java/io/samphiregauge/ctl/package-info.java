/** The command {@code samphirectl} for operators, and the demo. */
package io.samphiregauge.ctl;
