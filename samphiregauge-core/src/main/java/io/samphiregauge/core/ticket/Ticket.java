package io.samphiregauge.core.ticket;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.record.Incarnation;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Names the only process that may run a request. The text form is {@code
 * vm.start_ms.nonce.issued_ms.number}.
 *
 * @param owner process that issued the ticket
 * @param issuedMs time of issue on the clock of the owner
 * @param number number of the ticket, unique among those of the owner
 */
public record Ticket(Incarnation owner, long issuedMs, long number) {
  /** Header in which a caller sends a ticket. */
  public static final String HEADER = "Samphire-Ticket";

  /** Maximum length of the text form in characters. */
  static final int MAX_LENGTH = 256;

  /** A VM name may contain dots, so the greedy first group leaves only the last four numbers. */
  private static final Pattern FORMAT =
      Pattern.compile("(.+)\\.(-?\\d{1,19})\\.(-?\\d{1,19})\\.(\\d{1,19})\\.(\\d{1,19})");

  /** Checks that the owner is present. */
  public Ticket {
    Objects.requireNonNull(owner, "owner");
  }

  /**
   * Parses the text form of a ticket. Only the form that {@link #text} produces is accepted.
   *
   * @param text text received from a caller
   * @return the ticket, or a {@link TicketFailure.Malformed}
   */
  public static Result<Ticket> parse(String text) {
    Objects.requireNonNull(text, "text");
    return decode(text)
        .filter(ticket -> ticket.text().equals(text))
        .<Result<Ticket>>map(Result::success)
        .orElseGet(() -> Result.failed(new TicketFailure.Malformed(text.length())));
  }

  /**
   * Returns the text form of the ticket.
   *
   * @return text that {@link #parse} accepts
   */
  public String text() {
    return owner.getVm()
        + "."
        + owner.getStartMs()
        + "."
        + owner.getNonce()
        + "."
        + issuedMs
        + "."
        + number;
  }

  /**
   * Returns the partition of the owner whose table holds this ticket.
   *
   * @param partitions number of partitions of the owner, greater than 0
   * @return a number from 0 to {@code partitions - 1}
   */
  public int partition(int partitions) {
    return (int) Long.remainderUnsigned(number, partitions);
  }

  private static Optional<Ticket> decode(String text) {
    Matcher parts = FORMAT.matcher(text);
    if (text.length() > MAX_LENGTH || !parts.matches()) {
      return Optional.empty();
    }
    try {
      Incarnation owner =
          new Incarnation(
              parts.group(1), Long.parseLong(parts.group(2)), Long.parseLong(parts.group(3)));
      return Optional.of(
          new Ticket(owner, Long.parseLong(parts.group(4)), Long.parseLong(parts.group(5))));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
