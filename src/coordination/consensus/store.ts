/** The persistent state of a controller. Only this module writes it. */
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
  slotStateOf,
} from '../../state/consensus/acceptor.js';
import type { Acceptor, SlotState, Vote } from '../../state/consensus/acceptor.js';
import type { Ballot } from '../../state/consensus/ballot.js';
import { emptyControlState, foldBatch } from '../../state/consensus/control-state.js';
import type { ControlState, Outcome } from '../../state/consensus/control-state.js';
import type { Batch } from '../../state/consensus/entry.js';
import { createClosedOrders } from '../../state/consensus/closed-orders.js';
import type { ClosedOrders, SavedClosedOrders } from '../../state/consensus/closed-orders.js';
import { AcceptanceCheck, snapshotBudget } from './snapshot-budget.js';
import { createRecentSlots } from '../../state/consensus/recent-slots.js';
import type { RecentSlot } from '../../state/consensus/recent-slots.js';
import type { Disk } from '../../transport/disk.js';
import { openRing } from '../../transport/ring.js';
import type { OpenedRing, Ring, RingError, RingShape } from '../../transport/ring.js';

/** A change to the store. Commands that are queued together share one write and one sync. */
export type StoreCommand =
  | { readonly tag: 'prepare'; readonly slot: number; readonly ballot: Ballot }
  | { readonly tag: 'accept'; readonly slot: number; readonly ballot: Ballot; readonly batch: Batch }
  | { readonly tag: 'chosen'; readonly slot: number; readonly batch: Batch }
  | { readonly tag: 'adopt'; readonly controlState: ControlState }
  | { readonly tag: 'fillClosed'; readonly orders: readonly string[]; readonly whole: boolean }
  /** Rewrites the complete state, after which a ring log that failed accepts records again. */
  | { readonly tag: 'rewrite' };

/** The result of a command. The effect of any result but `cannotWrite` is on disk; a batch too large is not accepted. */
export type StoreResult =
  | { readonly tag: 'vote'; readonly vote: Vote }
  | { readonly tag: 'folded'; readonly outcomes: readonly Outcome[] }
  | { readonly tag: 'outOfOrder' }
  | { readonly tag: 'cannotWrite'; readonly error: RingError };

/**
 * The persistent state of one controller: its votes (the acceptor), the control state as of the last applied slot, the
 * most recent slots as batches, and the closed orders. Commands are executed in order; those that are queued together
 * share writes and a sync. Invariants:
 *
 * - Votes, applied slots and adopted states are synced before they are answered. If a write fails, all commands that
 *   share it are answered with `cannotWrite`, and the ring log accepts no record until the complete state is rewritten.
 * - Slots are applied in order, each exactly once, or skipped by adopting a state that includes them. The slot never
 *   goes back.
 * - Votes are kept for each slot above the last applied one, also when a state is adopted, because a batch accepted
 *   there may have been chosen. For lower slots every ballot is answered with `alreadyChosen`.
 * - The snapshot on disk holds the state, the closed orders and these votes as of one moment. Later records repeat or
 *   extend it, so replaying a record that the snapshot covers changes nothing.
 */
export interface Store {
  put(command: StoreCommand): Promise<StoreResult>;
  controlState(): ControlState;
  /** The chosen batches from slot `from` on; null if the first is no longer kept, empty if there is none yet. */
  recent(from: number): readonly RecentSlot[] | null;
  /** As many of the batches from slot `from` on as fit into `maxBytes`, but at least one. */
  page(from: number, maxBytes: number): readonly RecentSlot[] | null;
  /** The size of the batches from slot `from` on, in bytes; null if the first of them is no longer kept. */
  bytesSince(from: number): number | null;
  readonly closed: ClosedOrders;
  /** The highest slot that is applied or has an accepted batch. */
  top(): number;
  /** The batch accepted for an unapplied slot, or null. */
  accepted(slot: number): Batch | null;
  /** The bytes of a snapshot that could not hold this batch on the present state; null if it fits. */
  excessBytes(batch: Batch): number | null;
  /** False after a failed write, until a later batch of commands succeeds. */
  writable(): boolean;
}

/** One record of the ring log. */
type StoredRecord =
  | { readonly t: 'slot'; readonly slot: number; readonly state: SlotState }
  | { readonly t: 'chosen'; readonly slot: number; readonly batch: Batch };

type StoredSnapshot = {
  readonly controlState: ControlState;
  readonly closed: SavedClosedOrders;
  readonly slots: readonly (readonly [number, SlotState])[];
};

function encode(value: StoredRecord | StoredSnapshot): Buffer {
  return Buffer.from(JSON.stringify(value));
}

/**
 * Opens the store and restores the state from disk. Afterwards `onFold` is called for each applied slot and `onAdopt`
 * for each adopted state, before the command is answered.
 */
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
  private acceptor: Acceptor = createAcceptor(0);
  private readonly recentSlots = createRecentSlots();
  private isWritable = true;
  readonly closed: ClosedOrders;
  private readonly ring: Ring;
  private readonly acceptanceCheck: AcceptanceCheck;
  private readonly queue: BatchQueue<StoreCommand, StoreResult>;

  constructor(
    { ring, snapshot, records }: OpenedRing,
    shape: RingShape,
    private readonly onFold: (slot: number, batch: Batch, outcomes: readonly Outcome[]) => void,
    private readonly onAdopt: () => void,
  ) {
    this.ring = ring;
    let storedSnapshot: StoredSnapshot | null = null;
    if (snapshot) {
      storedSnapshot = JSON.parse(snapshot.toString()) as StoredSnapshot;
      this.currentControlState = storedSnapshot.controlState;
      this.acceptor = createAcceptor(this.currentControlState.slot + 1);
      for (const [slot, state] of storedSnapshot.slots) restoreSlot(this.acceptor, slot, state);
    }
    const budget = snapshotBudget(shape);
    this.acceptanceCheck = new AcceptanceCheck(budget);
    this.closed = createClosedOrders(budget.closedOrders, storedSnapshot ? storedSnapshot.closed : null);
    for (const recordBuffer of records) {
      const record = JSON.parse(recordBuffer.toString()) as StoredRecord;
      if (record.t === 'slot') restoreSlot(this.acceptor, record.slot, record.state);
      else if (record.slot === this.currentControlState.slot + 1) {
        foldBatch(this.currentControlState, record.slot, record.batch);
        this.addClosedOrders();
        raiseFloor(this.acceptor, record.slot + 1);
        this.recentSlots.add(record.slot, record.batch, recordBuffer.length);
      }
    }
    this.queue = createBatchQueue((commands) => this.executeAll(commands));
  }

  private addClosedOrders(): void {
    for (const order of this.currentControlState.closed) this.closed.add(order);
  }

  private execute(command: StoreCommand, appendRecord: (record: StoredRecord) => number): StoreResult {
    switch (command.tag) {
      case 'prepare': {
        const vote = prepare(this.acceptor, command.slot, command.ballot);
        if (vote.tag === 'promised')
          appendRecord({ t: 'slot', slot: command.slot, state: slotStateOf(this.acceptor, command.slot) });
        return { tag: 'vote', vote };
      }
      case 'accept': {
        const isAccepted = this.accepted(command.slot)?.id === command.batch.id;
        const bytes = isAccepted ? null : this.excessBytes(command.batch);
        if (bytes !== null) return { tag: 'cannotWrite', error: { tag: 'recordTooLarge', bytes } };
        const vote = accept(this.acceptor, command.slot, command.ballot, command.batch);
        if (vote.tag === 'accepted')
          appendRecord({ t: 'slot', slot: command.slot, state: slotStateOf(this.acceptor, command.slot) });
        return { tag: 'vote', vote };
      }
      case 'chosen': {
        if (command.slot !== this.currentControlState.slot + 1) return { tag: 'outOfOrder' };
        const outcomes = foldBatch(this.currentControlState, command.slot, command.batch);
        this.addClosedOrders();
        raiseFloor(this.acceptor, command.slot + 1);
        const recordBytes = appendRecord({ t: 'chosen', slot: command.slot, batch: command.batch });
        this.recentSlots.add(command.slot, command.batch, recordBytes);
        this.acceptanceCheck.recordApplied(command.batch, recordBytes);
        this.onFold(command.slot, command.batch, outcomes);
        return { tag: 'folded', outcomes };
      }
      case 'adopt': {
        if (command.controlState.slot <= this.currentControlState.slot) return { tag: 'outOfOrder' };
        this.closed.markMissing({ from: this.currentControlState.slot + 1, to: command.controlState.slot });
        this.currentControlState = structuredClone(command.controlState);
        this.addClosedOrders();
        raiseFloor(this.acceptor, this.currentControlState.slot + 1);
        this.recentSlots.clear();
        this.acceptanceCheck.recordReplaced();
        this.onAdopt();
        return { tag: 'folded', outcomes: [] };
      }
      case 'fillClosed': {
        this.closed.addMissing(command.orders, command.whole);
        return { tag: 'folded', outcomes: [] };
      }
      case 'rewrite':
        return { tag: 'folded', outcomes: [] };
    }
  }

  private async compact(): Promise<Result<null, RingError>> {
    return this.ring.compact(
      encode({ controlState: this.currentControlState, closed: this.closed.saved(), slots: [...this.acceptor.slots] }),
    );
  }

  private async executeAll(commands: readonly StoreCommand[]): Promise<readonly StoreResult[]> {
    const results: StoreResult[] = [];
    const records: Buffer[] = [];
    let needsRewrite = false;
    function appendRecord(record: StoredRecord): number {
      const encodedRecord = encode(record);
      records.push(encodedRecord);
      return encodedRecord.length;
    }
    for (const command of commands) {
      results.push(this.execute(command, appendRecord));
      if (command.tag === 'adopt' || command.tag === 'fillClosed' || command.tag === 'rewrite') needsRewrite = true;
    }
    let written: Result<null, RingError> = ok(null);
    if (needsRewrite) written = await this.compact();
    else if (records.length > 0) {
      if (this.ring.isNearlyFull()) written = await this.compact();
      if (written.ok) written = await this.ring.append(records);
      if (!written.ok && (written.error.tag === 'ringFull' || written.error.tag === 'ringBroken'))
        written = await this.compact();
    }
    this.isWritable = written.ok;
    if (written.ok) return results;
    const error = written.error;
    function writeFailure(): StoreResult {
      return { tag: 'cannotWrite', error };
    }
    return results.map(writeFailure);
  }

  controlState(): ControlState {
    return this.currentControlState;
  }

  recent(from: number): readonly RecentSlot[] | null {
    return from > this.currentControlState.slot ? [] : this.recentSlots.since(from);
  }

  page(from: number, maxBytes: number): readonly RecentSlot[] | null {
    return from > this.currentControlState.slot ? [] : this.recentSlots.page(from, maxBytes);
  }

  bytesSince(from: number): number | null {
    return from > this.currentControlState.slot ? 0 : this.recentSlots.bytesSince(from);
  }

  top(): number {
    return Math.max(this.currentControlState.slot, highestAccepted(this.acceptor));
  }

  accepted(slot: number): Batch | null {
    return acceptedAt(this.acceptor, slot)?.batch ?? null;
  }

  excessBytes(batch: Batch): number | null {
    return this.acceptanceCheck.excessBytes(this.currentControlState, batch);
  }

  writable(): boolean {
    return this.isWritable;
  }

  put(command: StoreCommand): Promise<StoreResult> {
    return this.queue.put(command);
  }
}
