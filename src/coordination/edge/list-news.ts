import { createEvents } from '../../base/events.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import { compareNumbers, createListBook } from '../../state/list-book.js';
import type { ListBook, ListNumber, Taken } from '../../state/list-book.js';
import { every } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
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

export type ListNews = {
  readonly book: ListBook;
  readonly events: {
    readonly on: <K extends keyof ListNewsEvents>(name: K, fn: (e: ListNewsEvents[K]) => void) => void;
  };
  readonly ageMs: () => number;
  readonly heardMs: () => number;
  readonly noteHeard: () => void;
  readonly fresh: () => boolean;
  readonly toldSilent: () => boolean;
  readonly ask: (to: Address) => Promise<Asked>;
  readonly noteTurn: () => void;
  readonly stop: () => void;
};

export const STOOD_STILL_MS = 1_500;
const TURN_MS = 500;
const DISTRUST_MS = 2_500;
const SILENCE_KEPT_MS = 3_000;
const NEVER = Number.POSITIVE_INFINITY;

export function createListNews(peers: Peers, clock: Clock, pace: ListPace): ListNews {
  const events = createEvents<ListNewsEvents>();
  const book = createListBook();
  let trusting = false;
  let heardAt: number | null = null;
  let silentAt: number | null = null;
  let lastTurn = clock.mono();

  function since(at: number | null): number {
    return at === null ? NEVER : clock.mono() - at;
  }
  function ageMs(): number {
    return since(book.asOf());
  }
  function heardMs(): number {
    return since(heardAt);
  }
  function fresh(): boolean {
    return heardMs() <= pace.freshMs;
  }
  function toldSilent(): boolean {
    return since(silentAt) < SILENCE_KEPT_MS;
  }
  function noteHeard(): void {
    heardAt = clock.mono();
  }

  function noteTurn(): void {
    const gap = since(lastTurn);
    lastTurn = clock.mono();
    if (gap <= STOOD_STILL_MS) return;
    trusting = false;
    heardAt = null;
    events.emit('woke', { afterMs: gap });
  }
  const turning = every(clock, TURN_MS, noteTurn);

  function apply(m: ListMessage, now: number): Taken {
    if (m.kind === 'listWhole') return book.takeWhole(m.number, m.entries, now - m.ageMs);
    if (m.kind === 'listChange') return book.takeChange(m.number, m.base, m, now - m.ageMs);
    if (m.number === null) return 'old';
    return book.confirm(m.number, m.ageMs === null ? Number.NEGATIVE_INFINITY : now - m.ageMs);
  }

  function take(m: ListMessage, now: number): Taken {
    const before = book.number();
    const readBefore = book.asOf() ?? Number.NEGATIVE_INFINITY;
    const end = apply(m, now);
    if (end === 'gap') return end;
    const silent = m.kind === 'listBeat' && m.silent === true;
    const silentNews = silent && since(silentAt) > pace.everyMs / 2;
    if (silent) silentAt = clock.mono();
    if (end === 'old') return end;
    const after = book.number();
    const contents = before === null || (after !== null && compareNumbers(before, after) !== 0);
    const advanced = (book.asOf() ?? 0) - readBefore > pace.everyMs / 2;
    if (m.ageMs !== null && m.kind !== 'listChange' && m.sinceMs !== undefined)
      heardAt = Math.max(heardAt ?? Number.NEGATIVE_INFINITY, now - m.sinceMs);
    else if (contents || advanced) heardAt = clock.mono();
    if (contents || advanced || silentNews) events.emit('taken', { message: m, contents });
    return end;
  }

  function onNews(m: ListMessage, peer: Peer): null {
    noteTurn();
    if (m.number === null) return null;
    if (heardMs() > DISTRUST_MS) trusting = false;
    const held = book.number();
    if (held && compareNumbers(m.number, held) < 0) {
      if (m.number[1] !== held[1]) events.emit('outrun', { number: m.number, peer });
      return null;
    }
    if (!trusting || take(m, clock.mono()) === 'gap') events.emit('missed', { number: m.number });
    return null;
  }
  peers.on('listWhole', onNews);
  peers.on('listChange', onNews);
  peers.on('listBeat', onNews);

  async function ask(to: Address): Promise<Asked> {
    const from = clock.mono();
    const got = await peers.call(to, { kind: 'listFollow', number: book.number() }, pace.askMs);
    noteTurn();
    if (!got.ok || !isNews(got.value) || clock.mono() - from > STOOD_STILL_MS) return 'silent';
    if (take(got.value, from) === 'taken') trusting = true;
    return fresh() ? 'fresh' : 'stale';
  }
  return { book, events, ageMs, heardMs, noteHeard, fresh, toldSilent, ask, noteTurn, stop: turning.cancel };
}

function isNews(m: Message): m is ListMessage {
  return m.kind === 'listWhole' || m.kind === 'listChange' || m.kind === 'listBeat';
}
