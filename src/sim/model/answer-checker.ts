/**
 * Checks the answers that callers received: a call that starts after an answer
 * must see the slot of that answer; a confirmed change is in force once, on the
 * base number that it named; a rejected change is never in force.
 */
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Batch } from '../../state/consensus/entry.js';
import type { ReportViolation } from './rule-violation.js';

/** An operator change, identified by a unique token in its contents. */
export type OperatorChange = { readonly token: number; readonly base: number; readonly number: number };

/** Records calls and their answers, and reports violations. */
export type AnswerChecker = {
  /** The newest slot that an answer confirmed or a read returned; no later call may see an earlier one. */
  readonly newestAnsweredSlot: () => number;
  readonly recordConfirmedProposal: (id: string, slot: number, batch: Batch | null, answeredAtStart: number) => void;
  readonly recordRead: (node: string, slot: number, answeredAtStart: number) => void;
  /** Called before an operator sends this change. */
  readonly recordSentChange: (change: OperatorChange) => void;
  readonly recordConfirmedChange: (token: number) => void;
  readonly recordRejectedChange: (token: number) => void;
  /** Called with the state after a slot that no node had applied before. */
  readonly recordNewSlot: (slot: number, state: ControlState) => void;
  readonly newestNumber: () => number;
  /** Checks the rules that need all answers; called at the end of a history. */
  readonly checkOutcomes: () => void;
};

type InstalledChange = { readonly slot: number; readonly number: number };

/** The token of the change that a configuration came from; operator-calls.ts puts it into the limits. */
function tokenOf(state: ControlState): number | null {
  return state.configuration.serving?.limits.headerBytes ?? null;
}

/** Creates a checker that has seen no call yet. */
export function createAnswerChecker(reportViolation: ReportViolation): AnswerChecker {
  const changes = new Map<number, OperatorChange>();
  const installed = new Map<number, InstalledChange>();
  const confirmed = new Set<number>();
  const rejected = new Set<number>();
  let inForce: number | null = null;
  let answeredSlot = -1;

  function raiseAnsweredSlot(slot: number): void {
    answeredSlot = Math.max(answeredSlot, slot);
  }
  function recordConfirmedProposal(id: string, slot: number, batch: Batch | null, answeredAtStart: number): void {
    let hasEntry = false;
    for (const entry of batch?.entries ?? []) if (entry.id === id) hasEntry = true;
    if (!hasEntry) reportViolation('confirmedKept', `${id} was confirmed in slot ${slot}, which does not contain it`);
    if (slot <= answeredAtStart)
      reportViolation(
        'realTime',
        `${id} was confirmed in slot ${slot}, although it was proposed after slot ${answeredAtStart} was confirmed`,
      );
    raiseAnsweredSlot(slot);
  }
  function recordRead(node: string, slot: number, answeredAtStart: number): void {
    if (slot < answeredAtStart)
      reportViolation('staleRead', `${node} read at slot ${slot} after slot ${answeredAtStart} was confirmed`);
    raiseAnsweredSlot(slot);
  }
  function recordSentChange(change: OperatorChange): void {
    changes.set(change.token, change);
  }
  function recordConfirmedChange(token: number): void {
    confirmed.add(token);
    const installation = installed.get(token);
    if (installation) raiseAnsweredSlot(installation.slot);
    else reportViolation('confirmedKept', `change ${token} was confirmed, but no state contains it`);
  }
  function recordRejectedChange(token: number): void {
    rejected.add(token);
  }
  function newestNumber(): number {
    return inForce === null ? 0 : (installed.get(inForce)?.number ?? 0);
  }
  function recordNewSlot(slot: number, state: ControlState): void {
    const token = tokenOf(state);
    if (token === null || token === inForce) return;
    const change = changes.get(token);
    const earlier = installed.get(token);
    if (!change) reportViolation('unknownChange', `slot ${slot} put a configuration in force that no operator sent`);
    else if (change.base !== newestNumber())
      reportViolation(
        'oneWinner',
        `slot ${slot} applied a change to number ${newestNumber()} that was based on ${change.base}`,
      );
    if (earlier) reportViolation('oneWinner', `slot ${slot} put the change of slot ${earlier.slot} in force again`);
    installed.set(token, { slot, number: state.configuration.serving?.number ?? 0 });
    inForce = token;
  }

  function checkOutcomes(): void {
    const confirmedByBase = new Map<number, number>();
    for (const token of confirmed) {
      const base = changes.get(token)?.base ?? -1;
      if (confirmedByBase.has(base))
        reportViolation(
          'oneWinner',
          `changes ${confirmedByBase.get(base)} and ${token} were both confirmed on base ${base}`,
        );
      confirmedByBase.set(base, token);
    }
    for (const token of rejected) {
      const installation = installed.get(token);
      if (installation)
        reportViolation(
          'refusedInForce',
          `change ${token} was rejected as stale, but in force from slot ${installation.slot}`,
        );
    }
  }
  function newestAnsweredSlot(): number {
    return answeredSlot;
  }
  return {
    newestAnsweredSlot,
    recordConfirmedProposal,
    recordRead,
    recordSentChange,
    recordConfirmedChange,
    recordRejectedChange,
    recordNewSlot,
    newestNumber,
    checkOutcomes,
  };
}
