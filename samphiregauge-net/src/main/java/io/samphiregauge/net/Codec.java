package io.samphiregauge.net;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.EngineOrder;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.order.ChangeRole;
import io.samphiregauge.schema.order.Drain;
import io.samphiregauge.schema.order.LoadModel;
import io.samphiregauge.schema.order.StartBackends;
import io.samphiregauge.schema.order.StopBackend;
import io.samphiregauge.schema.peer.BackendLoads;
import io.samphiregauge.schema.peer.CrashQuery;
import io.samphiregauge.schema.peer.CrashReport;
import io.samphiregauge.schema.peer.IndirectProbe;
import io.samphiregauge.schema.peer.LoadDigest;
import io.samphiregauge.schema.peer.MemberDigest;
import io.samphiregauge.schema.peer.MemberExchange;
import io.samphiregauge.schema.peer.OutageQuery;
import io.samphiregauge.schema.peer.OutageReport;
import io.samphiregauge.schema.peer.PeerHello;
import io.samphiregauge.schema.peer.Probe;
import io.samphiregauge.schema.peer.ProbeAck;
import io.samphiregauge.schema.peer.QuotaAsk;
import io.samphiregauge.schema.peer.QuotaGrant;
import io.samphiregauge.schema.peer.QuotaHandover;
import io.samphiregauge.schema.peer.ReaderQuery;
import io.samphiregauge.schema.peer.ReaderReply;
import io.samphiregauge.schema.peer.RecordsReply;
import io.samphiregauge.schema.peer.RecordsRequest;
import io.samphiregauge.schema.peer.SuspicionAck;
import io.samphiregauge.schema.peer.SuspicionNotice;
import io.samphiregauge.schema.peer.UsageAnswer;
import io.samphiregauge.schema.peer.UsageCopy;
import io.samphiregauge.schema.peer.UsageQuery;
import io.samphiregauge.schema.record.Checkpoint;
import io.samphiregauge.schema.record.Ended;
import io.samphiregauge.schema.record.Joined;
import io.samphiregauge.schema.record.LeaseClaim;
import io.samphiregauge.schema.record.LeaseRelease;
import io.samphiregauge.schema.record.LeaseRenewal;
import io.samphiregauge.schema.record.Note;
import io.samphiregauge.schema.record.OrderDone;
import io.samphiregauge.schema.record.OrderIntent;
import io.samphiregauge.schema.record.PieceRelease;
import io.samphiregauge.schema.record.PieceTable;
import io.samphiregauge.schema.record.UsageReportIntent;
import io.samphiregauge.schema.record.UsageReported;
import io.samphiregauge.schema.record.UsageSealed;
import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes the messages of the schema, as JSON or MessagePack.
 *
 * <pre>{@code
 * byte[] frame = Codec.messagePack().encode(probe);
 * Result<PeerMessage> message = Codec.messagePack().decode(frame, PeerMessage.class);
 * }</pre>
 */
public final class Codec {
  private static final List<Class<?>> KINDS =
      List.of(
          Note.class,
          LeaseClaim.class,
          LeaseRenewal.class,
          LeaseRelease.class,
          OrderIntent.class,
          OrderDone.class,
          PieceTable.class,
          PieceRelease.class,
          UsageSealed.class,
          UsageReportIntent.class,
          UsageReported.class,
          Joined.class,
          Ended.class,
          Checkpoint.class,
          LoadModel.class,
          ChangeRole.class,
          Drain.class,
          StartBackends.class,
          StopBackend.class,
          Probe.class,
          ProbeAck.class,
          IndirectProbe.class,
          MemberExchange.class,
          MemberDigest.class,
          OutageReport.class,
          OutageQuery.class,
          PeerHello.class,
          RecordsRequest.class,
          RecordsReply.class,
          UsageCopy.class,
          UsageQuery.class,
          UsageAnswer.class,
          SuspicionNotice.class,
          SuspicionAck.class,
          LoadDigest.class,
          BackendLoads.class,
          ReaderQuery.class,
          ReaderReply.class,
          CrashQuery.class,
          CrashReport.class,
          QuotaAsk.class,
          QuotaGrant.class,
          QuotaHandover.class);

  private static final Codec JSON =
      new Codec(JsonMapper.builder().build(), SchemaIntrospector.forObjects(), bytes -> {});
  private static final Codec MESSAGE_PACK =
      new Codec(
          new ObjectMapper(new MessagePackFactory()),
          SchemaIntrospector.forArrays(),
          Codec::validateLengths);

  private final ObjectMapper mapper;
  private final InputValidator validator;

  private Codec(ObjectMapper mapper, SchemaIntrospector introspector, InputValidator validator) {
    this.mapper = mapper;
    this.validator = validator;
    mapper.registerModule(new Jdk8Module());
    mapper.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    mapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
    mapper.setAnnotationIntrospector(introspector);
    mapper.addMixIn(RecordBody.class, KindMixIn.class);
    mapper.addMixIn(PeerMessage.class, KindMixIn.class);
    mapper.addMixIn(EngineOrder.class, KindMixIn.class);
    KINDS.forEach(kind -> mapper.registerSubtypes(new NamedType(kind, kind.getSimpleName())));
  }

  /** Checks the bytes of a message before they are decoded. */
  @FunctionalInterface
  private interface InputValidator {
    void validate(byte[] bytes) throws IOException;
  }

  /**
   * Rejects input in which a length field exceeds the remaining bytes. The decoder allocates the
   * announced length before it reads, so a message of six bytes could exhaust the heap.
   */
  private static void validateLengths(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      unpacker.skipValue();
    }
  }

  /** Stores the simple name of the message class in the field {@code kind}. */
  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
  private interface KindMixIn {}

  /**
   * Returns the codec for HTTP bodies.
   *
   * @return a shared, thread-safe codec
   */
  public static Codec json() {
    return JSON;
  }

  /**
   * Returns the codec for frames between entries.
   *
   * @return a shared, thread-safe codec
   */
  public static Codec messagePack() {
    return MESSAGE_PACK;
  }

  /**
   * Encodes a message.
   *
   * @param message message of the schema, or a JSON tree
   * @return the encoded message
   * @throws EncodingException if the message cannot be encoded, which is a programming error
   */
  public byte[] encode(Object message) {
    try {
      return mapper.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new EncodingException(message.getClass().getSimpleName(), e);
    }
  }

  /**
   * Decodes a message.
   *
   * @param bytes the encoded message
   * @param type type of the message
   * @return the message, or {@link NetFailure.BadMessage} with the location of the error
   */
  public <T> Result<T> decode(byte[] bytes, Class<T> type) {
    try {
      validator.validate(bytes);
      return Result.success(mapper.readValue(bytes, type));
    } catch (IOException | RuntimeException e) {
      // The MessagePack library reports truncated input with unchecked exceptions.
      return Result.failed(NetFailure.BadMessage.of(type.getSimpleName(), e));
    }
  }

  /**
   * Decodes any JSON or MessagePack value.
   *
   * @param bytes the encoded value
   * @return its tree, or {@link NetFailure.BadMessage} with the location of the error
   */
  public Result<JsonNode> decodeTree(byte[] bytes) {
    return decode(bytes, JsonNode.class);
  }

  /** Signals a message that cannot be encoded, which is a programming error. */
  public static final class EncodingException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception for a message type.
     *
     * @param type simple name of the message class
     * @param cause exception of the encoder
     */
    public EncodingException(String type, Throwable cause) {
      super("Cannot encode message of type " + type, cause);
    }
  }
}
