package io.samphiregauge.gateway.control;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.net.Codec;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;

/** Decodes the messages that entries exchange through the store. */
final class RecordDecoder {
  private RecordDecoder() {}

  /**
   * Decodes the value of a record and logs a failure.
   *
   * @param record the record
   * @param type type of the message
   * @param log logger for a record that cannot be decoded
   * @param event name of the event to log for such a record
   * @param <T> type of the message
   * @return the message; empty if the record was removed or cannot be decoded
   */
  static <T> Optional<T> decode(StoreRecord record, Class<T> type, Logger log, String event) {
    Optional<Result<T>> decoded = record.value().map(bytes -> Codec.json().decode(bytes, type));
    decoded
        .flatMap(Result::failure)
        .ifPresent(failure -> log.log(Level.ERROR, "event=" + event + " " + failure.message()));
    return decoded.flatMap(Result::value);
  }
}
