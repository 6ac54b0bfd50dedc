package io.samphiregauge.standins;

import io.samphiregauge.net.Address;

/** A stand-in that could not start. */
public final class StandinException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  StandinException(String name, Address address) {
    super("The stand-in \"%s\" cannot bind %s.".formatted(name, address));
  }
}
