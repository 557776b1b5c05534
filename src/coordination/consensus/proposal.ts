/** What is asked of the ledger, and how it ends. */
import type { Outcome } from '../../state/consensus/control-state.js';
import type { Command } from '../../state/consensus/entry.js';
import type { RingError } from '../../transport/ring.js';

/** Why an entry was not confirmed. After `noMajority` it may still come to be agreed, once at most. */
export type ProposeError =
  | { readonly tag: 'noMajority' }
  | { readonly tag: 'notBootstrapped' }
  | { readonly tag: 'cannotWrite'; readonly error: RingError };

/** An entry to propose; with an `id` it is applied once however often it is proposed. */
export type Draft = { readonly id?: string; readonly cause: string; readonly act: Command; readonly fence?: number };
/** The slot that holds an entry, and what came of it. */
export type Agreed = { readonly slot: number; readonly outcome: Outcome };
