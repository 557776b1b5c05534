/**
 * Limits retries of opaque requests by the platform's rule: in each window of time at most a fixed ratio of the first
 * attempts plus a slack. The rule applies to all proxies together; each proxy keeps a little below its part, as it
 * doesn't see the attempts that the others count.
 */

/** Counts first attempts per model and grants retries. */
export interface AttemptBudget {
  /** Counts the first attempt of a request. */
  arrived(model: string, now: number): void;
  /** Returns whether a retry would be granted now. */
  hasCapacity(model: string, now: number): boolean;
  /** Takes one retry from the budget; returns false if none is left. */
  take(model: string, now: number): boolean;
  /** Gives back a retry that was taken but not sent. */
  refund(model: string): void;
  /** Sets the number of proxies that share the slack equally. */
  setSharingProxies(count: number): void;
}

/** The limit on retries: `ratio` times the first attempts within `windowMs`, plus `slack`. */
export type BudgetBounds = { readonly ratio: number; readonly slack: number; readonly windowMs: number };

/** Fraction of the limit that is used, as the other proxies' attempts are not counted here. */
const SAFETY_FACTOR = 0.85;

class WindowAttemptBudget implements AttemptBudget {
  private readonly firstAttempts = new Map<string, number[]>();
  private readonly retries = new Map<string, number[]>();
  private proxyCount = 1;

  constructor(private readonly bounds: BudgetBounds) {}

  private recentAttempts(attemptsByModel: Map<string, number[]>, model: string, now: number): number[] {
    let attemptTimes = attemptsByModel.get(model);
    if (!attemptTimes) {
      attemptTimes = [];
      attemptsByModel.set(model, attemptTimes);
    }
    while (attemptTimes.length > 0 && now - (attemptTimes[0] as number) > this.bounds.windowMs) attemptTimes.shift();
    return attemptTimes;
  }

  arrived(model: string, now: number): void {
    this.recentAttempts(this.firstAttempts, model, now).push(now);
  }

  hasCapacity(model: string, now: number): boolean {
    const allowance =
      SAFETY_FACTOR *
      (this.bounds.ratio * this.recentAttempts(this.firstAttempts, model, now).length +
        this.bounds.slack / this.proxyCount);
    return this.recentAttempts(this.retries, model, now).length + 1 <= allowance;
  }

  take(model: string, now: number): boolean {
    if (!this.hasCapacity(model, now)) return false;
    this.recentAttempts(this.retries, model, now).push(now);
    return true;
  }

  refund(model: string): void {
    this.retries.get(model)?.pop();
  }

  setSharingProxies(count: number): void {
    this.proxyCount = Math.max(1, count);
  }
}

/** Creates a budget without any attempts. */
export function createAttemptBudget(bounds: BudgetBounds): AttemptBudget {
  return new WindowAttemptBudget(bounds);
}
