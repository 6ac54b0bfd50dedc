package io.samphiregauge.gateway;

import java.util.List;

/** Selects the entries whose addresses are returned to a caller. */
public final class EntryDirectory {
  /** Maximum number of addresses in a response. */
  private static final int MAX_ADDRESSES = 64;

  /** With fewer entries in its failure domain, a caller would have none left after one failure. */
  private static final int MIN_SAME_DOMAIN = 2;

  private EntryDirectory() {}

  /**
   * Returns the addresses for a caller: those of the entries in its failure domain, or of all
   * entries if there are too few in its failure domain.
   *
   * @param members entries that serve callers
   * @param domain failure domain of the caller
   * @return addresses to which the caller may connect
   */
  public static List<String> addressesFor(List<GroupMember> members, String domain) {
    List<GroupMember> sameDomain =
        members.stream().filter(member -> member.domain().equals(domain)).toList();
    List<GroupMember> selected = sameDomain.size() >= MIN_SAME_DOMAIN ? sameDomain : members;
    return selected.stream().map(GroupMember::callerAddress).limit(MAX_ADDRESSES).toList();
  }
}
