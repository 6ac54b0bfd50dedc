/** Backend servers as they announce themselves, and which of them may get work. */
package io.samphiregauge.core.backend;
