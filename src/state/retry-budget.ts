export type RetryBudget = {
  readonly noteAttempt: (share: number) => void;
  readonly spend: () => boolean;
  readonly tokens: () => number;
};

const MOST_TOKENS = 10;

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
