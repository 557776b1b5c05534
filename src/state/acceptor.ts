import { compareBallots, NO_BALLOT } from './ballot.js';
import type { Ballot } from './ballot.js';
import type { Batch } from './entry.js';

export type Accepted = { readonly ballot: Ballot; readonly batch: Batch };

export type SlotState = { readonly promised: Ballot; readonly accepted: Accepted | null };

export type Acceptor = { floor: number; slots: Map<number, SlotState> };

export type Vote =
  | { readonly tag: 'promised'; readonly accepted: Accepted | null }
  | { readonly tag: 'accepted' }
  | { readonly tag: 'outbid'; readonly by: Ballot }
  | { readonly tag: 'alreadyChosen' };

export function createAcceptor(floor: number): Acceptor {
  return { floor, slots: new Map() };
}

export function slotOf(acc: Acceptor, slot: number): SlotState {
  return acc.slots.get(slot) ?? { promised: NO_BALLOT, accepted: null };
}

export function prepare(acc: Acceptor, slot: number, ballot: Ballot): Vote {
  if (slot < acc.floor) return { tag: 'alreadyChosen' };
  const st = slotOf(acc, slot);
  if (compareBallots(ballot, st.promised) <= 0) return { tag: 'outbid', by: st.promised };
  acc.slots.set(slot, { promised: ballot, accepted: st.accepted });
  return { tag: 'promised', accepted: st.accepted };
}

export function accept(acc: Acceptor, slot: number, ballot: Ballot, batch: Batch): Vote {
  if (slot < acc.floor) return { tag: 'alreadyChosen' };
  const st = slotOf(acc, slot);
  if (compareBallots(ballot, st.promised) < 0) return { tag: 'outbid', by: st.promised };
  acc.slots.set(slot, { promised: ballot, accepted: { ballot, batch } });
  return { tag: 'accepted' };
}

export function raiseFloor(acc: Acceptor, floor: number): void {
  if (floor <= acc.floor) return;
  acc.floor = floor;
  for (const slot of acc.slots.keys()) if (slot < floor) acc.slots.delete(slot);
}

export function restoreSlot(acc: Acceptor, slot: number, state: SlotState): void {
  if (slot >= acc.floor) acc.slots.set(slot, state);
}

export function acceptedAt(acc: Acceptor, slot: number): Accepted | null {
  return acc.slots.get(slot)?.accepted ?? null;
}

export function highestAccepted(acc: Acceptor): number {
  let top = -1;
  for (const [slot, st] of acc.slots) if (st.accepted && slot > top) top = slot;
  return top;
}
