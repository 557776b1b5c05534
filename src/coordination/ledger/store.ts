import { ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import { createLine } from '../../base/line.js';
import {
  accept,
  acceptedAt,
  createAcceptor,
  highestAccepted,
  prepare,
  raiseFloor,
  restoreSlot,
  slotOf,
} from '../../state/acceptor.js';
import type { Acceptor, SlotState, Vote } from '../../state/acceptor.js';
import type { Ballot } from '../../state/ballot.js';
import { emptyControlState, foldBatch } from '../../state/control-state.js';
import type { ControlState, Outcome } from '../../state/control-state.js';
import type { Batch } from '../../state/entry.js';
import { createClosedOrders } from '../../state/closed-orders.js';
import type { ClosedOrders, SavedClosedOrders } from '../../state/closed-orders.js';
import { createRecentSlots } from '../../state/recent-slots.js';
import type { RecentSlot } from '../../state/recent-slots.js';
import type { Disk } from '../../transport/disk.js';
import { openRing } from '../../transport/ring.js';
import type { RingFault, RingShape } from '../../transport/ring.js';

export type StoreCommand =
  | { readonly tag: 'prepare'; readonly slot: number; readonly ballot: Ballot }
  | { readonly tag: 'accept'; readonly slot: number; readonly ballot: Ballot; readonly batch: Batch }
  | { readonly tag: 'chosen'; readonly slot: number; readonly batch: Batch }
  | { readonly tag: 'adopt'; readonly controlState: ControlState }
  | { readonly tag: 'fillClosed'; readonly orders: readonly string[]; readonly whole: boolean }
  /** Writes the whole state anew, after which a ring that was broken takes records again. */
  | { readonly tag: 'rewrite' };

export type StoreAnswer =
  | { readonly tag: 'vote'; readonly vote: Vote }
  | { readonly tag: 'folded'; readonly outcomes: readonly Outcome[] }
  | { readonly tag: 'outOfOrder' }
  | { readonly tag: 'cannotWrite'; readonly fault: RingFault };

/**
 * What one controller holds on its disk: its votes (the acceptor), the control state that it has folded, the newest slots
 * as batches, and the closed orders. Commands are taken one after another; those that wait together share writes
 * and a sync. What holds at any moment:
 *
 * - Nothing is answered before it is synced: a vote, a folded slot, an adopted state. After a write that failed every
 *   answer is `cannotWrite`, until the disk is opened again.
 * - Slots are folded in order, each once, or skipped by adopting a state that has folded them; never back.
 * - Votes are kept for each slot above the folded one, also when a state is adopted: what was accepted there may be
 *   chosen. Below it every ballot is answered with `alreadyChosen`.
 * - The snapshot on the disk is the state, the closed orders and these votes, as of one moment. Records written after it
 *   say the same again or more, so replaying one that the snapshot covers changes nothing.
 */
export type Store = {
  readonly put: (command: StoreCommand) => Promise<StoreAnswer>;
  readonly controlState: () => ControlState;
  /** The chosen batches from that slot on; null if the first of them is no longer kept, empty if there is none yet. */
  readonly recent: (from: number) => readonly RecentSlot[] | null;
  /** As many of these as fit the bound in bytes, but one at least. */
  readonly page: (from: number, mostBytes: number) => readonly RecentSlot[] | null;
  readonly bytesSince: (from: number) => number | null;
  readonly closed: ClosedOrders;
  readonly top: () => number;
  readonly accepted: (slot: number) => Batch | null;
  readonly writable: () => boolean;
};

/** One record of the ring. */
type Saved =
  | { readonly t: 'slot'; readonly slot: number; readonly state: SlotState }
  | { readonly t: 'chosen'; readonly slot: number; readonly batch: Batch };

type Snapshot = {
  readonly controlState: ControlState;
  readonly closed: SavedClosedOrders;
  readonly slots: readonly (readonly [number, SlotState])[];
};

/** Of the snapshot's area, so that the state itself always has room. */
const CLOSED_SHARE = 1 / 4;

function encoded(value: Saved | Snapshot): Buffer {
  return Buffer.from(JSON.stringify(value));
}

/** Reads what the disk holds; `onFold` and `onAdopt` are told of each step that follows, before it is answered. */
export async function openStore(
  disk: Disk,
  shape: RingShape,
  onFold: (slot: number, batch: Batch, outcomes: readonly Outcome[]) => void,
  onAdopt: () => void,
): Promise<Result<Store, RingFault>> {
  const opened = await openRing(disk, shape);
  if (!opened.ok) return opened;
  const { ring, snapshot, records } = opened.value;
  let controlState = emptyControlState();
  let acc: Acceptor = createAcceptor(0);
  const recent = createRecentSlots();
  let saved: Snapshot | null = null;
  let canWrite = true;

  if (snapshot) {
    saved = JSON.parse(snapshot.toString()) as Snapshot;
    controlState = saved.controlState;
    acc = createAcceptor(controlState.slot + 1);
    for (const [slot, state] of saved.slots) restoreSlot(acc, slot, state);
  }
  const closed = createClosedOrders(shape.snapshotBytes * CLOSED_SHARE, saved ? saved.closed : null);
  for (const rec of records) {
    const record = JSON.parse(rec.toString()) as Saved;
    if (record.t === 'slot') restoreSlot(acc, record.slot, record.state);
    else if (record.slot === controlState.slot + 1) {
      foldBatch(controlState, record.slot, record.batch);
      keepClosed();
      raiseFloor(acc, record.slot + 1);
      recent.remember(record.slot, record.batch, rec.length);
    }
  }

  function keepClosed(): void {
    for (const order of controlState.closed) closed.add(order);
  }

  function decide(command: StoreCommand, write: (saved: Saved) => number): StoreAnswer {
    switch (command.tag) {
      case 'prepare': {
        const vote = prepare(acc, command.slot, command.ballot);
        if (vote.tag === 'promised') write({ t: 'slot', slot: command.slot, state: slotOf(acc, command.slot) });
        return { tag: 'vote', vote };
      }
      case 'accept': {
        const vote = accept(acc, command.slot, command.ballot, command.batch);
        if (vote.tag === 'accepted') write({ t: 'slot', slot: command.slot, state: slotOf(acc, command.slot) });
        return { tag: 'vote', vote };
      }
      case 'chosen': {
        if (command.slot !== controlState.slot + 1) return { tag: 'outOfOrder' };
        const outcomes = foldBatch(controlState, command.slot, command.batch);
        keepClosed();
        raiseFloor(acc, command.slot + 1);
        recent.remember(command.slot, command.batch, write({ t: 'chosen', slot: command.slot, batch: command.batch }));
        onFold(command.slot, command.batch, outcomes);
        return { tag: 'folded', outcomes };
      }
      case 'adopt': {
        if (command.controlState.slot <= controlState.slot) return { tag: 'outOfOrder' };
        closed.skip({ from: controlState.slot + 1, to: command.controlState.slot });
        controlState = structuredClone(command.controlState);
        keepClosed();
        raiseFloor(acc, controlState.slot + 1);
        recent.clear();
        onAdopt();
        return { tag: 'folded', outcomes: [] };
      }
      case 'fillClosed': {
        closed.fill(command.orders, command.whole);
        return { tag: 'folded', outcomes: [] };
      }
      case 'rewrite':
        return { tag: 'folded', outcomes: [] };
    }
  }

  async function compacted(): Promise<Result<null, RingFault>> {
    return ring.compact(encoded({ controlState, closed: closed.saved(), slots: [...acc.slots] }));
  }

  async function work(commands: readonly StoreCommand[]): Promise<readonly StoreAnswer[]> {
    const answers: StoreAnswer[] = [];
    const writes: Buffer[] = [];
    let whole = false;
    function write(saved: Saved): number {
      const record = encoded(saved);
      writes.push(record);
      return record.length;
    }
    for (const command of commands) {
      answers.push(decide(command, write));
      if (command.tag === 'adopt' || command.tag === 'fillClosed' || command.tag === 'rewrite') whole = true;
    }
    let written: Result<null, RingFault> = ok(null);
    if (whole) written = await compacted();
    else if (writes.length > 0) {
      if (ring.crowded()) written = await compacted();
      if (written.ok) written = await ring.append(writes);
      if (!written.ok && (written.fault.tag === 'ringFull' || written.fault.tag === 'ringBroken'))
        written = await compacted();
    }
    canWrite = written.ok;
    if (written.ok) return answers;
    const fault = written.fault;
    function failed(): StoreAnswer {
      return { tag: 'cannotWrite', fault };
    }
    return answers.map(failed);
  }

  const line = createLine(work);

  function currentControlState(): ControlState {
    return controlState;
  }
  function since(from: number): readonly RecentSlot[] | null {
    return from > controlState.slot ? [] : recent.since(from);
  }
  function page(from: number, mostBytes: number): readonly RecentSlot[] | null {
    return from > controlState.slot ? [] : recent.page(from, mostBytes);
  }
  function bytesSince(from: number): number | null {
    return from > controlState.slot ? 0 : recent.bytesSince(from);
  }
  function top(): number {
    return Math.max(controlState.slot, highestAccepted(acc));
  }
  function accepted(slot: number): Batch | null {
    return acceptedAt(acc, slot)?.batch ?? null;
  }
  function writable(): boolean {
    return canWrite;
  }
  return ok({
    put: line.put,
    controlState: currentControlState,
    recent: since,
    page,
    bytesSince,
    closed,
    top,
    accepted,
    writable,
  });
}
