package io.samphiregauge.gateway;

import io.samphiregauge.core.directory.EntryCapacity;
import java.util.Locale;
import java.util.Optional;

/**
 * A member of the group of entries, as it describes itself to the other members.
 *
 * @param vm identifier of its VM
 * @param startMs start time of its process, in milliseconds since the epoch
 * @param domain failure domain
 * @param callerAddress address for callers
 * @param peerAddress address for other entries
 * @param capacity what its VM can bear; empty if its settings do not name it
 */
public record GroupMember(
    String vm,
    long startMs,
    String domain,
    String callerAddress,
    String peerAddress,
    Optional<EntryCapacity> capacity) {
  private static final String SEPARATOR = "|";
  private static final int FIELD_COUNT = 5;

  /**
   * Separates the VM from the capacity. During a rolling update, earlier versions parse the text
   * too: they expect the same number of fields, and take both for the name of the VM. It sorts
   * before all characters of a name, so that all versions order the members alike.
   */
  private static final String CAPACITY_SEPARATOR = "!";

  private static final String CAPACITY_FORMAT = "\\d+\\.\\d+,\\d+\\.\\d+,\\d{1,8},\\d{1,8}";

  /** Creates a member whose capacity is not known. */
  public GroupMember(
      String vm, long startMs, String domain, String callerAddress, String peerAddress) {
    this(vm, startMs, domain, callerAddress, peerAddress, Optional.empty());
  }

  /** Returns the name of the process, which differs after a restart. */
  public String process() {
    return vm + "@" + startMs;
  }

  /** Returns the encoded member, with which the entry joins the group. */
  public String encode() {
    return String.join(
        SEPARATOR,
        vm + capacity.map(GroupMember::encodeCapacity).orElse(""),
        Long.toString(startMs),
        domain,
        callerAddress,
        peerAddress);
  }

  private static String encodeCapacity(EntryCapacity capacity) {
    return CAPACITY_SEPARATOR
        + String.format(
            Locale.ROOT,
            "%.3f,%.3f,%d,%d",
            capacity.cores(),
            capacity.linkMbps(),
            capacity.memoryMb(),
            capacity.maxFds());
  }

  /**
   * Parses an encoded member.
   *
   * @param text text as returned by {@link #encode}, also by an earlier version
   * @return the member; empty if the text has another format
   */
  public static Optional<GroupMember> parse(String text) {
    String[] fields = text.split("\\|", -1);
    if (fields.length != FIELD_COUNT || !fields[1].matches("\\d{1,18}")) {
      return Optional.empty();
    }
    String[] name = fields[0].split(CAPACITY_SEPARATOR, 2);
    return Optional.of(
        new GroupMember(
            name[0],
            Long.parseLong(fields[1]),
            fields[2],
            fields[3],
            fields[4],
            name.length > 1 ? parseCapacity(name[1]) : Optional.empty()));
  }

  private static Optional<EntryCapacity> parseCapacity(String text) {
    if (!text.matches(CAPACITY_FORMAT)) {
      return Optional.empty();
    }
    String[] parts = text.split(",", -1);
    return Optional.of(
        new EntryCapacity(
            Double.parseDouble(parts[0]),
            Double.parseDouble(parts[1]),
            Integer.parseInt(parts[2]),
            Integer.parseInt(parts[3])));
  }
}
