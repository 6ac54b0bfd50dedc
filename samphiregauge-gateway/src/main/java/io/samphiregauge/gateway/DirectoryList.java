package io.samphiregauge.gateway;

import java.util.List;

/** Decides which addresses a caller is told. */
public final class DirectoryList {
  /** Most addresses of one answer. */
  private static final int MAX_ADDRESSES = 64;

  /** With fewer entries near a caller, one failure would leave it without any. */
  private static final int MIN_NEAR = 2;

  private DirectoryList() {}

  /**
   * Chooses the entries for a caller: those of its failure domain, or all where these are too few.
   *
   * @param members entries that serve
   * @param domain failure domain of the caller
   * @return addresses for callers
   */
  public static List<String> addresses(List<Member> members, String domain) {
    List<Member> near = members.stream().filter(member -> member.domain().equals(domain)).toList();
    List<Member> told = near.size() >= MIN_NEAR ? near : members;
    return told.stream().map(Member::callerAddress).limit(MAX_ADDRESSES).toList();
  }
}
