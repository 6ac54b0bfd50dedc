/** Pieces of engine capacity: who holds which, and when they may move. */
package io.samphiregauge.core.piece;
