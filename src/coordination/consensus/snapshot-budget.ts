/**
 * What a snapshot of the log has to hold at most, added up, and the check that keeps the log within it. A snapshot holds
 * the replicated state, the closed orders, and the batch that is accepted for the slot after the state. There is one such
 * batch at most: a member votes on a slot only once it has applied the one before it. A batch is refused before it is
 * accepted if a snapshot could not hold it, since a member that can't write its snapshot has no vote any more.
 */
import { emptyControlState, foldBatch } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Batch } from '../../state/consensus/entry.js';
import type { RingShape } from '../../transport/ring.js';

/** Maximum sizes of the parts of a snapshot, in bytes of JSON. */
export type SnapshotBudget = {
  /** The configuration with the changes that lead back from it. */
  readonly configuration: number;
  readonly closedOrders: number;
  /** The replicated state as a whole, configuration included. */
  readonly state: number;
  /** The batch that is accepted and not applied: one record of the log. */
  readonly acceptedBatch: number;
};

/** Shares of what the accepted batch leaves; the remaining fifth is for the other parts of the state. */
const CONFIGURATION_SHARE = 0.6;
const CLOSED_ORDERS_SHARE = 0.2;
/** The record header, the keys of the snapshot, and the ballots of the accepted batch. */
const FRAME_BYTES = 1_024;
/** The size of a snapshot on small disks, in files of the log: 2.55 of them are left for the configuration. */
export const SNAPSHOT_FILES = 5.25;
/** An applied entry adds at most this many times its own size to the state; changes of the configuration excepted. */
const STATE_GROWTH_FACTOR = 4;

/** Returns the maximum sizes for a ring of this shape. */
export function snapshotBudget(shape: Pick<RingShape, 'fileBytes' | 'snapshotBytes'>): SnapshotBudget {
  const shared = shape.snapshotBytes - shape.fileBytes;
  const closedOrders = Math.floor(CLOSED_ORDERS_SHARE * shared);
  return {
    configuration: Math.floor(CONFIGURATION_SHARE * shared),
    closedOrders,
    state: shared - closedOrders - FRAME_BYTES,
    acceptedBatch: shape.fileBytes,
  };
}

/** Returns the size of a value in a snapshot. */
export function snapshotBytesOf(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

function changesConfiguration(batch: Batch): boolean {
  return batch.entries.some(({ act }) => act.tag === 'configured');
}

function stateAfter(state: ControlState, batch: Batch): ControlState {
  const next = { ...emptyControlState(), ...structuredClone(state) };
  foldBatch(next, state.slot + 1, batch);
  return next;
}

/** Decides whether a batch may be accepted on a state. Keeps an upper bound of the state's size between the calls. */
export class AcceptanceCheck {
  private stateBound: number | null = null;

  constructor(private readonly budget: SnapshotBudget) {}

  /** Must be called when a batch has been applied to the state. */
  recordApplied(batch: Batch, recordBytes: number): void {
    if (this.stateBound === null || changesConfiguration(batch)) this.stateBound = null;
    else this.stateBound += STATE_GROWTH_FACTOR * recordBytes;
  }

  /** Must be called when the state has been replaced. */
  recordReplaced(): void {
    this.stateBound = null;
  }

  /** Returns the bytes that a snapshot would have to hold of a batch that does not fit; null if it fits. */
  excessBytes(state: ControlState, batch: Batch): number | null {
    const batchBytes = snapshotBytesOf(batch);
    if (this.stateBound !== null && this.fitsAnyway(this.stateBound, batch, batchBytes)) return null;
    const stateBytes = snapshotBytesOf(state);
    this.stateBound = stateBytes;
    if (this.fitsAnyway(stateBytes, batch, batchBytes)) return null;
    const room = this.budget.state + this.budget.acceptedBatch;
    const appliedBytes = snapshotBytesOf(stateAfter(state, batch));
    const heldBytes = Math.max(stateBytes + batchBytes, appliedBytes);
    if (heldBytes > room) return heldBytes;
    // The state that a change leads to has to leave room for the next batch, whatever its size.
    return changesConfiguration(batch) && appliedBytes > Math.max(this.budget.state, stateBytes) ? appliedBytes : null;
  }

  /** Whether a batch fits by its size alone. The changes back from a configuration are no larger than the state was. */
  private fitsAnyway(stateBytes: number, batch: Batch, batchBytes: number): boolean {
    const grownBytes = stateBytes + STATE_GROWTH_FACTOR * batchBytes;
    return changesConfiguration(batch)
      ? grownBytes + stateBytes <= this.budget.state
      : grownBytes <= this.budget.state + this.budget.acceptedBatch;
  }
}
