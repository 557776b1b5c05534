/**
 * Bounds further attempts of opaque requests by the platform's rule: a share of the first ones
 * of the last window plus a slack, which all proxies share. Stays a little below the bound,
 * as the others are counted elsewhere.
 */

/** Counts first attempts, and takes or gives back further ones; `sharers` tells how many proxies share the slack. */
export type AttemptBudget = {
  readonly arrived: (model: string, now: number) => void;
  readonly may: (model: string, now: number) => boolean;
  /** Takes one further dispatch from the budget, or tells that there is none left. */
  readonly take: (model: string, now: number) => boolean;
  /** Returns one that was taken and then not sent. */
  readonly giveBack: (model: string) => void;
  readonly sharers: (n: number) => void;
};

/** The rule: share, slack and window. */
export type BudgetBounds = { readonly ratio: number; readonly slack: number; readonly windowMs: number };

const GUARD = 0.85;

/** No attempts yet. */
export function createAttemptBudget(bounds: BudgetBounds): AttemptBudget {
  const first = new Map<string, number[]>();
  const further = new Map<string, number[]>();
  let sharing = 1;

  function recent(of: Map<string, number[]>, model: string, now: number): number[] {
    let list = of.get(model);
    if (!list) {
      list = [];
      of.set(model, list);
    }
    while (list.length > 0 && now - (list[0] as number) > bounds.windowMs) list.shift();
    return list;
  }
  function arrived(model: string, now: number): void {
    recent(first, model, now).push(now);
  }
  function may(model: string, now: number): boolean {
    const room = GUARD * (bounds.ratio * recent(first, model, now).length + bounds.slack / sharing);
    return recent(further, model, now).length + 1 <= room;
  }
  function take(model: string, now: number): boolean {
    if (!may(model, now)) return false;
    recent(further, model, now).push(now);
    return true;
  }
  function giveBack(model: string): void {
    further.get(model)?.pop();
  }
  function sharers(n: number): void {
    sharing = Math.max(1, n);
  }
  return { arrived, may, take, giveBack, sharers };
}
