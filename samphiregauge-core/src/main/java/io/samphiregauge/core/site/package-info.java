/**
 * The operators' configuration in the form that request routing uses: routes, services and keys.
 */
package io.samphiregauge.core.site;
