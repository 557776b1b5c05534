/** Serves snapshots of the control state, each pinned to the slot at which it was taken. */
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import { proxyState } from '../../state/consensus/proxy-state.js';
import { isWithinSizeLimit, chunkAt, snapshotOf } from '../../state/consensus/snapshot-chunks.js';
import type { Snapshot, SnapshotOffer } from '../../state/consensus/snapshot-chunks.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Peers } from '../messaging/peers.js';

/**
 * Sends the state of a controller to nodes that lag too far to catch up by single slots. A snapshot is pinned
 * to the slot at which it was taken and does not change while it is being fetched, even if further slots are
 * applied; those are sent as batches afterwards. Only a few snapshots are pinned at a time, and nodes that lag
 * at the same time share one.
 */
export interface SnapshotSender {
  /**
   * Offers a snapshot that includes `slot`, to be fetched in chunks with `snapshotAsk`. Null if the state exceeds the
   * size limit, or does not include `slot` yet.
   */
  offer(view: SnapshotView, slot: number): SnapshotOffer | null;
}

/** The complete replicated state, or only the part of it that a proxy uses. */
export type SnapshotView = 'controller' | 'proxy';

/** The state to serve, and the peers that may request it. */
export type SnapshotSenderDeps = {
  readonly peers: Pick<Peers, 'on'>;
  readonly clock: Clock;
  readonly log: Log;
  readonly controlState: () => ControlState;
  /** Whether all slots from `slot` on are still kept as batches. */
  readonly hasSlotsFrom: (slot: number) => boolean;
};

type PinnedSnapshot = { readonly snapshot: Snapshot; readonly view: SnapshotView; requestedAt: number };

/** A node that has not requested a chunk for this long has abandoned the fetch or found another sender. */
const PIN_TIMEOUT_MS = 10_000;
/** The snapshot being fetched, and a newer one for the case that the slots after the first are no longer kept. */
const MAX_PINNED_PER_VIEW = 2;

class PinnedSnapshotSender implements SnapshotSender {
  private pinnedSnapshots: PinnedSnapshot[] = [];

  constructor(private readonly deps: SnapshotSenderDeps) {
    this.deps.peers.on('snapshotAsk', (message) => this.onRequest(message));
  }

  private isInUse(pin: PinnedSnapshot): boolean {
    return this.deps.clock.mono() - pin.requestedAt < PIN_TIMEOUT_MS;
  }

  /** Returns a pinned snapshot that includes `slot` if all slots after it are still kept as batches; otherwise null. */
  private findReusable(view: SnapshotView, slot: number): PinnedSnapshot | null {
    for (const pin of this.pinnedSnapshots) {
      const pinnedSlot = pin.snapshot.offer.slot;
      if (pin.view === view && pinnedSlot >= slot && this.deps.hasSlotsFrom(pinnedSlot + 1)) return pin;
    }
    return null;
  }

  private pinCurrentState(view: SnapshotView): PinnedSnapshot | null {
    const state = this.deps.controlState();
    const snapshot = snapshotOf(state.slot, JSON.stringify(view === 'proxy' ? proxyState(state) : state));
    if (!isWithinSizeLimit(snapshot.offer)) {
      this.deps.log.error('state too large for a snapshot', { length: snapshot.offer.length });
      return null;
    }
    const created: PinnedSnapshot = { snapshot, view, requestedAt: this.deps.clock.mono() };
    this.pinnedSnapshots = [created, ...this.snapshotsToKeep(view)];
    return created;
  }

  private snapshotsToKeep(view: SnapshotView): PinnedSnapshot[] {
    let viewCount = 1;
    const kept: PinnedSnapshot[] = [];
    for (const pin of this.pinnedSnapshots) {
      if (pin.view === view) viewCount += 1;
      if (pin.view !== view || viewCount <= MAX_PINNED_PER_VIEW) kept.push(pin);
    }
    return kept;
  }

  offer(view: SnapshotView, slot: number): SnapshotOffer | null {
    if (this.deps.controlState().ledger === '' || slot > this.deps.controlState().slot) return null;
    this.pinnedSnapshots = this.pinnedSnapshots.filter((pin) => this.isInUse(pin));
    const offered = this.findReusable(view, slot) ?? this.pinCurrentState(view);
    if (!offered) return null;
    offered.requestedAt = this.deps.clock.mono();
    return offered.snapshot.offer;
  }

  private onRequest(message: MessageOf<'snapshotAsk'>): Message {
    for (const pin of this.pinnedSnapshots) {
      if (pin.snapshot.offer.digest !== message.digest) continue;
      const chunk = chunkAt(pin.snapshot, message.part);
      if (chunk === null) break;
      pin.requestedAt = this.deps.clock.mono();
      return { kind: 'snapshotPart', digest: message.digest, part: message.part, text: chunk };
    }
    return { kind: 'snapshotGone', digest: message.digest };
  }
}

/** Creates a sender without any pinned snapshots. */
export function createSnapshotSender(deps: SnapshotSenderDeps): SnapshotSender {
  return new PinnedSnapshotSender(deps);
}
