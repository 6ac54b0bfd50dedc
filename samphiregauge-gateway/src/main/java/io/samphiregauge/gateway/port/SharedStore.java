package io.samphiregauge.gateway.port;

import io.samphiregauge.core.result.Result;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Calls to the platform's store. Each future completes. After a failure, it is unknown whether the
 * call took effect, unless the store rejected it.
 *
 * @param snapshotReader reads the newest record of each key
 * @param tailReader reads records from an offset
 * @param appender appends records
 * @param batchAppender appends several records with one call
 * @param groupJoiner joins the group of entries, or renews the membership
 * @param groupLeaver removes this entry from the group
 * @param memberReader reads the members of the group
 */
public record SharedStore(
    SnapshotReader snapshotReader,
    TailReader tailReader,
    Appender appender,
    BatchAppender batchAppender,
    GroupJoiner groupJoiner,
    GroupLeaver groupLeaver,
    MemberReader memberReader) {
  /** Time for which a join is valid: three join intervals, so that one may fail. */
  public static final long MEMBER_TTL_MS = 3_000;

  /** Reads the newest record of each key. */
  @FunctionalInterface
  public interface SnapshotReader {
    /**
     * Reads the newest record of each key.
     *
     * @param topic a keyed topic
     * @return newest record of each key, and the offset from which to read later records
     */
    CompletableFuture<Result<ReadResult.Records>> read(Topic topic);
  }

  /** Reads records from an offset. */
  @FunctionalInterface
  public interface TailReader {
    /**
     * Reads records from an offset.
     *
     * @param topic the topic
     * @param fromOffset first offset to read
     * @param waitMs maximum time to wait for a record, in milliseconds; 0 to respond at once
     * @return the records; none if none arrived in time
     */
    CompletableFuture<Result<ReadResult>> read(Topic topic, long fromOffset, int waitMs);
  }

  /** Appends records. */
  @FunctionalInterface
  public interface Appender {
    /**
     * Appends one record.
     *
     * @param topic the topic
     * @param record the record
     * @param expectedEndOffset end offset that the topic must have, or empty for any
     * @return the new end offset, or the actual one if it differs from the expected one
     */
    CompletableFuture<Result<AppendResult>> append(
        Topic topic, StoreRecord record, OptionalLong expectedEndOffset);
  }

  /** Appends several records with one call. */
  @FunctionalInterface
  public interface BatchAppender {
    /**
     * Appends all records or none.
     *
     * @param topic the topic
     * @param records the records, at least one
     * @param expectedEndOffset end offset that the topic must have, or empty for any
     * @return the new end offset, or the actual one if it differs from the expected one
     */
    CompletableFuture<Result<AppendResult>> append(
        Topic topic, List<StoreRecord> records, OptionalLong expectedEndOffset);
  }

  /** Joins the group of entries. */
  @FunctionalInterface
  public interface GroupJoiner {
    /**
     * Joins the group, or renews the membership.
     *
     * @param member encoded member
     * @param generation generation of the group that was returned last, 0 at first
     * @return generation of the group, which increases when members join or leave
     */
    CompletableFuture<Result<Long>> join(String member, long generation);
  }

  /** Leaves the group of entries. */
  @FunctionalInterface
  public interface GroupLeaver {
    /**
     * Leaves the group.
     *
     * @param member encoded member with which the entry joined
     * @return completes when the store has responded
     */
    CompletableFuture<Result<Long>> leave(String member);
  }

  /** Reads the members of the group of entries. */
  @FunctionalInterface
  public interface MemberReader {
    /**
     * Reads the members.
     *
     * @return encoded members, with which they joined
     */
    CompletableFuture<Result<List<String>>> read();
  }
}
