/**
 * Bounds further attempts of opaque requests by the platform's rule: a share of the first ones
 * of the last window plus a slack, which all proxies share. Stays a little below the bound,
 * as the others are counted elsewhere.
 */

/** Counts first attempts, and takes or gives back further ones; `sharers` tells how many proxies share the slack. */
export interface AttemptBudget {
  arrived(model: string, now: number): void;
  mayTake(model: string, now: number): boolean;
  /** Takes one further dispatch from the budget, or tells that there is none left. */
  take(model: string, now: number): boolean;
  /** Returns one that was taken and then not sent. */
  refund(model: string): void;
  setSharingProxies(count: number): void;
}

/** The rule: share, slack and window. */
export type BudgetBounds = { readonly ratio: number; readonly slack: number; readonly windowMs: number };

const GUARD = 0.85;

class WindowAttemptBudget implements AttemptBudget {
  private readonly first = new Map<string, number[]>();
  private readonly further = new Map<string, number[]>();
  private sharingCount = 1;

  constructor(private readonly bounds: BudgetBounds) {}

  private recent(table: Map<string, number[]>, model: string, now: number): number[] {
    let list = table.get(model);
    if (!list) {
      list = [];
      table.set(model, list);
    }
    while (list.length > 0 && now - (list[0] as number) > this.bounds.windowMs) list.shift();
    return list;
  }

  arrived(model: string, now: number): void {
    this.recent(this.first, model, now).push(now);
  }

  mayTake(model: string, now: number): boolean {
    const allowance =
      GUARD * (this.bounds.ratio * this.recent(this.first, model, now).length + this.bounds.slack / this.sharingCount);
    return this.recent(this.further, model, now).length + 1 <= allowance;
  }

  take(model: string, now: number): boolean {
    if (!this.mayTake(model, now)) return false;
    this.recent(this.further, model, now).push(now);
    return true;
  }

  refund(model: string): void {
    this.further.get(model)?.pop();
  }

  setSharingProxies(count: number): void {
    this.sharingCount = Math.max(1, count);
  }
}

/** No attempts yet. */
export function createAttemptBudget(bounds: BudgetBounds): AttemptBudget {
  return new WindowAttemptBudget(bounds);
}
