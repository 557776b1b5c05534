/** Outcomes of folding an entry. */

/** What came of an entry when it was folded into the replicated state; the same on every node. */
export type Outcome =
  | { readonly tag: 'applied' }
  | { readonly tag: 'staleVersion'; readonly winner: number }
  | { readonly tag: 'staleFence'; readonly fence: number }
  | { readonly tag: 'unfit'; readonly why: 'order' | 'member' | 'bootstrapped' | 'unchanged' };

/** The entry did what it says. */
export const APPLIED: Outcome = { tag: 'applied' };

/** The entry did not fit the state, and changed nothing. */
export function unfit(why: Extract<Outcome, { tag: 'unfit' }>['why']): Outcome {
  return { tag: 'unfit', why };
}
