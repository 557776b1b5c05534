/** What came of an entry when it was folded into the replicated state; the same on every node. */
export type Outcome =
  | { readonly tag: 'applied' }
  | { readonly tag: 'staleVersion'; readonly winner: number }
  | { readonly tag: 'staleFence'; readonly fence: number }
  | { readonly tag: 'unfit'; readonly why: 'order' | 'member' | 'bootstrapped' | 'unchanged' };

export const APPLIED: Outcome = { tag: 'applied' };

export function unfit(why: Extract<Outcome, { tag: 'unfit' }>['why']): Outcome {
  return { tag: 'unfit', why };
}
