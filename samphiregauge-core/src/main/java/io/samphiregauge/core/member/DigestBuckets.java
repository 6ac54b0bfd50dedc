package io.samphiregauge.core.member;

import io.samphiregauge.schema.peer.Member;
import io.samphiregauge.schema.peer.MemberState;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/** Splits a member list into buckets whose hashes are compared instead of the whole list. */
final class DigestBuckets {
  /** At 560 members a bucket holds 9, so one difference costs about 2 KB. */
  static final int COUNT = 64;

  private DigestBuckets() {}

  static int indexOf(String vm) {
    return Math.floorMod(mix(vm.hashCode()), COUNT);
  }

  /** Leaves dead members out, since some processes have forgotten them and others not. */
  static List<Long> hashes(Collection<Member> members) {
    long[] sums = new long[COUNT];
    for (Member member : members) {
      if (member.getState() == MemberState.DEAD) {
        continue;
      }
      sums[indexOf(member.getIncarnation().getVm())] += hash(member);
    }
    return Arrays.stream(sums).boxed().toList();
  }

  static Set<Integer> differing(List<Long> local, List<Long> remote) {
    Set<Integer> buckets = new LinkedHashSet<>();
    for (int i = 0; i < COUNT; i++) {
      if (i >= remote.size() || !local.get(i).equals(remote.get(i))) {
        buckets.add(i);
      }
    }
    return buckets;
  }

  static List<Member> select(Collection<Member> members, Set<Integer> buckets) {
    List<Member> selected = new ArrayList<>();
    for (Member member : members) {
      if (buckets.contains(indexOf(member.getIncarnation().getVm()))) {
        selected.add(member);
      }
    }
    return selected;
  }

  /** Offset and log contact change all the time and are left out. */
  private static long hash(Member member) {
    int identityHash =
        Objects.hash(
            member.getIncarnation().getVm(),
            member.getIncarnation().getStartMs(),
            member.getIncarnation().getNonce(),
            member.getState().value(),
            member.getRefutation());
    return mix(identityHash);
  }

  /** Spreads all bits over the result, so that sums of similar members differ. */
  private static long mix(long value) {
    long x = value * 0x9E3779B97F4A7C15L;
    x = (x ^ (x >>> 32)) * 0xD6E8FEB86659FD93L;
    return x ^ (x >>> 32);
  }
}
