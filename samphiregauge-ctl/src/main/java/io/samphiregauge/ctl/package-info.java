/** The command line tool {@code samphirectl} for operators, and its demo cluster. */
package io.samphiregauge.ctl;
