import type { Message, MessageOf, SlotBatch } from '../../protocol/messages.js';
import type { ControlState } from '../../state/control-state.js';
import type { Batch } from '../../state/entry.js';
import type { SnapshotOffer } from '../../state/snapshot-parts.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../members/peers.js';
import { createSnapshotGiver } from './snapshot-giver.js';
import type { SnapshotGiver } from './snapshot-giver.js';
import { createSnapshotTaker } from './snapshot-taker.js';
import type { Store } from './store.js';

/**
 * How a controller that lags gets what it lacks from another one: the slots it is missing, or
 * the whole state where the other no longer keeps these slots. The other side, which hands them
 * out, is here as well. The ledger calls it whenever it hears of a member that is further.
 */
export type CatchUp = {
  /** Asks one controller until nothing more comes; calls for the same one join the one under way. */
  readonly from: (address: Address) => Promise<void>;
  readonly snapshots: SnapshotGiver;
};

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

export function createCatchUp(deps: CatchUpDeps): CatchUp {
  const { peers, clock, log, store, controlState, learn } = deps;
  const underWay = new Map<Address, Promise<void>>();
  const snapshots = createSnapshotGiver({ peers, clock, log, controlState, keepsFrom });
  const taker = createSnapshotTaker(peers, clock, log);

  function keepsFrom(slot: number): boolean {
    return store.recent(slot) !== null;
  }

  function from(address: Address): Promise<void> {
    const joined = underWay.get(address);
    if (joined) return joined;
    function done(): void {
      underWay.delete(address);
    }
    const made = fetchAll(address).then(done);
    underWay.set(address, made);
    return made;
  }

  async function fetchAll(address: Address): Promise<void> {
    for (let i = 0; i < MOST_FETCHES; i += 1) {
      const at = controlState().slot;
      const reply = await peers.call(
        address,
        { kind: 'fetch', ledger: controlState().ledger, from: at + 1 },
        FETCH_WAIT_MS,
      );
      if (!reply.ok || reply.value.kind !== 'fetched') return;
      const { batches, snapshot } = reply.value;
      if (snapshot && snapshot.slot > controlState().slot && !(await adopt(address, snapshot))) return;
      await learnAll(batches);
      if (controlState().slot === at) return;
    }
  }

  /** False if the fetch ended without a state; the next call goes on where it stood. */
  async function adopt(address: Address, offer: SnapshotOffer): Promise<boolean> {
    const taken = await taker.take(address, offer);
    if (taken.tag === 'joined') return true;
    if (taken.tag !== 'whole') return false;
    const own = controlState().ledger;
    if (own !== '' && taken.state.ledger !== own) {
      log.error(`${address} gave a snapshot of another ledger; it is not taken.`);
      return false;
    }
    await store.put({ tag: 'adopt', controlState: taken.state });
    return true;
  }

  /** All at once, so that the disk syncs a page and not each slot. */
  async function learnAll(batches: readonly SlotBatch[]): Promise<void> {
    const learning: Promise<void>[] = [];
    for (const b of batches) learning.push(learn(b.slot, b.batch));
    await Promise.all(learning);
  }

  function offerToController(slot: number): SnapshotOffer | null {
    return snapshots.offer('controller', slot);
  }
  function onFetch(m: MessageOf<'fetch'>): Message {
    if (m.ledger !== '' && m.ledger !== controlState().ledger) return { kind: 'fetched', batches: [] };
    const snapshot = m.ledger === '' ? offerToController(m.from) : snapshotInstead(store, m.from, offerToController);
    if (snapshot) return { kind: 'fetched', snapshot, batches: [] };
    return { kind: 'fetched', batches: [...(store.page(m.from, PAGE_BYTES) ?? [])] };
  }
  peers.on('fetch', onFetch);

  return { from, snapshots };
}
