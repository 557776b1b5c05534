import { createEvents } from '../../base/events.js';
import type { WorkerEntry } from '../../state/worker-entry.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Rng } from '../../transport/rng.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../members/peers.js';
import type { ListFeed, ListFeedEvents, ListReader } from './list-feed.js';
import { createListNews, LIST_PACE, STOOD_STILL_MS } from './list-news.js';
import type { ListPace } from './list-news.js';
import { readWithin } from './read-within.js';

export type ListFeedDeps = {
  readonly reader: ListReader;
  readonly heads: () => Iterable<Address>;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: Log;
  readonly pace?: ListPace;
};

type OwnReading = { readonly entries: readonly WorkerEntry[]; readonly at: number };

const ASK_PAUSE_MS = 100;
const OWN_PAUSE_MS = 1_000;
const OWN_PAUSE_MOST_MS = 8_000;
const OWN_SPREAD_MS = 4_000;
const OWN_JITTER_MS = 350;

export function createListFeed(deps: ListFeedDeps): ListFeed {
  const { reader, peers, clock, rng, log } = deps;
  const pace = deps.pace ?? LIST_PACE;
  const news = createListNews(peers, clock, pace);
  const { book } = news;
  const events = createEvents<ListFeedEvents>();
  let own: OwnReading | null = null;
  let source: Address | null = null;
  let turns = 0;
  let renewedAt = 0;
  let ownDue = clock.mono() + pace.ownMs * (1 + rng.next());
  let ownPauseMs = OWN_PAUSE_MS;
  let readsItself = false;
  let spread = false;
  let asking = false;
  let stopped = false;
  let next: Timer | null = null;

  function pushedNewest(): boolean {
    const at = book.asOf();
    return own === null || (at !== null && at >= own.at);
  }
  function entries(): readonly WorkerEntry[] {
    return own !== null && !pushedNewest() ? own.entries : book.entries();
  }
  function asOf(): number | null {
    return own !== null && !pushedNewest() ? own.at : book.asOf();
  }
  function tellChanged(): void {
    events.emit('changed', { entries: entries() });
  }

  function arm(): void {
    next?.cancel();
    if (stopped) return;
    const now = clock.mono();
    const askDue = news.fresh()
      ? Math.min(now + pace.freshMs - news.heardMs(), renewedAt + pace.renewMs)
      : now + ASK_PAUSE_MS;
    next = clock.timer(Math.max(1, Math.min(askDue, ownDue) - now), tick);
  }
  function tick(): void {
    void turn();
  }

  function onTaken(e: { readonly contents: boolean }): void {
    const replaced = own !== null && pushedNewest();
    if (replaced) own = null;
    if ((e.contents && own === null) || replaced) tellChanged();
    if (news.fresh()) onFresh();
    else if (news.toldSilent() && !spread) {
      spread = true;
      ownDue = Math.max(ownDue, clock.mono() + OWN_SPREAD_MS * (0.5 + rng.next()));
    }
    if (!asking) arm();
  }
  function onFresh(): void {
    ownDue = clock.mono() - news.heardMs() + pace.ownMs + OWN_JITTER_MS * rng.next();
    ownPauseMs = OWN_PAUSE_MS;
    spread = false;
    if (readsItself) log.info('Hears the list from a controller again.');
    readsItself = false;
  }
  function onMissed(): void {
    void askRound();
  }
  function onWoke(e: { readonly afterMs: number }): void {
    log.warn(`Stood still for ${Math.round(e.afterMs)} ms; the list is asked for anew.`);
    ownDue = Math.min(ownDue, clock.mono() + pace.askMs + OWN_JITTER_MS * rng.next());
    if (!asking) arm();
  }
  news.events.on('taken', onTaken);
  news.events.on('missed', onMissed);
  news.events.on('woke', onWoke);

  async function askRound(): Promise<void> {
    if (asking) return;
    asking = true;
    const heads = [...deps.heads()];
    const picked = new Set<Address>();
    if (source !== null && heads.includes(source)) picked.add(source);
    if (news.fresh()) {
      if (heads[0] !== undefined) picked.add(heads[0]);
    } else if (heads.length > 0) picked.add(heads[turns % heads.length] as Address);
    turns += 1;
    renewedAt = clock.mono();
    const answered: Address[] = [];
    async function one(to: Address): Promise<void> {
      if ((await news.ask(to)) === 'fresh') answered.push(to);
    }
    const asks: Promise<void>[] = [];
    for (const to of picked) asks.push(one(to));
    await Promise.all(asks);
    asking = false;
    source = nearest(heads, answered);
    arm();
  }

  function nearest(heads: readonly Address[], answered: readonly Address[]): Address | null {
    for (const h of heads) if (answered.includes(h)) return h;
    return source;
  }

  async function readItself(): Promise<void> {
    const from = clock.mono();
    ownDue = from + pace.readMs + OWN_PAUSE_MS;
    if (!readsItself) log.warn('Hears no list from any controller; reads it from the platform.');
    readsItself = true;
    const got = await readWithin(reader, clock, pace.readMs);
    news.noteTurn();
    if (stopped) return;
    const good = got?.ok === true && clock.mono() - from <= STOOD_STILL_MS;
    ownPauseMs = good ? OWN_PAUSE_MS : Math.min(OWN_PAUSE_MOST_MS, ownPauseMs * 2);
    if (!news.fresh()) ownDue = from + ownPauseMs * (1 + 0.3 * rng.next());
    if (good && got.ok) onOwnReading(got.value, from);
    arm();
  }

  function onOwnReading(read: readonly WorkerEntry[], from: number): void {
    const shownAt = asOf();
    if (shownAt !== null && shownAt >= from) return;
    own = { entries: read, at: from };
    tellChanged();
  }

  async function turn(): Promise<void> {
    news.noteTurn();
    if (clock.mono() >= ownDue && !news.fresh()) void readItself();
    else if (clock.mono() >= ownDue) ownDue = clock.mono() + pace.ownMs;
    await askRound();
  }
  tick();

  function stop(): void {
    stopped = true;
    next?.cancel();
    news.stop();
  }
  return { entries, asOf, events, stop };
}
