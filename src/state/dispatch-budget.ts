export type DispatchBudget = {
  readonly arrived: (model: string, now: number) => void;
  readonly may: (model: string, now: number) => boolean;
  readonly spend: (model: string, now: number) => void;
  readonly sharers: (n: number) => void;
};

export type BudgetBounds = { readonly ratio: number; readonly slack: number; readonly windowMs: number };

const GUARD = 0.85;

export function createDispatchBudget(bounds: BudgetBounds): DispatchBudget {
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
  function spend(model: string, now: number): void {
    recent(further, model, now).push(now);
  }
  function sharers(n: number): void {
    sharing = Math.max(1, n);
  }
  return { arrived, may, spend, sharers };
}
