import type { Message, MessageOf } from '../../protocol/messages.js';
import { isBelief } from '../../state/belief.js';
import type { Belief } from '../../state/belief.js';
import type { Batch } from '../../state/entry.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../members/peers.js';
import type { Store } from './store.js';

/**
 * How a controller that lags gets what it lacks from another one: the slots it is missing, or
 * the whole state where the other no longer keeps these slots. The other side, which hands them
 * out, is here as well. The ledger calls it whenever it hears of a member that is further.
 */
export type CatchUp = {
  /** Asks one controller until nothing more comes; calls for the same one join the one under way. */
  readonly from: (address: Address) => Promise<void>;
};

export type CatchUpDeps = {
  readonly peers: Pick<Peers, 'call' | 'on'>;
  readonly store: Pick<Store, 'put' | 'recent'>;
  readonly belief: () => Belief;
  /** Folds a chosen batch into the next slot. */
  readonly learn: (slot: number, batch: Batch) => Promise<void>;
};

const FETCH_WAIT_MS = 2_000;
const MOST_FETCHES = 64;
const MOST_BATCHES = 256;

export function createCatchUp(deps: CatchUpDeps): CatchUp {
  const { peers, store, belief, learn } = deps;
  const underWay = new Map<Address, Promise<void>>();

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
      const at = belief().slot;
      const reply = await peers.call(address, { kind: 'fetch', ledger: belief().ledger, from: at + 1 }, FETCH_WAIT_MS);
      if (!reply.ok || reply.value.kind !== 'fetched') return;
      const { batches, belief: whole } = reply.value;
      if (isBelief(whole)) await store.put({ tag: 'adopt', belief: whole });
      for (const b of batches) await learn(b.slot, b.batch);
      if (belief().slot === at) return;
    }
  }

  function onFetch(m: MessageOf<'fetch'>): Message {
    if (m.ledger !== '' && m.ledger !== belief().ledger) return { kind: 'fetched', batches: [] };
    const batches = store.recent(m.from);
    if (batches && m.ledger !== '') return { kind: 'fetched', batches: batches.slice(0, MOST_BATCHES) };
    return { kind: 'fetched', belief: belief(), batches: [] };
  }
  peers.on('fetch', onFetch);

  return { from };
}
