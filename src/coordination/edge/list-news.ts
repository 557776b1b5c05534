import { createEvents } from '../../base/events.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import { compareNumbers, createListBook } from '../../state/list-book.js';
import type { ListBook, ListNumber, Taken } from '../../state/list-book.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Address } from '../../transport/wire.js';
import type { Peer, Peers } from '../members/peers.js';

export type ListMessage = MessageOf<'listWhole'> | MessageOf<'listChange'> | MessageOf<'listBeat'>;

export type ListNewsEvents = {
  readonly taken: { readonly message: ListMessage; readonly contents: boolean };
  readonly missed: { readonly number: ListNumber };
  readonly outrun: { readonly number: ListNumber; readonly peer: Peer };
  readonly woke: { readonly afterMs: number };
};

export type Asked = 'fresh' | 'stale' | 'silent';

export type ListPace = {
  readonly everyMs: number;
  readonly freshMs: number;
  readonly staggerMs: number;
  readonly askMs: number;
  readonly readMs: number;
  readonly ownMs: number;
  readonly renewMs: number;
};

export const LIST_PACE: ListPace = {
  everyMs: 1_000,
  freshMs: 1_250,
  staggerMs: 150,
  askMs: 200,
  readMs: 1_000,
  ownMs: 1_650,
  renewMs: 4_000,
};

export interface ListNews {
  readonly book: ListBook;
  readonly events: {
    readonly on: <K extends keyof ListNewsEvents>(name: K, fn: (e: ListNewsEvents[K]) => void) => void;
  };
  ageMs(): number;
  sinceContactMs(): number;
  recordContact(): void;
  isFresh(): boolean;
  reportedUnresponsive(): boolean;
  ask(to: Address): Promise<Asked>;
  detectStandstill(): void;
  stop(): void;
}

export const STOOD_STILL_MS = 1_500;
const TURN_MS = 500;
const DISTRUST_MS = 2_500;
const SILENCE_KEPT_MS = 3_000;
const NEVER = Number.POSITIVE_INFINITY;

class PeerListNews implements ListNews {
  readonly events = createEvents<ListNewsEvents>();
  readonly book = createListBook();
  private trusting = false;
  private lastContactAt: number | null = null;
  private unresponsiveAt: number | null = null;
  private lastTickAt: number;
  private readonly turning: Timer;

  constructor(
    private readonly peers: Peers,
    private readonly clock: Clock,
    private readonly pace: ListPace,
  ) {
    this.lastTickAt = this.clock.mono();
    this.turning = every(this.clock, TURN_MS, () => this.detectStandstill());

    this.peers.on('listWhole', (m, peer) => this.onNews(m, peer));

    this.peers.on('listChange', (m, peer) => this.onNews(m, peer));

    this.peers.on('listBeat', (m, peer) => this.onNews(m, peer));
  }

  private since(at: number | null): number {
    return at === null ? NEVER : this.clock.mono() - at;
  }

  ageMs(): number {
    return this.since(this.book.asOf());
  }

  sinceContactMs(): number {
    return this.since(this.lastContactAt);
  }

  isFresh(): boolean {
    return this.sinceContactMs() <= this.pace.freshMs;
  }

  reportedUnresponsive(): boolean {
    return this.since(this.unresponsiveAt) < SILENCE_KEPT_MS;
  }

  recordContact(): void {
    this.lastContactAt = this.clock.mono();
  }

  detectStandstill(): void {
    const gap = this.since(this.lastTickAt);
    this.lastTickAt = this.clock.mono();
    if (gap <= STOOD_STILL_MS) return;
    this.trusting = false;
    this.lastContactAt = null;
    this.events.emit('woke', { afterMs: gap });
  }

  private apply(m: ListMessage, now: number): Taken {
    if (m.kind === 'listWhole') return this.book.takeWhole(m.number, m.entries, now - m.ageMs);
    if (m.kind === 'listChange') return this.book.takeChange(m.number, m.base, m, now - m.ageMs);
    if (m.number === null) return 'old';
    return this.book.confirm(m.number, m.ageMs === null ? Number.NEGATIVE_INFINITY : now - m.ageMs);
  }

  private take(m: ListMessage, now: number): Taken {
    const before = this.book.number();
    const readBefore = this.book.asOf() ?? Number.NEGATIVE_INFINITY;
    const end = this.apply(m, now);
    if (end === 'gap') return end;
    const silent = m.kind === 'listBeat' && m.silent === true;
    const unresponsiveUpdate = silent && this.since(this.unresponsiveAt) > this.pace.everyMs / 2;
    if (silent) this.unresponsiveAt = this.clock.mono();
    if (end === 'old') return end;
    const after = this.book.number();
    const contents = before === null || (after !== null && compareNumbers(before, after) !== 0);
    const advanced = (this.book.asOf() ?? 0) - readBefore > this.pace.everyMs / 2;
    if (m.ageMs !== null && m.kind !== 'listChange' && m.sinceMs !== undefined)
      this.lastContactAt = Math.max(this.lastContactAt ?? Number.NEGATIVE_INFINITY, now - m.sinceMs);
    else if (contents || advanced) this.lastContactAt = this.clock.mono();
    if (contents || advanced || unresponsiveUpdate) this.events.emit('taken', { message: m, contents });
    return end;
  }

  private onNews(m: ListMessage, peer: Peer): null {
    this.detectStandstill();
    if (m.number === null) return null;
    if (this.sinceContactMs() > DISTRUST_MS) this.trusting = false;
    const held = this.book.number();
    if (held && compareNumbers(m.number, held) < 0) {
      if (m.number[1] !== held[1]) this.events.emit('outrun', { number: m.number, peer });
      return null;
    }
    if (!this.trusting || this.take(m, this.clock.mono()) === 'gap') this.events.emit('missed', { number: m.number });
    return null;
  }

  async ask(to: Address): Promise<Asked> {
    const from = this.clock.mono();
    const got = await this.peers.call(to, { kind: 'listFollow', number: this.book.number() }, this.pace.askMs);
    this.detectStandstill();
    if (!got.ok || !isNews(got.value) || this.clock.mono() - from > STOOD_STILL_MS) return 'silent';
    if (this.take(got.value, from) === 'taken') this.trusting = true;
    return this.isFresh() ? 'fresh' : 'stale';
  }

  stop(): void {
    this.turning.cancel();
  }
}

export function createListNews(peers: Peers, clock: Clock, pace: ListPace): ListNews {
  return new PeerListNews(peers, clock, pace);
}

function isNews(m: Message): m is ListMessage {
  return m.kind === 'listWhole' || m.kind === 'listChange' || m.kind === 'listBeat';
}
