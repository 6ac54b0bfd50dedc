package io.samphiregauge.gateway.control;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.stream.ServiceVersion;
import io.samphiregauge.core.stream.StreamOriginTable;
import io.samphiregauge.core.stream.VersionLedger;
import io.samphiregauge.gateway.port.ReadResult;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.gateway.port.Topic;
import io.samphiregauge.net.Codec;
import io.samphiregauge.schema.gateway.StreamOrigins;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Records which software version began each stream, and finds it for a caller that takes a stream
 * up. While a service has several versions, the records are written to the store, where entries
 * find them after the entry of the stream has gone. Runs on the control thread.
 */
final class StreamOriginLog {
  private static final Logger LOG = System.getLogger(StreamOriginLog.class.getName());

  /** Shortest time for which records are collected; most streams last several times as long. */
  private static final long MIN_COLLECT_MS = 50;

  /** Limits the writes of all entries together to 100 a second, a quarter of the store's limit. */
  private static final long COLLECT_MS_PER_MEMBER = 10;

  private static final long RETRY_MS = 250;

  private final ControlThread control;
  private final SharedStore store;
  private final VersionRegistrar registrar;
  private final IntSupplier memberCount;
  private final LongSupplier clock;
  private final StreamOriginTable origins = new StreamOriginTable();
  private final List<Lookup> waiting = new ArrayList<>();
  private boolean lookupRunning;
  private boolean writeScheduled;
  private long nextOffset;

  /** Incremented by each restore of the store, which invalidates the offset. */
  private long restores;

  /** A caller that waits for the version that began its stream. */
  private record Lookup(String service, String attemptId, Consumer<Optional<String>> handler) {}

  /**
   * Creates a log without records.
   *
   * @param control the control thread
   * @param store the store
   * @param registrar knows the versions of each service
   * @param memberCount provides the number of entries
   * @param clock provides monotonic time in milliseconds
   */
  StreamOriginLog(
      ControlThread control,
      SharedStore store,
      VersionRegistrar registrar,
      IntSupplier memberCount,
      LongSupplier clock) {
    this.control = control;
    this.store = store;
    this.registrar = registrar;
    this.memberCount = memberCount;
    this.clock = clock;
  }

  /**
   * Records that a server sent the first event of a stream.
   *
   * @param attemptId identifier of the caller's attempt that received it
   * @param origin service and software version of the server
   */
  void record(String attemptId, ServiceVersion origin) {
    origins.addOwn(attemptId, origin, clock.getAsLong());
    if (registrar.isMixed(origin.service())) {
      scheduleWrite();
    }
  }

  /** Writes records of services that have several versions now. */
  void onVersionsChanged() {
    scheduleWrite();
  }

  /** Reads all records again, because the store may assign the offset that was reached again. */
  void onStoreEra() {
    nextOffset = 0;
    restores++;
  }

  private void scheduleWrite() {
    if (!writeScheduled && origins.hasUnwritten(registrar::isMixed)) {
      writeScheduled = true;
      control.schedule(
          Math.max(MIN_COLLECT_MS, COLLECT_MS_PER_MEMBER * memberCount.getAsInt()), this::write);
    }
  }

  private void write() {
    StreamOriginTable.Batch batch = origins.takeUnwritten(registrar::isMixed, clock.getAsLong());
    if (batch.isEmpty()) {
      writeScheduled = false;
      return;
    }
    List<StoreRecord> records =
        batch.attemptsByOrigin().entrySet().stream()
            .map(entry -> encode(entry.getKey(), entry.getValue()))
            .toList();
    control.onResult(
        store.batchAppender().append(Topic.STREAMS, records, OptionalLong.empty()),
        result -> {
          writeScheduled = false;
          result.fold(
              appended -> {
                scheduleWrite();
                return true;
              },
              failure -> {
                LOG.log(Level.WARNING, "event=origins_not_written cause={0}", failure.type());
                origins.putBack(batch);
                control.schedule(RETRY_MS, this::scheduleWrite);
                return false;
              });
        });
  }

  private static StoreRecord encode(ServiceVersion origin, List<String> attemptIds) {
    StreamOrigins message = new StreamOrigins(origin.service(), origin.version(), attemptIds);
    return new StoreRecord("", Optional.of(Codec.json().encode(message)));
  }

  /**
   * Finds the software version that began a stream.
   *
   * @param service service to which the caller's request is routed
   * @param attemptId attempt that brought the first event, as the caller names it
   * @param handler receives the version, or empty if it cannot be told
   */
  void find(String service, String attemptId, Consumer<Optional<String>> handler) {
    Optional<ServiceVersion> known = origins.find(attemptId);
    if (known.isPresent()) {
      handler.accept(versionAt(service, known));
      return;
    }
    waiting.add(new Lookup(service, attemptId, handler));
    startLookup();
  }

  /** An origin at another service says nothing about the versions of this one. */
  private static Optional<String> versionAt(String service, Optional<ServiceVersion> origin) {
    return origin.filter(known -> known.service().equals(service)).map(ServiceVersion::version);
  }

  /**
   * Reads the store for all callers that wait. A read that began before a caller came does not
   * count for it: its stream may have begun, or its version may have been listed, after that.
   */
  private void startLookup() {
    if (lookupRunning || waiting.isEmpty()) {
      return;
    }
    lookupRunning = true;
    List<Lookup> lookups = List.copyOf(waiting);
    waiting.clear();
    readOrigins(lookups);
  }

  private void readOrigins(List<Lookup> lookups) {
    long restoresBefore = restores;
    control.onResult(
        store.tailReader().read(Topic.STREAMS, nextOffset, 0),
        result -> {
          if (restores == restoresBefore) {
            onReadEnd(lookups, result);
          } else {
            readOrigins(lookups);
          }
        });
  }

  private boolean onReadEnd(List<Lookup> lookups, Result<ReadResult> result) {
    return result.fold(
        page -> onOriginsRead(lookups, page),
        failure -> {
          LOG.log(Level.WARNING, "event=origins_not_read cause={0}", failure.type());
          return endLookups(lookups, any -> Optional.empty());
        });
  }

  private boolean onOriginsRead(List<Lookup> lookups, ReadResult page) {
    if (page instanceof ReadResult.Expired expired) {
      return skipExpired(lookups, expired);
    }
    ReadResult.Records records = (ReadResult.Records) page;
    nextOffset = records.nextOffset();
    records.records().forEach(this::addStored);
    if (!records.records().isEmpty()) {
      readOrigins(lookups);
      return true;
    }
    if (lookups.stream().allMatch(lookup -> origins.find(lookup.attemptId()).isPresent())) {
      return endLookups(lookups, any -> Optional.empty());
    }
    registrar.readSnapshot(result -> onSnapshotRead(lookups, result));
    return true;
  }

  private boolean skipExpired(List<Lookup> lookups, ReadResult.Expired expired) {
    if (expired.firstOffset() == nextOffset) {
      // The store does not say where its records begin.
      return endLookups(lookups, any -> Optional.empty());
    }
    nextOffset = expired.firstOffset();
    readOrigins(lookups);
    return true;
  }

  private void addStored(StoreRecord record) {
    RecordDecoder.decode(record, StreamOrigins.class, LOG, "origins_unreadable")
        .ifPresent(
            message -> {
              ServiceVersion origin =
                  new ServiceVersion(message.getService(), message.getVersion());
              message.getAttempts().forEach(id -> origins.addStored(id, origin, clock.getAsLong()));
            });
  }

  private void onSnapshotRead(List<Lookup> lookups, Result<VersionLedger.Snapshot> result) {
    endLookups(
        lookups, service -> result.value().flatMap(snapshot -> snapshot.onlyVersion(service)));
  }

  /**
   * Tells each caller the version that began its stream.
   *
   * @param lookups the callers
   * @param onlyVersion returns the version for a service whose streams have no record, if it is
   *     certain
   */
  private boolean endLookups(List<Lookup> lookups, Function<String, Optional<String>> onlyVersion) {
    for (Lookup lookup : lookups) {
      Optional<ServiceVersion> origin = origins.find(lookup.attemptId());
      lookup
          .handler()
          .accept(
              origin.isPresent()
                  ? versionAt(lookup.service(), origin)
                  : onlyVersion.apply(lookup.service()));
    }
    lookupRunning = false;
    startLookup();
    return true;
  }
}
