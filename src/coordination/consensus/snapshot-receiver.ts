/** Receives a snapshot chunk by chunk, and resumes one that was interrupted. */
import { parsedJson } from '../../base/parsed-json.js';
import { isControlState } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import { addChunk, assembled, createAssembly, isBounded, nextChunk } from '../../state/consensus/snapshot-chunks.js';
import type { Assembly, SnapshotOffer } from '../../state/consensus/snapshot-chunks.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../messaging/peers.js';

/**
 * Fetches an offered snapshot part by part. What came of it is kept when its giver falls silent, and the
 * fetch goes on where it stood with whoever offers the same snapshot (the same digest); any other offer
 * begins anew. A state is returned only if the digest of the whole is the one that was offered.
 */
export interface SnapshotReceiver {
  receive(from: Address, offer: SnapshotOffer): Promise<SnapshotReceipt>;
  isReceiving(): boolean;
}

/** How receiving a snapshot ended. */
export type SnapshotReceipt =
  | { readonly tag: 'whole'; readonly state: ControlState }
  /** The giver fell silent or was lost; what came is kept. */
  | { readonly tag: 'interrupted' }
  /** The giver no longer has it, or what it gave is not what it offered; nothing is kept. */
  | { readonly tag: 'refused' }
  /** Another fetch was under way and has ended, or another giver took over. */
  | { readonly tag: 'joined' };

const PART_WAIT_MS = 2_000;
/** Without a part in this long another giver takes over; at 7 Mbit/s a part takes some 60 ms and a round trip. */
const STALLED_MS = 600;

const INTERRUPTED: SnapshotReceipt = { tag: 'interrupted' };
const REFUSED: SnapshotReceipt = { tag: 'refused' };
const JOINED: SnapshotReceipt = { tag: 'joined' };

class ResumingSnapshotReceiver implements SnapshotReceiver {
  private assembly: Assembly | null = null;
  private fetch: Promise<SnapshotReceipt> | null = null;

  /** Counts the fetches begun. One that is no longer the newest adds nothing to the assembly. */
  private newest = 0;
  private lastChunkAt = 0;

  constructor(
    private readonly peers: Pick<Peers, 'call'>,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  isReceiving(): boolean {
    return this.fetch !== null;
  }

  async receive(from: Address, offer: SnapshotOffer): Promise<SnapshotReceipt> {
    if (this.fetch && this.clock.mono() - this.lastChunkAt < STALLED_MS) {
      await this.fetch;
      return JOINED;
    }
    this.newest += 1;
    this.lastChunkAt = this.clock.mono();
    const own = this.newest;
    this.fetch = this.fetchFrom(from, offer, own);
    const ended = await this.fetch;
    if (own !== this.newest) return JOINED;
    this.fetch = null;
    if (ended.tag !== 'interrupted') this.assembly = null;
    return ended;
  }

  private async fetchFrom(from: Address, offer: SnapshotOffer, own: number): Promise<SnapshotReceipt> {
    if (!isBounded(offer)) {
      this.log.error('snapshot too large, not fetched', { from, length: offer.length });
      return REFUSED;
    }
    const current = this.assembly?.offer.digest === offer.digest ? this.assembly : createAssembly(offer);
    this.assembly = current;
    for (let next = nextChunk(current); next !== null; next = nextChunk(current)) {
      const reply = await this.peers.call(
        from,
        { kind: 'snapshotAsk', digest: offer.digest, part: next },
        PART_WAIT_MS,
      );
      if (!reply.ok || own !== this.newest) return INTERRUPTED;
      const answer = reply.value;
      if (
        answer.kind !== 'snapshotPart' ||
        answer.digest !== offer.digest ||
        !addChunk(current, answer.part, answer.text)
      )
        return REFUSED;
      this.lastChunkAt = this.clock.mono();
    }
    return this.stateIn(from, current);
  }

  private stateIn(from: Address, current: Assembly): SnapshotReceipt {
    const text = assembled(current);
    const state = text.ok ? parsedJson(text.value) : null;
    if (text.ok && isControlState(state) && state.slot === current.offer.slot) return { tag: 'whole', state };
    this.log.warn('snapshot digest mismatch', { from, slot: current.offer.slot });
    return REFUSED;
  }
}

/** A receiver without any chunk yet. */
export function createSnapshotReceiver(peers: Pick<Peers, 'call'>, clock: Clock, log: Log): SnapshotReceiver {
  return new ResumingSnapshotReceiver(peers, clock, log);
}
