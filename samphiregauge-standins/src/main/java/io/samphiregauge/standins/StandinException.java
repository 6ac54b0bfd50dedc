package io.samphiregauge.standins;

import io.samphiregauge.net.Address;

/** Thrown when a stand-in cannot bind its address. */
public final class StandinException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  StandinException(String name, Address address) {
    super("The stand-in \"%s\" cannot bind %s.".formatted(name, address));
  }
}
