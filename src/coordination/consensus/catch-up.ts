/** How a controller that lags gets the slots that it lacks, or a snapshot, from another one; and how it serves them. */
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
 * How a controller that lags gets what it lacks from another one: the slots it is missing, or
 * the whole state where the other no longer keeps these slots. The other side, which hands them
 * out, is here as well. The ledger calls it whenever it hears of a member that is further.
 */
export interface CatchUp {
  /** Asks one controller until nothing more comes; calls for the same one join the one under way. */
  from(address: Address): Promise<void>;
  readonly snapshots: SnapshotSender;
}

/** The store that is caught up; `learn` folds a chosen batch into its slot. */
export type CatchUpDeps = {
  readonly peers: Pick<Peers, 'call' | 'on'>;
  readonly clock: Clock;
  readonly log: Log;
  readonly store: Pick<Store, 'put' | 'recent' | 'page' | 'bytesSince'>;
  readonly controlState: () => ControlState;
  /** Folds a chosen batch into the next slot. */
  readonly learn: (slot: number, batch: Batch) => Promise<void>;
};

const FETCH_WAIT_MS = 2_000;
/** More than the kept slots come to, page by page. */
const MOST_FETCHES = 256;
/** A page is carried in one round trip by links with windows of 64 KB. */
export const PAGE_BYTES = 48_000;
/** Up to here single slots are told without a look at how large a snapshot would be. */
const FEW_BYTES = 256_000;

/** Whether a node that lags from a slot on is helped sooner by a snapshot than by the slots themselves. */
export function snapshotInstead(
  store: Pick<Store, 'bytesSince'>,
  from: number,
  offer: (slot: number) => SnapshotOffer | null,
): SnapshotOffer | null {
  const bytes = store.bytesSince(from);
  if (bytes !== null && bytes <= FEW_BYTES) return null;
  const offered = offer(from);
  return offered && (bytes === null || offered.length < bytes) ? offered : null;
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
      keepsFrom: (slot) => this.keepsFrom(slot),
    });
    this.receiver = createSnapshotReceiver(this.deps.peers, this.deps.clock, this.deps.log);

    this.deps.peers.on('fetch', (message) => this.onFetch(message));
  }

  private keepsFrom(slot: number): boolean {
    return this.deps.store.recent(slot) !== null;
  }

  from(address: Address): Promise<void> {
    const joined = this.fetches.get(address);
    if (joined) return joined;

    const done = (): void => {
      this.fetches.delete(address);
    };
    const made = this.fetchAll(address).then(done);
    this.fetches.set(address, made);
    return made;
  }

  private async fetchAll(address: Address): Promise<void> {
    for (let i = 0; i < MOST_FETCHES; i += 1) {
      const at = this.deps.controlState().slot;
      const reply = await this.deps.peers.call(
        address,
        { kind: 'fetch', ledger: this.deps.controlState().ledger, from: at + 1 },
        FETCH_WAIT_MS,
      );
      if (!reply.ok || reply.value.kind !== 'fetched') return;
      const { batches, snapshot } = reply.value;
      if (snapshot && snapshot.slot > this.deps.controlState().slot && !(await this.adopt(address, snapshot))) return;
      await this.learnAll(batches);
      if (this.deps.controlState().slot === at) return;
    }
  }

  /** False if the fetch ended without a state; the next call goes on where it stood. */
  private async adopt(address: Address, offer: SnapshotOffer): Promise<boolean> {
    const received = await this.receiver.receive(address, offer);
    if (received.tag === 'joined') return true;
    if (received.tag !== 'whole') return false;
    const own = this.deps.controlState().ledger;
    if (own !== '' && received.state.ledger !== own) {
      this.deps.log.error('snapshot of another ledger rejected', { from: address, ledger: received.state.ledger });
      return false;
    }
    await this.deps.store.put({ tag: 'adopt', controlState: received.state });
    return true;
  }

  /** All at once, so that the disk syncs a page and not each slot. */
  private async learnAll(batches: readonly SlotBatch[]): Promise<void> {
    const learning: Promise<void>[] = [];
    for (const second of batches) learning.push(this.deps.learn(second.slot, second.batch));
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

/** Catches up by fetching, and answers the fetches of others. */
export function createCatchUp(deps: CatchUpDeps): CatchUp {
  return new LogCatchUp(deps);
}
