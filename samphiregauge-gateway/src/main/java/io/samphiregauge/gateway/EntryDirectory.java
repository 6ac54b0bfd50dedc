package io.samphiregauge.gateway;

import java.util.List;

/** Decides which addresses a caller is told. */
public final class EntryDirectory {
  /** Most addresses of one answer. */
  private static final int MAX_ADDRESSES = 64;

  /** With fewer entries near a caller, one failure would leave it without any. */
  private static final int MIN_SAME_DOMAIN = 2;

  private EntryDirectory() {}

  /**
   * Chooses the entries for a caller: those of its failure domain, or all where these are too few.
   *
   * @param members entries that serve
   * @param domain failure domain of the caller
   * @return addresses for callers
   */
  public static List<String> addressesFor(List<GroupMember> members, String domain) {
    List<GroupMember> sameDomain =
        members.stream().filter(member -> member.domain().equals(domain)).toList();
    List<GroupMember> selected = sameDomain.size() >= MIN_SAME_DOMAIN ? sameDomain : members;
    return selected.stream().map(GroupMember::callerAddress).limit(MAX_ADDRESSES).toList();
  }
}
