/**
 * The acceptor of single-decree Paxos, one instance for each slot of the replicated log (Lamport, "Paxos Made
 * Simple"). Owned by the store, which writes and syncs each change before the vote is sent; without that, a restart
 * could break a promise. Invariants: the promised ballot of a slot never decreases, and nothing is accepted under a
 * lower one. Slots below the floor are chosen and learned; the acceptor does not vote on them. See
 * docs/consistency.md.
 */

import { compareBallots, NO_BALLOT } from './ballot.js';
import type { Ballot } from './ballot.js';
import type { Batch } from './entry.js';

/** A batch accepted under a ballot. */
export type AcceptedBatch = { readonly ballot: Ballot; readonly batch: Batch };

/** The state of an acceptor for one slot: the highest ballot promised, and the batch accepted last. */
export type SlotState = { readonly promised: Ballot; readonly accepted: AcceptedBatch | null };

/** The states of the slots not yet learned, and the floor below which all slots are learned. */
export type Acceptor = { floor: number; slots: Map<number, SlotState> };

/** The vote sent to a proposer. `outbid` carries the higher ballot, so that the proposer can raise its own. */
export type Vote =
  | { readonly tag: 'promised'; readonly accepted: AcceptedBatch | null }
  | { readonly tag: 'accepted' }
  | { readonly tag: 'outbid'; readonly by: Ballot }
  | { readonly tag: 'alreadyChosen' };

/** Returns an acceptor that has promised nothing from the floor on. */
export function createAcceptor(floor: number): Acceptor {
  return { floor, slots: new Map() };
}

/** Returns the state of a slot; the initial state if there was no vote on it. */
export function slotStateOf(acceptor: Acceptor, slot: number): SlotState {
  return acceptor.slots.get(slot) ?? { promised: NO_BALLOT, accepted: null };
}

/** Phase 1: promises to take part in no lower ballot, and returns the batch accepted before. */
export function prepare(acceptor: Acceptor, slot: number, ballot: Ballot): Vote {
  if (slot < acceptor.floor) return { tag: 'alreadyChosen' };
  const slotState = slotStateOf(acceptor, slot);
  if (compareBallots(ballot, slotState.promised) <= 0) return { tag: 'outbid', by: slotState.promised };
  acceptor.slots.set(slot, { promised: ballot, accepted: slotState.accepted });
  return { tag: 'promised', accepted: slotState.accepted };
}

/** Phase 2: accepts the batch unless a higher ballot was promised. */
export function accept(acceptor: Acceptor, slot: number, ballot: Ballot, batch: Batch): Vote {
  if (slot < acceptor.floor) return { tag: 'alreadyChosen' };
  const slotState = slotStateOf(acceptor, slot);
  if (compareBallots(ballot, slotState.promised) < 0) return { tag: 'outbid', by: slotState.promised };
  acceptor.slots.set(slot, { promised: ballot, accepted: { ballot, batch } });
  return { tag: 'accepted' };
}

/** Deletes the states of slots that have been learned. The floor never decreases. */
export function raiseFloor(acceptor: Acceptor, floor: number): void {
  if (floor <= acceptor.floor) return;
  acceptor.floor = floor;
  for (const slot of acceptor.slots.keys()) if (slot < floor) acceptor.slots.delete(slot);
}

/** Restores the state of a slot from disk. */
export function restoreSlot(acceptor: Acceptor, slot: number, state: SlotState): void {
  if (slot >= acceptor.floor) acceptor.slots.set(slot, state);
}

/** Returns what was accepted for a slot, or null. */
export function acceptedAt(acceptor: Acceptor, slot: number): AcceptedBatch | null {
  return acceptor.slots.get(slot)?.accepted ?? null;
}

/** Returns the highest slot with an accepted batch; -1 if there is none. */
export function highestAccepted(acceptor: Acceptor): number {
  let highest = -1;
  for (const [slot, slotState] of acceptor.slots) if (slotState.accepted && slot > highest) highest = slot;
  return highest;
}
