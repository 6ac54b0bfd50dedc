/** Results of operations that can fail: a value or a typed failure. */
package io.samphiregauge.core.result;
