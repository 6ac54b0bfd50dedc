package io.samphiregauge.replay;

/**
 * Profile of a class of requests in generated traces: lengths, shared prefixes and deadline.
 *
 * @param route route of the requests
 * @param meanPromptTokens mean length of the prompts
 * @param sharedPrefixTokens length of the prompt prefix that requests of a team share
 * @param prefixCount number of different shared prefixes per team
 * @param meanOutputTokens mean length of the responses
 * @param deadlineMs time from arrival to the deadline for the complete response
 */
record RequestProfile(
    String route,
    int meanPromptTokens,
    int sharedPrefixTokens,
    int prefixCount,
    int meanOutputTokens,
    int deadlineMs) {
  /** Plan generated from a complete record or rulebook; half of the prompt is a shared prefix. */
  static final RequestProfile PLAN = new RequestProfile("plan", 4_000, 2_000, 6, 220, 16_000);

  /** Plan generated from a complete record; about a quarter of the prompt is a shared prefix. */
  static final RequestProfile WHOLE_RECORD =
      new RequestProfile("record", 5_500, 1_500, 12, 220, 18_000);

  static final RequestProfile QUESTION = new RequestProfile("question", 400, 200, 4, 100, 7_000);
  static final RequestProfile OFFER = new RequestProfile("offer", 300, 150, 4, 60, 4_500);
  static final RequestProfile ANSWER = new RequestProfile("answer", 300, 150, 4, 350, 20_000);

  /** Request that crashes each engine that decodes it. */
  static final RequestProfile CRASH = new RequestProfile("crash", 500, 500, 1, 50, 10_000);
}
