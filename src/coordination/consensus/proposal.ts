/** What is asked of the ledger, and how it ends. */
import type { Outcome } from '../../state/consensus/control-state.js';
import type { Command } from '../../state/consensus/entry.js';
import type { RingError } from '../../transport/ring.js';

export type ProposeError =
  | { readonly tag: 'noMajority' }
  | { readonly tag: 'notBootstrapped' }
  | { readonly tag: 'cannotWrite'; readonly error: RingError };

export type Draft = { readonly id?: string; readonly cause: string; readonly act: Command; readonly fence?: number };
export type Agreed = { readonly slot: number; readonly outcome: Outcome };
