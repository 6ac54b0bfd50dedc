package io.samphiregauge.gateway.control;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.net.Codec;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;

/** Reads the messages that entries write into the store for each other. */
final class RecordDecoder {
  private RecordDecoder() {}

  /**
   * Decodes a record.
   *
   * @param record the record
   * @param type type of the message
   * @param log takes a line where the record cannot be read
   * @param event name of that line's event
   * @param <T> type of the message
   * @return the message; empty where the record was removed or cannot be read
   */
  static <T> Optional<T> decode(StoreRecord record, Class<T> type, Logger log, String event) {
    Optional<Result<T>> decoded = record.value().map(bytes -> Codec.json().decode(bytes, type));
    decoded
        .flatMap(Result::failure)
        .ifPresent(failure -> log.log(Level.ERROR, "event=" + event + " " + failure.message()));
    return decoded.flatMap(Result::value);
  }
}
