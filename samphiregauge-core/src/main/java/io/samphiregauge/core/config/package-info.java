/** Configuration in force, and the notes that change it. */
package io.samphiregauge.core.config;
