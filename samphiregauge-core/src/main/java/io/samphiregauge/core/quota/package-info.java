/**
 * Quotas of teams over all entries: which entry lends the credit of a team, what it lends, and how
 * the other entries spend it.
 *
 * <p>Load pattern: one team sends many times its usual, through any of the entries, while entries
 * fail, restart, and lose each other or the store.
 */
package io.samphiregauge.core.quota;
