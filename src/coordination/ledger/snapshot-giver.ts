import type { Message, MessageOf } from '../../protocol/messages.js';
import type { ControlState } from '../../state/control-state.js';
import { proxyState } from '../../state/proxy-state.js';
import { isBounded, partOf, snapshotOf } from '../../state/snapshot-parts.js';
import type { Snapshot, SnapshotOffer } from '../../state/snapshot-parts.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Peers } from '../members/peers.js';

/**
 * Hands a controller's state to nodes that lag too far for single slots. A snapshot is pinned to the slot
 * it was made at, and stays what it is while it is being fetched, whatever is folded meanwhile; the slots
 * since then come as batches afterwards. Few are pinned at a time, and nodes that lag together share one.
 */
export type SnapshotGiver = {
  /** A snapshot that holds that slot, to be fetched part by part with `snapshotAsk`; null if the state is over the bound. */
  readonly offer: (view: SnapshotView, slot: number) => SnapshotOffer | null;
};

/** All that is replicated, or only what a proxy uses of it. */
export type SnapshotView = 'controller' | 'proxy';

export type SnapshotGiverDeps = {
  readonly peers: Pick<Peers, 'on'>;
  readonly clock: Clock;
  readonly log: Log;
  readonly controlState: () => ControlState;
  /** Whether all slots from this one on are still kept as batches. */
  readonly keepsFrom: (slot: number) => boolean;
};

type Pinned = { readonly snapshot: Snapshot; readonly view: SnapshotView; askedAt: number };

/** A node that has not asked for a part in this long has given up or found another giver. */
const PINNED_MS = 10_000;
/** One that is being fetched, and a newer one where the slots since then are no longer kept. */
const MOST_PINNED_EACH = 2;

export function createSnapshotGiver(deps: SnapshotGiverDeps): SnapshotGiver {
  const { peers, clock, log, controlState } = deps;
  let pinned: Pinned[] = [];

  function isFresh(pin: Pinned): boolean {
    return clock.mono() - pin.askedAt < PINNED_MS;
  }

  /** One that stands already, if it holds the slot and all since then is kept as batches. */
  function reusable(view: SnapshotView, slot: number): Pinned | null {
    for (const pin of pinned) {
      const held = pin.snapshot.offer.slot;
      if (pin.view === view && held >= slot && deps.keepsFrom(held + 1)) return pin;
    }
    return null;
  }

  function pin(view: SnapshotView): Pinned | null {
    const state = controlState();
    const snapshot = snapshotOf(state.slot, JSON.stringify(view === 'proxy' ? proxyState(state) : state));
    if (!isBounded(snapshot.offer)) {
      log.error(
        `The state is ${snapshot.offer.length} characters long, too many for a snapshot; nodes that lag can't be helped.`,
      );
      return null;
    }
    const made: Pinned = { snapshot, view, askedAt: clock.mono() };
    pinned = [made, ...othersBeside(view)];
    return made;
  }
  function othersBeside(view: SnapshotView): Pinned[] {
    let ofView = 1;
    const out: Pinned[] = [];
    for (const pin of pinned) {
      if (pin.view === view) ofView += 1;
      if (pin.view !== view || ofView <= MOST_PINNED_EACH) out.push(pin);
    }
    return out;
  }

  function offer(view: SnapshotView, slot: number): SnapshotOffer | null {
    if (controlState().ledger === '' || slot > controlState().slot) return null;
    pinned = pinned.filter(isFresh);
    const offered = reusable(view, slot) ?? pin(view);
    if (!offered) return null;
    offered.askedAt = clock.mono();
    return offered.snapshot.offer;
  }

  function onAsk(m: MessageOf<'snapshotAsk'>): Message {
    for (const pin of pinned) {
      if (pin.snapshot.offer.digest !== m.digest) continue;
      const part = partOf(pin.snapshot, m.part);
      if (part === null) break;
      pin.askedAt = clock.mono();
      return { kind: 'snapshotPart', digest: m.digest, part: m.part, text: part };
    }
    return { kind: 'snapshotGone', digest: m.digest };
  }
  peers.on('snapshotAsk', onAsk);

  return { offer };
}
