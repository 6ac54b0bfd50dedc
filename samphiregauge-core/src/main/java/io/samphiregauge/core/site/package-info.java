/** The operators' configuration as traffic uses it: routes, services and the keys of teams. */
package io.samphiregauge.core.site;
