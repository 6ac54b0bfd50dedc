/** Marker interfaces of the generated messages, and the JSON Schemas as resources. */
package io.samphiregauge.schema;
