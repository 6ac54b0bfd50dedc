package io.samphiregauge.gateway.port;

import io.samphiregauge.core.result.Result;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Calls to the platform's store. Each future completes; a failure leaves open whether the call took
 * effect, unless the store refused it.
 *
 * @param snapshotReader reads the newest record of each key
 * @param tailReader reads records from an offset
 * @param appender appends records
 * @param groupJoiner joins the group of entries, or keeps this entry in it
 * @param groupLeaver takes this entry out of the group
 * @param memberReader reads the entries of the group
 */
public record SharedStore(
    SnapshotReader snapshotReader,
    TailReader tailReader,
    Appender appender,
    GroupJoiner groupJoiner,
    GroupLeaver groupLeaver,
    MemberReader memberReader) {

  /** Reads the newest record of each key. */
  @FunctionalInterface
  public interface SnapshotReader {
    /**
     * Reads a keyed topic.
     *
     * @param topic the topic
     * @return newest record of each key, and an offset from which later records can be read
     */
    CompletableFuture<Result<ReadResult.Records>> read(Topic topic);
  }

  /** Reads records from an offset. */
  @FunctionalInterface
  public interface TailReader {
    /**
     * Reads a topic.
     *
     * @param topic the topic
     * @param fromOffset first offset to read
     * @param waitMs time to wait for a record, 0 to answer at once
     * @return records, none where none came in time
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
     * @param expectedEndOffset offset at which the topic must end; empty for any
     * @return the new end, or where the topic ends instead
     */
    CompletableFuture<Result<AppendResult>> append(
        Topic topic, StoreRecord record, OptionalLong expectedEndOffset);
  }

  /** Joins the group of entries. */
  @FunctionalInterface
  public interface GroupJoiner {
    /**
     * Joins, or stays a member.
     *
     * @param member text that describes the entry to others
     * @param generation generation of the group that was returned last, 0 at first
     * @return generation of the group; it grows when members come and go
     */
    CompletableFuture<Result<Long>> join(String member, long generation);
  }

  /** Leaves the group of entries. */
  @FunctionalInterface
  public interface GroupLeaver {
    /**
     * Leaves.
     *
     * @param member text with which the entry joined
     * @return completes when the store has answered
     */
    CompletableFuture<Result<Long>> leave(String member);
  }

  /** Reads the members of the group of entries. */
  @FunctionalInterface
  public interface MemberReader {
    /**
     * Reads the members.
     *
     * @return texts with which the members joined
     */
    CompletableFuture<Result<List<String>>> read();
  }
}
