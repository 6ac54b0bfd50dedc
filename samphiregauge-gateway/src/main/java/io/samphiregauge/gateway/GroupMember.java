package io.samphiregauge.gateway;

import java.util.Optional;

/**
 * A member of the group of entries, as it describes itself to the other members.
 *
 * @param vm identifier of its VM
 * @param startMs start time of its process, in milliseconds since the epoch
 * @param domain failure domain
 * @param callerAddress address for callers
 * @param peerAddress address for other entries
 */
public record GroupMember(
    String vm, long startMs, String domain, String callerAddress, String peerAddress) {
  private static final String SEPARATOR = "|";
  private static final int FIELD_COUNT = 5;

  /** Returns the encoded member, with which the entry joins the group. */
  public String encode() {
    return String.join(SEPARATOR, vm, Long.toString(startMs), domain, callerAddress, peerAddress);
  }

  /**
   * Parses an encoded member.
   *
   * @param text text as returned by {@link #encode}
   * @return the member; empty if the text has another format
   */
  public static Optional<GroupMember> parse(String text) {
    String[] fields = text.split("\\|", -1);
    if (fields.length != FIELD_COUNT || !fields[1].matches("\\d{1,18}")) {
      return Optional.empty();
    }
    return Optional.of(
        new GroupMember(fields[0], Long.parseLong(fields[1]), fields[2], fields[3], fields[4]));
  }
}
