/** Marker interfaces implemented by the generated messages, and the JSON Schemas as resources. */
package io.samphiregauge.schema;
