/** The input and the result of a proposal to the replicated log. */
import type { Outcome } from '../../state/consensus/control-state.js';
import type { Command } from '../../state/consensus/entry.js';
import type { RingError } from '../../transport/ring.js';

/** Why an entry was not confirmed. After `noMajority` it may still be committed later, at most once. */
export type ProposeError =
  | { readonly tag: 'noMajority' }
  | { readonly tag: 'notBootstrapped' }
  | { readonly tag: 'cannotWrite'; readonly error: RingError };

/** An entry to propose. With an `id` it is applied only once, however often it is proposed. */
export type Draft = { readonly id?: string; readonly cause: string; readonly act: Command; readonly fence?: number };
/** The slot of a committed entry, and the outcome of applying it. */
export type Agreed = { readonly slot: number; readonly outcome: Outcome };
