package io.samphiregauge.gateway;

import io.samphiregauge.core.directory.CallerSpread;
import io.samphiregauge.core.directory.EntryCapacity;
import io.samphiregauge.core.directory.RequestDemand;
import io.samphiregauge.schema.gateway.VmLimits;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Selects the entries whose addresses are returned to a caller. */
public final class EntryDirectory {
  private EntryDirectory() {}

  /**
   * Returns the addresses for a caller.
   *
   * @param members entries that serve callers
   * @param domain failure domain of the caller
   * @param caller identifies the caller
   * @param demand what an average request needs
   * @param share returns the part of its usual share of the callers that an entry asks for
   * @return addresses to which the caller may connect
   */
  public static List<String> addressesFor(
      List<GroupMember> members,
      String domain,
      String caller,
      RequestDemand demand,
      ToDoubleFunction<GroupMember> share) {
    List<CallerSpread.Entry> entries =
        members.stream()
            .map(
                member ->
                    new CallerSpread.Entry(
                        member.vm(),
                        member.domain(),
                        member.callerAddress(),
                        member.capacity(),
                        share.applyAsDouble(member)))
            .toList();
    return CallerSpread.addressesFor(entries, domain, caller, demand);
  }

  /** Returns what a VM with the given limits can bear. */
  static EntryCapacity toCapacity(VmLimits limits) {
    return new EntryCapacity(
        limits.getProcessorShare() * limits.getProcessorSpeed(),
        limits.getLinkMbps(),
        limits.getMemoryMb(),
        limits.getMaxFds());
  }
}
