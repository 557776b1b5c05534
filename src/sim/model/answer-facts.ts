/**
 * What the callers were answered, and what follows from it: an answer that is
 * sure of a slot binds every call that starts after it; a confirmed change is in
 * force, once, on the base that it named; a refused one never is.
 */
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Batch } from '../../state/consensus/entry.js';
import type { Fail } from './broken.js';

/** An operator change, known by a token in its contents that no other has. */
export type ChangeFact = { readonly token: number; readonly base: number; readonly number: number };

export type AnswerFacts = {
  /** The newest slot that an answered call was sure of: no later call may see less. */
  readonly floor: () => number;
  readonly noteAgreed: (id: string, slot: number, batch: Batch | null, floorAtStart: number) => void;
  readonly noteSettled: (node: string, slot: number, floorAtStart: number) => void;
  /** An operator is about to send this change. */
  readonly recordChange: (change: ChangeFact) => void;
  readonly noteTaken: (token: number) => void;
  readonly noteRefused: (token: number) => void;
  /** The state after a slot that nobody had folded before. */
  readonly noteInstalled: (slot: number, state: ControlState) => void;
  readonly newestNumber: () => number;
  /** Rules that can only be judged once all answers are in. */
  readonly judge: () => void;
};

type Installed = { readonly slot: number; readonly number: number };

/** The place of the token in a configuration; see the draft in operator-calls.ts. */
function tokenOf(state: ControlState): number | null {
  return state.configuration.serving?.limits.headerBytes ?? null;
}

export function createAnswerFacts(fail: Fail): AnswerFacts {
  const changes = new Map<number, ChangeFact>();
  const installed = new Map<number, Installed>();
  const taken = new Set<number>();
  const refused = new Set<number>();
  let inForce: number | null = null;
  let floorSlot = -1;

  function raise(slot: number): void {
    floorSlot = Math.max(floorSlot, slot);
  }
  function noteAgreed(id: string, slot: number, batch: Batch | null, floorAtStart: number): void {
    let isThere = false;
    for (const entry of batch?.entries ?? []) if (entry.id === id) isThere = true;
    if (!isThere) fail('confirmedKept', `${id} was confirmed in slot ${slot}, which does not hold it`);
    if (slot <= floorAtStart)
      fail('realTime', `${id} was confirmed in slot ${slot}, proposed after slot ${floorAtStart} was answered for`);
    raise(slot);
  }
  function noteSettled(node: string, slot: number, floorAtStart: number): void {
    if (slot < floorAtStart)
      fail('staleRead', `${node} settled at slot ${slot} after slot ${floorAtStart} was answered for`);
    raise(slot);
  }
  function recordChange(change: ChangeFact): void {
    changes.set(change.token, change);
  }
  function noteTaken(token: number): void {
    taken.add(token);
    const held = installed.get(token);
    if (held) raise(held.slot);
    else fail('confirmedKept', `change ${token} was confirmed, and is in no state`);
  }
  function noteRefused(token: number): void {
    refused.add(token);
  }
  function newestNumber(): number {
    return inForce === null ? 0 : (installed.get(inForce)?.number ?? 0);
  }
  function noteInstalled(slot: number, state: ControlState): void {
    const token = tokenOf(state);
    if (token === null || token === inForce) return;
    const change = changes.get(token);
    const earlier = installed.get(token);
    if (!change) fail('unknownChange', `slot ${slot} put a configuration in force that nobody sent`);
    else if (change.base !== newestNumber())
      fail('oneWinner', `slot ${slot} put a change on ${newestNumber()} that was made on ${change.base}`);
    if (earlier) fail('oneWinner', `slot ${slot} put the change of slot ${earlier.slot} in force again`);
    installed.set(token, { slot, number: state.configuration.serving?.number ?? 0 });
    inForce = token;
  }

  function judge(): void {
    const winners = new Map<number, number>();
    for (const token of taken) {
      const base = changes.get(token)?.base ?? -1;
      if (winners.has(base))
        fail('oneWinner', `changes ${winners.get(base)} and ${token} were both confirmed on ${base}`);
      winners.set(base, token);
    }
    for (const token of refused) {
      const held = installed.get(token);
      if (held) fail('refusedInForce', `change ${token} was refused as stale, and in force from slot ${held.slot}`);
    }
  }
  function floor(): number {
    return floorSlot;
  }
  return { floor, noteAgreed, noteSettled, recordChange, noteTaken, noteRefused, noteInstalled, newestNumber, judge };
}
