/** Serves snapshots of the state, pinned to the slot at which they were made. */
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import { proxyState } from '../../state/consensus/proxy-state.js';
import { isBounded, chunkOf, snapshotOf } from '../../state/consensus/snapshot-chunks.js';
import type { Snapshot, SnapshotOffer } from '../../state/consensus/snapshot-chunks.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Peers } from '../messaging/peers.js';

/**
 * Hands a controller's state to nodes that lag too far for single slots. A snapshot is pinned to the slot
 * it was made at, and stays what it is while it is being fetched, whatever is folded meanwhile; the slots
 * since then come as batches afterwards. Few are pinned at a time, and nodes that lag together share one.
 */
export interface SnapshotSender {
  /** A snapshot that holds that slot, to be fetched part by part with `snapshotAsk`; null if the state is over the bound. */
  offer(view: SnapshotView, slot: number): SnapshotOffer | null;
}

/** All that is replicated, or only what a proxy uses of it. */
export type SnapshotView = 'controller' | 'proxy';

/** The state to serve; `keepsFrom` tells whether all slots from one on are still kept as batches. */
export type SnapshotSenderDeps = {
  readonly peers: Pick<Peers, 'on'>;
  readonly clock: Clock;
  readonly log: Log;
  readonly controlState: () => ControlState;
  /** Whether all slots from this one on are still kept as batches. */
  readonly keepsFrom: (slot: number) => boolean;
};

type Pinned = { readonly snapshot: Snapshot; readonly view: SnapshotView; requestedAt: number };

/** A node that has not asked for a part in this long has given up or found another giver. */
const PINNED_MS = 10_000;
/** One that is being fetched, and a newer one where the slots since then are no longer kept. */
const MOST_PINNED_EACH = 2;

class PinnedSnapshotSender implements SnapshotSender {
  private pinned: Pinned[] = [];

  constructor(private readonly deps: SnapshotSenderDeps) {
    this.deps.peers.on('snapshotAsk', (message) => this.onRequest(message));
  }

  private isFresh(pin: Pinned): boolean {
    return this.deps.clock.mono() - pin.requestedAt < PINNED_MS;
  }

  /** One that stands already, if it holds the slot and all since then is kept as batches. */
  private reusable(view: SnapshotView, slot: number): Pinned | null {
    for (const pin of this.pinned) {
      const pinnedSlot = pin.snapshot.offer.slot;
      if (pin.view === view && pinnedSlot >= slot && this.deps.keepsFrom(pinnedSlot + 1)) return pin;
    }
    return null;
  }

  private pin(view: SnapshotView): Pinned | null {
    const state = this.deps.controlState();
    const snapshot = snapshotOf(state.slot, JSON.stringify(view === 'proxy' ? proxyState(state) : state));
    if (!isBounded(snapshot.offer)) {
      this.deps.log.error('state too large for a snapshot', { length: snapshot.offer.length });
      return null;
    }
    const made: Pinned = { snapshot, view, requestedAt: this.deps.clock.mono() };
    this.pinned = [made, ...this.othersBeside(view)];
    return made;
  }

  private othersBeside(view: SnapshotView): Pinned[] {
    let ofView = 1;
    const out: Pinned[] = [];
    for (const pin of this.pinned) {
      if (pin.view === view) ofView += 1;
      if (pin.view !== view || ofView <= MOST_PINNED_EACH) out.push(pin);
    }
    return out;
  }

  offer(view: SnapshotView, slot: number): SnapshotOffer | null {
    if (this.deps.controlState().ledger === '' || slot > this.deps.controlState().slot) return null;
    this.pinned = this.pinned.filter((pin) => this.isFresh(pin));
    const offered = this.reusable(view, slot) ?? this.pin(view);
    if (!offered) return null;
    offered.requestedAt = this.deps.clock.mono();
    return offered.snapshot.offer;
  }

  private onRequest(message: MessageOf<'snapshotAsk'>): Message {
    for (const pin of this.pinned) {
      if (pin.snapshot.offer.digest !== message.digest) continue;
      const chunk = chunkOf(pin.snapshot, message.part);
      if (chunk === null) break;
      pin.requestedAt = this.deps.clock.mono();
      return { kind: 'snapshotPart', digest: message.digest, part: message.part, text: chunk };
    }
    return { kind: 'snapshotGone', digest: message.digest };
  }
}

/** A sender without any pinned snapshot. */
export function createSnapshotSender(deps: SnapshotSenderDeps): SnapshotSender {
  return new PinnedSnapshotSender(deps);
}
