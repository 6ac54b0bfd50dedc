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

/** Hashes a member list by bucket, so that two members compare hashes instead of whole lists. */
final class DigestBuckets {
  /** With 560 members a bucket holds 9 on average, so a single difference transfers about 2 KB. */
  static final int COUNT = 64;

  private DigestBuckets() {}

  static int indexOf(String vm) {
    return Math.floorMod(mix(vm.hashCode()), COUNT);
  }

  /** Omits dead members, because processes drop them from their lists at different times. */
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

  /** Returns the indices of the buckets whose hashes differ or are missing on the remote side. */
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

  /** Omits the applied offset and the log contact age, which change with every message. */
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

  /** Mixes all input bits into the result, so that the sums of similar members differ. */
  private static long mix(long value) {
    long x = value * 0x9E3779B97F4A7C15L;
    x = (x ^ (x >>> 32)) * 0xD6E8FEB86659FD93L;
    return x ^ (x >>> 32);
  }
}
