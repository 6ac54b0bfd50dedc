package io.samphiregauge.gateway;

import java.util.Optional;

/**
 * An entry as the group of entries knows it.
 *
 * @param vm its VM
 * @param boot start of its process, in milliseconds since 1970
 * @param domain failure domain
 * @param callerAddress address for callers
 * @param peerAddress address for other entries
 */
public record GroupMember(
    String vm, long boot, String domain, String callerAddress, String peerAddress) {
  private static final String SEPARATOR = "|";
  private static final int FIELD_COUNT = 5;

  /** Returns the text with which the entry joins the group. */
  public String encode() {
    return String.join(SEPARATOR, vm, Long.toString(boot), domain, callerAddress, peerAddress);
  }

  /**
   * Reads the text of a member.
   *
   * @param text the text
   * @return the member; empty if the text is of another kind
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
