/** Deliberate breaks of a simulated fleet, each to see that a checker notices it. */
import type { Ledger } from '../coordination/consensus/ledger.js';

/** Breaks in the ledger of a controller. */
export type LedgerSabotage = {
  /** Controllers answer from what they hold, without asking a majority how far it stands. */
  readonly readsWithoutMajority?: boolean;
  /** No record is kept of the operators' changes that were applied. */
  readonly forgetsChanges?: boolean;
};

export type Sabotage = LedgerSabotage & {
  readonly withoutPolicy?: string;
  readonly cloudForgetsKeys?: boolean;
  readonly listLagMs?: number;
  readonly disksLie?: boolean;
};

export function sabotageLedger(ledger: Ledger, sabotage: LedgerSabotage): void {
  function alwaysSettled(): Promise<boolean> {
    return Promise.resolve(true);
  }
  function forgetChanges(): void {
    const state = ledger.controlState();
    state.operations = [];
    state.history.changes = [];
  }
  if (sabotage.readsWithoutMajority) Object.assign(ledger, { linearizableRead: alwaysSettled });
  if (!sabotage.forgetsChanges) return;
  ledger.events.on('folded', forgetChanges);
  ledger.events.on('adopted', forgetChanges);
}
