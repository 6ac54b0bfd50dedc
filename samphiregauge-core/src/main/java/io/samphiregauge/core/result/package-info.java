/** Sealed results: a value, or a failure that has a type. */
package io.samphiregauge.core.result;
