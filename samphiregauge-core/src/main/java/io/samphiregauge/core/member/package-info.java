/** Membership: which entries live, learnt by gossip; it never decides alone that one has ended. */
package io.samphiregauge.core.member;
