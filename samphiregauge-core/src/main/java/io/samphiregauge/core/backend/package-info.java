/** Registry of backend servers, built from their announcements. */
package io.samphiregauge.core.backend;
