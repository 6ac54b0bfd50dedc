package io.samphiregauge.replay;

/**
 * A kind of request that callers send.
 *
 * @param route route
 * @param meanPromptTokens mean length of the prompt
 * @param sharedPrefixTokens length of the start that requests of one team share
 * @param prefixCount different shared starts of one team
 * @param meanOutputTokens mean length of the answer
 * @param deadlineMs time for the whole answer
 */
record RequestKind(
    String route,
    int meanPromptTokens,
    int sharedPrefixTokens,
    int prefixCount,
    int meanOutputTokens,
    int deadlineMs) {
  /** A plan from a whole record or rulebook, part of which is shared. */
  static final RequestKind PLAN = new RequestKind("plan", 4_000, 2_000, 6, 220, 16_000);

  /** A plan from a record that no other request shares much of. */
  static final RequestKind WHOLE_RECORD = new RequestKind("record", 5_500, 1_500, 12, 220, 18_000);

  static final RequestKind QUESTION = new RequestKind("question", 400, 200, 4, 100, 7_000);
  static final RequestKind OFFER = new RequestKind("offer", 300, 150, 4, 60, 4_500);
  static final RequestKind ANSWER = new RequestKind("answer", 300, 150, 4, 350, 20_000);

  /** A request that crashes each engine that decodes it. */
  static final RequestKind CRASH = new RequestKind("crash", 500, 500, 1, 50, 10_000);
}
