package io.samphiregauge.core.usage;

import io.samphiregauge.schema.record.UsageFigure;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Usage totals by team and model, sorted by team and then by model; immutable. */
record Figures(Map<Key, UsageFigure> byKey) {
  /** The team and model that a total belongs to. */
  record Key(String team, String model) implements Comparable<Key> {
    static Key of(UsageFigure figure) {
      return new Key(figure.getTeam(), figure.getModel());
    }

    @Override
    public int compareTo(Key other) {
      int byTeam = team.compareTo(other.team);
      return byTeam != 0 ? byTeam : model.compareTo(other.model);
    }
  }

  Figures {
    byKey = Collections.unmodifiableMap(new TreeMap<>(byKey));
  }

  static Figures none() {
    return new Figures(Map.of());
  }

  Figures plus(UsageFigure figure) {
    Map<Key, UsageFigure> next = new TreeMap<>(byKey);
    next.merge(Key.of(figure), figure, Figures::sum);
    return new Figures(next);
  }

  Figures plusAll(Collection<UsageFigure> figures) {
    Map<Key, UsageFigure> next = new TreeMap<>(byKey);
    figures.forEach(figure -> next.merge(Key.of(figure), figure, Figures::sum));
    return new Figures(next);
  }

  /**
   * Merges a newer or older value of the same counter. Counters only increase: the maximum wins.
   */
  Figures mergeMax(UsageFigure figure) {
    Map<Key, UsageFigure> next = new TreeMap<>(byKey);
    next.merge(Key.of(figure), figure, Figures::max);
    return new Figures(next);
  }

  Optional<UsageFigure> find(Key key) {
    return Optional.ofNullable(byKey.get(key));
  }

  List<UsageFigure> toList() {
    return List.copyOf(byKey.values());
  }

  private static UsageFigure sum(UsageFigure a, UsageFigure b) {
    return new UsageFigure(
        a.getTeam(),
        a.getModel(),
        a.getRequests() + b.getRequests(),
        a.getPromptTokens() + b.getPromptTokens(),
        a.getOutputTokens() + b.getOutputTokens(),
        a.getSpendMicros() + b.getSpendMicros());
  }

  private static UsageFigure max(UsageFigure a, UsageFigure b) {
    return new UsageFigure(
        a.getTeam(),
        a.getModel(),
        Math.max(a.getRequests(), b.getRequests()),
        Math.max(a.getPromptTokens(), b.getPromptTokens()),
        Math.max(a.getOutputTokens(), b.getOutputTokens()),
        Math.max(a.getSpendMicros(), b.getSpendMicros()));
  }
}
