/** Fetches missing slots or a snapshot from another controller, and serves such fetches. */
import type { Message, MessageOf, SlotBatch } from '../../protocol/messages.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Batch } from '../../state/consensus/entry.js';
import type { SnapshotOffer } from '../../state/consensus/snapshot-chunks.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../messaging/peers.js';
import { createSnapshotSender } from './snapshot-sender.js';
import type { SnapshotSender } from './snapshot-sender.js';
import { createSnapshotReceiver } from './snapshot-receiver.js';
import type { SnapshotReceiver } from './snapshot-receiver.js';
import type { Store } from './store.js';

/**
 * Lets a lagging controller catch up with another one: fetches the missing slots, or the complete
 * state if the other one no longer keeps these slots or a snapshot is smaller. Also answers such
 * fetches. Called by the ledger when another member turns out to be ahead.
 */
export interface CatchUp {
  /** Fetches from one controller until it returns nothing new. Concurrent calls for the same address share a fetch. */
  from(address: Address): Promise<void>;
  readonly snapshots: SnapshotSender;
}

/** The store to bring up to date, and how it reaches the other controllers. */
export type CatchUpDeps = {
  readonly peers: Pick<Peers, 'call' | 'on'>;
  readonly clock: Clock;
  readonly log: Log;
  readonly store: Pick<Store, 'put' | 'recent' | 'page' | 'bytesSince'>;
  readonly controlState: () => ControlState;
  /** Applies a chosen batch to the next slot. */
  readonly learn: (slot: number, batch: Batch) => Promise<void>;
};

const FETCH_TIMEOUT_MS = 2_000;
/** Upper bound on the pages of one fetch; more than all kept slots take. */
const MAX_FETCHES = 256;
/** Fits into a window of 64 KB, so that a link with such a window carries a page in one round trip. */
export const PAGE_BYTES = 48_000;
/** Up to this size the slots themselves are sent, without checking how large a snapshot would be. */
const SNAPSHOT_THRESHOLD_BYTES = 256_000;

/**
 * Returns a snapshot to send to a node that lacks the slots from `from` on, if the snapshot is smaller than these
 * slots or they are no longer kept; otherwise null.
 */
export function snapshotInstead(
  store: Pick<Store, 'bytesSince'>,
  from: number,
  offer: (slot: number) => SnapshotOffer | null,
): SnapshotOffer | null {
  const bytes = store.bytesSince(from);
  if (bytes !== null && bytes <= SNAPSHOT_THRESHOLD_BYTES) return null;
  const snapshot = offer(from);
  return snapshot && (bytes === null || snapshot.length < bytes) ? snapshot : null;
}

class LogCatchUp implements CatchUp {
  private readonly fetches = new Map<Address, Promise<void>>();
  readonly snapshots: SnapshotSender;
  private readonly receiver: SnapshotReceiver;

  constructor(private readonly deps: CatchUpDeps) {
    this.snapshots = createSnapshotSender({
      peers: this.deps.peers,
      clock: this.deps.clock,
      log: this.deps.log,
      controlState: this.deps.controlState,
      hasSlotsFrom: (slot) => this.hasSlotsFrom(slot),
    });
    this.receiver = createSnapshotReceiver(this.deps.peers, this.deps.clock, this.deps.log);

    this.deps.peers.on('fetch', (message) => this.onFetch(message));
  }

  private hasSlotsFrom(slot: number): boolean {
    return this.deps.store.recent(slot) !== null;
  }

  from(address: Address): Promise<void> {
    const running = this.fetches.get(address);
    if (running) return running;

    const onDone = (): void => {
      this.fetches.delete(address);
    };
    const fetching = this.fetchAll(address).then(onDone);
    this.fetches.set(address, fetching);
    return fetching;
  }

  private async fetchAll(address: Address): Promise<void> {
    for (let i = 0; i < MAX_FETCHES; i += 1) {
      const slotBefore = this.deps.controlState().slot;
      const reply = await this.deps.peers.call(
        address,
        { kind: 'fetch', ledger: this.deps.controlState().ledger, from: slotBefore + 1 },
        FETCH_TIMEOUT_MS,
      );
      if (!reply.ok || reply.value.kind !== 'fetched') return;
      const { batches, snapshot } = reply.value;
      if (snapshot && snapshot.slot > this.deps.controlState().slot && !(await this.adopt(address, snapshot))) return;
      await this.learnAll(batches);
      if (this.deps.controlState().slot === slotBefore) return;
    }
  }

  /** Fetches and adopts a snapshot. False if it ended without a state; if interrupted, a later call resumes it. */
  private async adopt(address: Address, offer: SnapshotOffer): Promise<boolean> {
    const received = await this.receiver.receive(address, offer);
    if (received.tag === 'joined') return true;
    if (received.tag !== 'whole') return false;
    const ownLedger = this.deps.controlState().ledger;
    if (ownLedger !== '' && received.state.ledger !== ownLedger) {
      this.deps.log.error('snapshot of another ledger rejected', { from: address, ledger: received.state.ledger });
      return false;
    }
    await this.deps.store.put({ tag: 'adopt', controlState: received.state });
    return true;
  }

  /** Applies a page of slots concurrently, so that the disk syncs once for the page and not for each slot. */
  private async learnAll(batches: readonly SlotBatch[]): Promise<void> {
    const learning: Promise<void>[] = [];
    for (const slotBatch of batches) learning.push(this.deps.learn(slotBatch.slot, slotBatch.batch));
    await Promise.all(learning);
  }

  private offerToController(slot: number): SnapshotOffer | null {
    return this.snapshots.offer('controller', slot);
  }

  private onFetch(message: MessageOf<'fetch'>): Message {
    if (message.ledger !== '' && message.ledger !== this.deps.controlState().ledger)
      return { kind: 'fetched', batches: [] };
    const snapshot =
      message.ledger === ''
        ? this.offerToController(message.from)
        : snapshotInstead(this.deps.store, message.from, (slot) => this.offerToController(slot));
    if (snapshot) return { kind: 'fetched', snapshot, batches: [] };
    return { kind: 'fetched', batches: [...(this.deps.store.page(message.from, PAGE_BYTES) ?? [])] };
  }
}

/** Creates the catch-up client and registers its server side for `fetch`. */
export function createCatchUp(deps: CatchUpDeps): CatchUp {
  return new LogCatchUp(deps);
}
