/**
 * The acceptor of single-decree Paxos, one instance for each slot of the ledger (Lamport,
 * "Paxos Made Simple"). Owned by the store, which writes and syncs what changes here before
 * the vote leaves the machine; without that, no promise holds. Invariants: the promised ballot
 * of a slot never falls, and nothing is accepted below it. Slots below the floor are chosen
 * and learned; nothing is voted on there. See docs/consistency.md.
 */

import { compareBallots, NO_BALLOT } from './ballot.js';
import type { Ballot } from './ballot.js';
import type { Batch } from './entry.js';

/** A batch accepted under a ballot. */
export type Accepted = { readonly ballot: Ballot; readonly batch: Batch };

/** What an acceptor remembers of one slot: the highest ballot promised, and the batch accepted last. */
export type SlotState = { readonly promised: Ballot; readonly accepted: Accepted | null };

/** The slots not yet learned, and the floor below which all are. */
export type Acceptor = { floor: number; slots: Map<number, SlotState> };

/** The answer to a proposer. `outbid` names the higher ballot, so that the proposer can raise its own. */
export type Vote =
  | { readonly tag: 'promised'; readonly accepted: Accepted | null }
  | { readonly tag: 'accepted' }
  | { readonly tag: 'outbid'; readonly by: Ballot }
  | { readonly tag: 'alreadyChosen' };

/** An acceptor that has promised nothing from the floor on. */
export function createAcceptor(floor: number): Acceptor {
  return { floor, slots: new Map() };
}

/** The state of a slot; that of an untouched one if nothing was ever voted there. */
export function slotOf(acc: Acceptor, slot: number): SlotState {
  return acc.slots.get(slot) ?? { promised: NO_BALLOT, accepted: null };
}

/** Phase 1: promises to take part in no lower ballot, and tells what was accepted before. */
export function prepare(acc: Acceptor, slot: number, ballot: Ballot): Vote {
  if (slot < acc.floor) return { tag: 'alreadyChosen' };
  const slotState = slotOf(acc, slot);
  if (compareBallots(ballot, slotState.promised) <= 0) return { tag: 'outbid', by: slotState.promised };
  acc.slots.set(slot, { promised: ballot, accepted: slotState.accepted });
  return { tag: 'promised', accepted: slotState.accepted };
}

/** Phase 2: accepts the batch unless a higher ballot was promised. */
export function accept(acc: Acceptor, slot: number, ballot: Ballot, batch: Batch): Vote {
  if (slot < acc.floor) return { tag: 'alreadyChosen' };
  const slotState = slotOf(acc, slot);
  if (compareBallots(ballot, slotState.promised) < 0) return { tag: 'outbid', by: slotState.promised };
  acc.slots.set(slot, { promised: ballot, accepted: { ballot, batch } });
  return { tag: 'accepted' };
}

/** Forgets slots that have been learned. The floor never falls. */
export function raiseFloor(acc: Acceptor, floor: number): void {
  if (floor <= acc.floor) return;
  acc.floor = floor;
  for (const slot of acc.slots.keys()) if (slot < floor) acc.slots.delete(slot);
}

/** Puts back the state of a slot read from disk. */
export function restoreSlot(acc: Acceptor, slot: number, state: SlotState): void {
  if (slot >= acc.floor) acc.slots.set(slot, state);
}

/** What was accepted for a slot, or null. */
export function acceptedAt(acc: Acceptor, slot: number): Accepted | null {
  return acc.slots.get(slot)?.accepted ?? null;
}

/** The highest slot with an accepted batch; -1 if there is none. */
export function highestAccepted(acc: Acceptor): number {
  let top = -1;
  for (const [slot, slotState] of acc.slots) if (slotState.accepted && slot > top) top = slot;
  return top;
}
