/** What a controller holds on its disk, and the one place that writes it. */
import { ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import { createBatchQueue } from '../../base/batch-queue.js';
import type { BatchQueue } from '../../base/batch-queue.js';
import {
  accept,
  acceptedAt,
  createAcceptor,
  highestAccepted,
  prepare,
  raiseFloor,
  restoreSlot,
  slotOf,
} from '../../state/consensus/acceptor.js';
import type { Acceptor, SlotState, Vote } from '../../state/consensus/acceptor.js';
import type { Ballot } from '../../state/consensus/ballot.js';
import { emptyControlState, foldBatch } from '../../state/consensus/control-state.js';
import type { ControlState, Outcome } from '../../state/consensus/control-state.js';
import type { Batch } from '../../state/consensus/entry.js';
import { createClosedOrders } from '../../state/consensus/closed-orders.js';
import type { ClosedOrders, SavedClosedOrders } from '../../state/consensus/closed-orders.js';
import { createRecentSlots } from '../../state/consensus/recent-slots.js';
import type { RecentSlot } from '../../state/consensus/recent-slots.js';
import type { Disk } from '../../transport/disk.js';
import { openRing } from '../../transport/ring.js';
import type { Opened, Ring, RingError, RingShape } from '../../transport/ring.js';

/** A change of the store. Commands that wait together share one write and one sync. */
export type StoreCommand =
  | { readonly tag: 'prepare'; readonly slot: number; readonly ballot: Ballot }
  | { readonly tag: 'accept'; readonly slot: number; readonly ballot: Ballot; readonly batch: Batch }
  | { readonly tag: 'chosen'; readonly slot: number; readonly batch: Batch }
  | { readonly tag: 'adopt'; readonly controlState: ControlState }
  | { readonly tag: 'fillClosed'; readonly orders: readonly string[]; readonly whole: boolean }
  /** Writes the whole state anew, after which a ring that was broken takes records again. */
  | { readonly tag: 'rewrite' };

/** What became of a command; anything but `cannotWrite` is on the disk. */
export type StoreAnswer =
  | { readonly tag: 'vote'; readonly vote: Vote }
  | { readonly tag: 'folded'; readonly outcomes: readonly Outcome[] }
  | { readonly tag: 'outOfOrder' }
  | { readonly tag: 'cannotWrite'; readonly error: RingError };

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
export interface Store {
  put(command: StoreCommand): Promise<StoreAnswer>;
  controlState(): ControlState;
  /** The chosen batches from that slot on; null if the first of them is no longer kept, empty if there is none yet. */
  recent(from: number): readonly RecentSlot[] | null;
  /** As many of these as fit the bound in bytes, but one at least. */
  page(from: number, mostBytes: number): readonly RecentSlot[] | null;
  bytesSince(from: number): number | null;
  readonly closed: ClosedOrders;
  top(): number;
  accepted(slot: number): Batch | null;
  writable(): boolean;
}

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
): Promise<Result<Store, RingError>> {
  const opened = await openRing(disk, shape);
  if (!opened.ok) return opened;
  return ok(new RingStore(opened.value, shape, onFold, onAdopt));
}

class RingStore implements Store {
  private currentControlState = emptyControlState();
  private acc: Acceptor = createAcceptor(0);
  private readonly currentRecent = createRecentSlots();
  private canWrite = true;
  readonly closed: ClosedOrders;
  private readonly ring: Ring;
  private readonly queue: BatchQueue<StoreCommand, StoreAnswer>;

  constructor(
    { ring, snapshot, records }: Opened,
    shape: RingShape,
    private readonly onFold: (slot: number, batch: Batch, outcomes: readonly Outcome[]) => void,
    private readonly onAdopt: () => void,
  ) {
    this.ring = ring;
    let saved: Snapshot | null = null;
    if (snapshot) {
      saved = JSON.parse(snapshot.toString()) as Snapshot;
      this.currentControlState = saved.controlState;
      this.acc = createAcceptor(this.currentControlState.slot + 1);
      for (const [slot, state] of saved.slots) restoreSlot(this.acc, slot, state);
    }
    this.closed = createClosedOrders(shape.snapshotBytes * CLOSED_SHARE, saved ? saved.closed : null);
    for (const rec of records) {
      const record = JSON.parse(rec.toString()) as Saved;
      if (record.t === 'slot') restoreSlot(this.acc, record.slot, record.state);
      else if (record.slot === this.currentControlState.slot + 1) {
        foldBatch(this.currentControlState, record.slot, record.batch);
        this.keepClosed();
        raiseFloor(this.acc, record.slot + 1);
        this.currentRecent.remember(record.slot, record.batch, rec.length);
      }
    }
    this.queue = createBatchQueue((commands) => this.work(commands));
  }

  private keepClosed(): void {
    for (const order of this.currentControlState.closed) this.closed.add(order);
  }

  private decide(command: StoreCommand, write: (saved: Saved) => number): StoreAnswer {
    switch (command.tag) {
      case 'prepare': {
        const vote = prepare(this.acc, command.slot, command.ballot);
        if (vote.tag === 'promised') write({ t: 'slot', slot: command.slot, state: slotOf(this.acc, command.slot) });
        return { tag: 'vote', vote };
      }
      case 'accept': {
        const vote = accept(this.acc, command.slot, command.ballot, command.batch);
        if (vote.tag === 'accepted') write({ t: 'slot', slot: command.slot, state: slotOf(this.acc, command.slot) });
        return { tag: 'vote', vote };
      }
      case 'chosen': {
        if (command.slot !== this.currentControlState.slot + 1) return { tag: 'outOfOrder' };
        const outcomes = foldBatch(this.currentControlState, command.slot, command.batch);
        this.keepClosed();
        raiseFloor(this.acc, command.slot + 1);
        this.currentRecent.remember(
          command.slot,
          command.batch,
          write({ t: 'chosen', slot: command.slot, batch: command.batch }),
        );
        this.onFold(command.slot, command.batch, outcomes);
        return { tag: 'folded', outcomes };
      }
      case 'adopt': {
        if (command.controlState.slot <= this.currentControlState.slot) return { tag: 'outOfOrder' };
        this.closed.skip({ from: this.currentControlState.slot + 1, to: command.controlState.slot });
        this.currentControlState = structuredClone(command.controlState);
        this.keepClosed();
        raiseFloor(this.acc, this.currentControlState.slot + 1);
        this.currentRecent.clear();
        this.onAdopt();
        return { tag: 'folded', outcomes: [] };
      }
      case 'fillClosed': {
        this.closed.fill(command.orders, command.whole);
        return { tag: 'folded', outcomes: [] };
      }
      case 'rewrite':
        return { tag: 'folded', outcomes: [] };
    }
  }

  private async compacted(): Promise<Result<null, RingError>> {
    return this.ring.compact(
      encoded({ controlState: this.currentControlState, closed: this.closed.saved(), slots: [...this.acc.slots] }),
    );
  }

  private async work(commands: readonly StoreCommand[]): Promise<readonly StoreAnswer[]> {
    const answers: StoreAnswer[] = [];
    const writes: Buffer[] = [];
    let rewritesAll = false;
    function write(saved: Saved): number {
      const record = encoded(saved);
      writes.push(record);
      return record.length;
    }
    for (const command of commands) {
      answers.push(this.decide(command, write));
      if (command.tag === 'adopt' || command.tag === 'fillClosed' || command.tag === 'rewrite') rewritesAll = true;
    }
    let written: Result<null, RingError> = ok(null);
    if (rewritesAll) written = await this.compacted();
    else if (writes.length > 0) {
      if (this.ring.crowded()) written = await this.compacted();
      if (written.ok) written = await this.ring.append(writes);
      if (!written.ok && (written.error.tag === 'ringFull' || written.error.tag === 'ringBroken'))
        written = await this.compacted();
    }
    this.canWrite = written.ok;
    if (written.ok) return answers;
    const error = written.error;
    function failed(): StoreAnswer {
      return { tag: 'cannotWrite', error };
    }
    return answers.map(failed);
  }

  controlState(): ControlState {
    return this.currentControlState;
  }

  recent(from: number): readonly RecentSlot[] | null {
    return from > this.currentControlState.slot ? [] : this.currentRecent.since(from);
  }

  page(from: number, mostBytes: number): readonly RecentSlot[] | null {
    return from > this.currentControlState.slot ? [] : this.currentRecent.page(from, mostBytes);
  }

  bytesSince(from: number): number | null {
    return from > this.currentControlState.slot ? 0 : this.currentRecent.bytesSince(from);
  }

  top(): number {
    return Math.max(this.currentControlState.slot, highestAccepted(this.acc));
  }

  accepted(slot: number): Batch | null {
    return acceptedAt(this.acc, slot)?.batch ?? null;
  }

  writable(): boolean {
    return this.canWrite;
  }

  put(command: StoreCommand): Promise<StoreAnswer> {
    return this.queue.put(command);
  }
}
