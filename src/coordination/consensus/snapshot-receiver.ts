/** Receives a snapshot in chunks, and resumes an interrupted transfer. */
import { parseJson } from '../../base/parse-json.js';
import { isControlState } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import {
  addChunk,
  assembleText,
  createAssembly,
  isWithinSizeLimit,
  nextChunk,
} from '../../state/consensus/snapshot-chunks.js';
import type { Assembly, SnapshotOffer } from '../../state/consensus/snapshot-chunks.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../messaging/peers.js';

/**
 * Fetches an offered snapshot chunk by chunk. If the sender stops responding, the chunks received so far are
 * kept, and the fetch resumes with any sender that offers the same snapshot (the same digest). Any other offer
 * starts a new fetch. A state is returned only if the digest of the complete text matches the offer.
 */
export interface SnapshotReceiver {
  receive(from: Address, offer: SnapshotOffer): Promise<SnapshotReceipt>;
  isReceiving(): boolean;
}

/** How receiving a snapshot ended. */
export type SnapshotReceipt =
  | { readonly tag: 'whole'; readonly state: ControlState }
  /** The sender stopped responding; the chunks received so far are kept. */
  | { readonly tag: 'interrupted' }
  /** The sender no longer has the snapshot, or its data does not match the offer; nothing is kept. */
  | { readonly tag: 'refused' }
  /** Another fetch was in progress and has ended, or another sender has taken over. */
  | { readonly tag: 'joined' };

const CHUNK_TIMEOUT_MS = 2_000;
/** After this long without a chunk another sender takes over. At 7 Mbit/s a chunk takes some 60 ms and a round trip. */
const STALL_TIMEOUT_MS = 600;

const INTERRUPTED: SnapshotReceipt = { tag: 'interrupted' };
const REFUSED: SnapshotReceipt = { tag: 'refused' };
const JOINED: SnapshotReceipt = { tag: 'joined' };

class ResumingSnapshotReceiver implements SnapshotReceiver {
  private assembly: Assembly | null = null;
  private currentFetch: Promise<SnapshotReceipt> | null = null;

  /** Number of fetches started so far. A fetch that is no longer the newest adds nothing to the assembly. */
  private newestFetchId = 0;
  private lastChunkAt = 0;

  constructor(
    private readonly peers: Pick<Peers, 'call'>,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  isReceiving(): boolean {
    return this.currentFetch !== null;
  }

  async receive(from: Address, offer: SnapshotOffer): Promise<SnapshotReceipt> {
    if (this.currentFetch && this.clock.mono() - this.lastChunkAt < STALL_TIMEOUT_MS) {
      await this.currentFetch;
      return JOINED;
    }
    this.newestFetchId += 1;
    this.lastChunkAt = this.clock.mono();
    const fetchId = this.newestFetchId;
    this.currentFetch = this.fetchFrom(from, offer, fetchId);
    const receipt = await this.currentFetch;
    if (fetchId !== this.newestFetchId) return JOINED;
    this.currentFetch = null;
    if (receipt.tag !== 'interrupted') this.assembly = null;
    return receipt;
  }

  private async fetchFrom(from: Address, offer: SnapshotOffer, fetchId: number): Promise<SnapshotReceipt> {
    if (!isWithinSizeLimit(offer)) {
      this.log.error('snapshot too large, not fetched', { from, length: offer.length });
      return REFUSED;
    }
    const assembly = this.assembly?.offer.digest === offer.digest ? this.assembly : createAssembly(offer);
    this.assembly = assembly;
    for (let next = nextChunk(assembly); next !== null; next = nextChunk(assembly)) {
      const reply = await this.peers.call(
        from,
        { kind: 'snapshotAsk', digest: offer.digest, part: next },
        CHUNK_TIMEOUT_MS,
      );
      if (!reply.ok || fetchId !== this.newestFetchId) return INTERRUPTED;
      const answer = reply.value;
      if (
        answer.kind !== 'snapshotPart' ||
        answer.digest !== offer.digest ||
        !addChunk(assembly, answer.part, answer.text)
      )
        return REFUSED;
      this.lastChunkAt = this.clock.mono();
    }
    return this.stateFrom(from, assembly);
  }

  private stateFrom(from: Address, assembly: Assembly): SnapshotReceipt {
    const text = assembleText(assembly);
    const state = text.ok ? parseJson(text.value) : null;
    if (text.ok && isControlState(state) && state.slot === assembly.offer.slot) return { tag: 'whole', state };
    this.log.warn('snapshot digest mismatch', { from, slot: assembly.offer.slot });
    return REFUSED;
  }
}

/** Creates a receiver without any chunks. */
export function createSnapshotReceiver(peers: Pick<Peers, 'call'>, clock: Clock, log: Log): SnapshotReceiver {
  return new ResumingSnapshotReceiver(peers, clock, log);
}
