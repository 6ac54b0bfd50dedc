/** Chooses the backend servers of a request from what this entry knows of their load. */
package io.samphiregauge.core.dispatch;
