/**
 * A token bucket for retries: each first attempt earns a share of one, each retry spends a
 * whole one, so that retries stay a fixed share of traffic however much fails.
 */

/** Earns, spends and tells the tokens. */
export interface RetryBudget {
  recordAttempt(fraction: number): void;
  spend(): boolean;
  tokens(): number;
}

const MOST_TOKENS = 10;

class TokenRetryBudget implements RetryBudget {
  private currentTokens = 0;

  recordAttempt(fraction: number): void {
    this.currentTokens = Math.min(MOST_TOKENS, this.currentTokens + fraction);
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

/** An empty bucket that holds at most ten. */
export function createRetryBudget(): RetryBudget {
  return new TokenRetryBudget();
}
