/** Deliberate faults of a simulated fleet, used to test that the checkers detect them. */
import type { Ledger } from '../coordination/consensus/ledger.js';

/** Faults in the ledger of a controller. */
export type LedgerSabotage = {
  /** Controllers answer reads from their local state, without asking a majority for the newest entry. */
  readonly readsWithoutMajority?: boolean;
  /** Controllers don't keep the record of operators' changes that were applied. */
  readonly forgetsChanges?: boolean;
};

/** Faults of a whole fleet, in addition to those of the ledgers. */
export type Sabotage = LedgerSabotage & {
  /** Name of a policy that worker selection leaves out; a name that no policy has leaves out none. */
  readonly withoutPolicy?: string;
  /** The cloud rents a second machine for an order that is sent again. */
  readonly cloudForgetsKeys?: boolean;
  /** How long after its order a machine first appears on the list of the cloud. A lag alone must break no rule. */
  readonly listLagMs?: number;
  /** The disks of controllers acknowledge a sync without making anything durable. */
  readonly disksLie?: boolean;
};

/** Injects the given faults into a ledger. */
export function sabotageLedger(ledger: Ledger, sabotage: LedgerSabotage): void {
  function alwaysTrue(): Promise<boolean> {
    return Promise.resolve(true);
  }
  function forgetChanges(): void {
    const state = ledger.controlState();
    state.operations = [];
    state.history.changes = [];
  }
  if (sabotage.readsWithoutMajority) Object.assign(ledger, { linearizableRead: alwaysTrue });
  if (!sabotage.forgetsChanges) return;
  ledger.events.on('folded', forgetChanges);
  ledger.events.on('adopted', forgetChanges);
}
