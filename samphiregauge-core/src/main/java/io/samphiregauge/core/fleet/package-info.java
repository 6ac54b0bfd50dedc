/**
 * Fleet decisions: demand forecasts, engine roles and numbers, failure domains, rolling changes.
 */
package io.samphiregauge.core.fleet;
