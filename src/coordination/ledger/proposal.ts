/** What is asked of the ledger, and how it ends. */
import type { Outcome } from '../../state/control-state.js';
import type { Command } from '../../state/entry.js';
import type { RingFault } from '../../transport/ring.js';

export type ProposeFault =
  | { readonly tag: 'noMajority' }
  | { readonly tag: 'notBootstrapped' }
  | { readonly tag: 'cannotWrite'; readonly fault: RingFault };

export type Draft = { readonly id?: string; readonly cause: string; readonly act: Command; readonly fence?: number };
export type Agreed = { readonly slot: number; readonly outcome: Outcome };
