/** The current configuration and the operators' notes that change it. */
package io.samphiregauge.core.config;
