import { parsedJson } from '../../base/parsed-json.js';
import { isControlState } from '../../state/control-state.js';
import type { ControlState } from '../../state/control-state.js';
import { addPart, assembled, createAssembly, isBounded, nextPart } from '../../state/snapshot-parts.js';
import type { Assembly, SnapshotOffer } from '../../state/snapshot-parts.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../members/peers.js';

/**
 * Fetches an offered snapshot part by part. What came of it is kept when its giver falls silent, and the
 * fetch goes on where it stood with whoever offers the same snapshot (the same digest); any other offer
 * begins anew. A state is returned only if the digest of the whole is the one that was offered.
 */
export interface SnapshotTaker {
  take(from: Address, offer: SnapshotOffer): Promise<SnapshotTake>;
  isTaking(): boolean;
}

export type SnapshotTake =
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

const INTERRUPTED: SnapshotTake = { tag: 'interrupted' };
const REFUSED: SnapshotTake = { tag: 'refused' };
const JOINED: SnapshotTake = { tag: 'joined' };

class ResumingSnapshotTaker implements SnapshotTaker {
  private assembly: Assembly | null = null;
  private underWay: Promise<SnapshotTake> | null = null;

  /** Counts the fetches begun. One that is no longer the newest adds nothing to the assembly. */
  private newest = 0;
  private partAt = 0;

  constructor(
    private readonly peers: Pick<Peers, 'call'>,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  isTaking(): boolean {
    return this.underWay !== null;
  }

  async take(from: Address, offer: SnapshotOffer): Promise<SnapshotTake> {
    if (this.underWay && this.clock.mono() - this.partAt < STALLED_MS) {
      await this.underWay;
      return JOINED;
    }
    this.newest += 1;
    this.partAt = this.clock.mono();
    const own = this.newest;
    this.underWay = this.fetchFrom(from, offer, own);
    const ended = await this.underWay;
    if (own !== this.newest) return JOINED;
    this.underWay = null;
    if (ended.tag !== 'interrupted') this.assembly = null;
    return ended;
  }

  private async fetchFrom(from: Address, offer: SnapshotOffer, own: number): Promise<SnapshotTake> {
    if (!isBounded(offer)) {
      this.log.error(`${from} offers a snapshot of ${offer.length} characters, over the bound; it is not fetched.`);
      return REFUSED;
    }
    const held = this.assembly?.offer.digest === offer.digest ? this.assembly : createAssembly(offer);
    this.assembly = held;
    for (let next = nextPart(held); next !== null; next = nextPart(held)) {
      const reply = await this.peers.call(
        from,
        { kind: 'snapshotAsk', digest: offer.digest, part: next },
        PART_WAIT_MS,
      );
      if (!reply.ok || own !== this.newest) return INTERRUPTED;
      const answer = reply.value;
      if (answer.kind !== 'snapshotPart' || answer.digest !== offer.digest || !addPart(held, answer.part, answer.text))
        return REFUSED;
      this.partAt = this.clock.mono();
    }
    return this.stateIn(from, held);
  }

  private stateIn(from: Address, held: Assembly): SnapshotTake {
    const text = assembled(held);
    const state = text.ok ? parsedJson(text.value) : null;
    if (text.ok && isControlState(state) && state.slot === held.offer.slot) return { tag: 'whole', state };
    this.log.warn(`A snapshot from ${from} is not what was offered; it is not taken.`);
    return REFUSED;
  }
}

export function createSnapshotTaker(peers: Pick<Peers, 'call'>, clock: Clock, log: Log): SnapshotTaker {
  return new ResumingSnapshotTaker(peers, clock, log);
}
