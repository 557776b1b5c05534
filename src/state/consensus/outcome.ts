/** Outcomes of applying an entry of the replicated log. */

/** The outcome of applying an entry to the replicated state; the same on every node. */
export type Outcome =
  | { readonly tag: 'applied' }
  | { readonly tag: 'staleVersion'; readonly winner: number }
  | { readonly tag: 'staleFence'; readonly fence: number }
  | { readonly tag: 'unfit'; readonly why: 'order' | 'member' | 'bootstrapped' | 'unchanged' };

/** The entry was applied. */
export const APPLIED: Outcome = { tag: 'applied' };

/** Returns the outcome of an entry that does not fit the current state and changed nothing. */
export function unfit(why: Extract<Outcome, { tag: 'unfit' }>['why']): Outcome {
  return { tag: 'unfit', why };
}
