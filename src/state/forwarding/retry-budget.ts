/**
 * A token bucket for retries: each first attempt adds a fraction of a token, each retry takes a whole one, so that
 * retries stay a fixed fraction of the traffic however many attempts fail.
 */

/** Adds, takes and counts tokens. */
export interface RetryBudget {
  recordAttempt(fraction: number): void;
  /** Takes one token; returns false if less than one is left. */
  spend(): boolean;
  tokens(): number;
}

const MAX_TOKENS = 10;

class TokenRetryBudget implements RetryBudget {
  private currentTokens = 0;

  recordAttempt(fraction: number): void {
    this.currentTokens = Math.min(MAX_TOKENS, this.currentTokens + fraction);
  }

  spend(): boolean {
    if (this.currentTokens < 1) return false;
    this.currentTokens -= 1;
    return true;
  }

  tokens(): number {
    return this.currentTokens;
  }
}

/** Creates an empty bucket; it holds at most ten tokens. */
export function createRetryBudget(): RetryBudget {
  return new TokenRetryBudget();
}
