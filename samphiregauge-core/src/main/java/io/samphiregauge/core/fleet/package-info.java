/** Roles and number of engines: forecasts, decisions with hysteresis, spread, rolling changes. */
package io.samphiregauge.core.fleet;
