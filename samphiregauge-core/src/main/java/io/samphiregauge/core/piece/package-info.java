/** Allocation of pieces of engine capacity to entries. */
package io.samphiregauge.core.piece;
