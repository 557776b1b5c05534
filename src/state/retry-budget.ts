/**
 * A token bucket for retries: each first attempt earns a share of one, each retry spends a
 * whole one, so that retries stay a fixed share of traffic however much fails.
 */

/** Earns, spends and tells the tokens. */
export type RetryBudget = {
  readonly noteAttempt: (share: number) => void;
  readonly spend: () => boolean;
  readonly tokens: () => number;
};

const MOST_TOKENS = 10;

/** An empty bucket that holds at most ten. */
export function createRetryBudget(): RetryBudget {
  let tokens = 0;
  function noteAttempt(share: number): void {
    tokens = Math.min(MOST_TOKENS, tokens + share);
  }
  function spend(): boolean {
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  }
  function left(): number {
    return tokens;
  }
  return { noteAttempt, spend, tokens: left };
}
