import { createEvents } from '../../base/events.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import { compareNumbers, isEmptyChange } from '../../state/list-book.js';
import type { ListNumber } from '../../state/list-book.js';
import type { WorkerEntry } from '../../state/worker-entry.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Address } from '../../transport/wire.js';
import type { ListFeed, ListFeedEvents, ListReader } from '../edge/list-feed.js';
import { createListNews, LIST_PACE, STOOD_STILL_MS } from '../edge/list-news.js';
import type { ListMessage, ListPace } from '../edge/list-news.js';
import { readWithin } from '../edge/read-within.js';
import type { Peer, Peers } from '../members/peers.js';

export type ListDutyDeps = {
  readonly self: Address;
  readonly reader: ListReader;
  readonly heads: () => Iterable<Address>;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: Log;
  readonly pace?: ListPace;
};

export type ListDuty = { readonly feed: ListFeed; readonly reading: () => boolean; readonly stop: () => void };

const FOLLOWER_KEPT_MS = 12_000;
const RETRY_MS = 2_000;
const MARK_LENGTH = 6;
const SLOW_SHARE = 0.4;

export function createListDuty(deps: ListDutyDeps): ListDuty {
  const { self, reader, peers, clock, rng, log } = deps;
  const pace = deps.pace ?? LIST_PACE;
  const mark = `${self}/${newId(rng, '').slice(1, 1 + MARK_LENGTH)}`;
  const news = createListNews(peers, clock, pace);
  const { book } = news;
  const events = createEvents<ListFeedEvents>();
  const followers = new Map<Peer, number>();
  let highest = 0;
  let heardOfAt: number | null = null;
  let reading = false;
  let stopped = false;
  let busy = false;
  let asking = false;
  let next: Timer | null = null;

  function arm(ms: number): void {
    next?.cancel();
    if (!stopped) next = clock.timer(Math.max(0, ms), tick);
  }
  function tick(): void {
    void turn();
  }
  function others(): Address[] {
    const out = new Set<Address>(deps.heads());
    out.delete(self);
    return [...out];
  }
  function rankMs(): number {
    const reads = book.number()?.[1] ?? '';
    let n = 0;
    for (const a of others()) if (a < self && !reads.startsWith(`${a}/`)) n += 1;
    return n * pace.staggerMs;
  }
  function armTakeover(): void {
    arm(Math.max(0, pace.freshMs - news.heardMs()) + 1 + rankMs());
  }

  function tellAll(m: ListMessage): void {
    for (const to of others()) void peers.tell(to, m);
    tellFollowers(m);
  }
  function tellFollowers(m: ListMessage): void {
    for (const [peer, at] of followers) {
      if (clock.mono() - at > FOLLOWER_KEPT_MS) followers.delete(peer);
      else peer.tell(m);
    }
  }

  function onTaken(e: { readonly message: ListMessage; readonly contents: boolean }): void {
    const m = e.message;
    if (m.number === null) return;
    highest = Math.max(highest, m.number[0]);
    if (reading && m.number[1] !== mark) {
      reading = false;
      log.info(`${m.number[1]} reads the list now.`);
    }
    tellFollowers(m.kind === 'listBeat' && m.ageMs === null ? m : { ...m, ageMs: news.ageMs() });
    if (e.contents) events.emit('changed', { entries: book.entries() });
    if (!reading && !busy && m.ageMs !== null) armTakeover();
  }
  function onMissed(e: { readonly number: ListNumber }): void {
    highest = Math.max(highest, e.number[0]);
    heardOfAt = clock.mono();
    void askAround();
  }
  function onOutrun(e: { readonly peer: Peer }): void {
    e.peer.tell({ kind: 'listBeat', number: book.number(), ageMs: null });
  }
  function onWoke(e: { readonly afterMs: number }): void {
    log.warn(`Stood still for ${Math.round(e.afterMs)} ms; another may read the list by now.`);
    reading = false;
    if (!busy) arm(0);
  }
  news.events.on('taken', onTaken);
  news.events.on('missed', onMissed);
  news.events.on('outrun', onOutrun);
  news.events.on('woke', onWoke);

  function answerTo(number: ListNumber | null): Message {
    const held = book.number();
    const silent = news.toldSilent();
    if (held === null) return { kind: 'listBeat', number: null, ageMs: null, silent };
    const ageMs = news.ageMs();
    const sinceMs = Math.min(news.heardMs(), Number.MAX_SAFE_INTEGER);
    if (number !== null && compareNumbers(number, held) >= 0)
      return { kind: 'listBeat', number: held, ageMs, sinceMs, silent };
    return { kind: 'listWhole', number: held, ageMs, sinceMs, entries: [...book.entries()] };
  }

  function onFollow(m: MessageOf<'listFollow'>, peer: Peer): Message {
    news.noteTurn();
    const known = followers.has(peer);
    followers.set(peer, clock.mono());
    if (!known) peer.onClosed(gone);
    if (m.number !== null) highest = Math.max(highest, m.number[0]);
    const held = book.number();
    if (reading && m.number !== null && held && compareNumbers(m.number, held) > 0) renumber(held);
    return answerTo(m.number);
    function gone(): void {
      followers.delete(peer);
    }
  }
  peers.on('listFollow', onFollow);

  async function askAround(): Promise<void> {
    if (asking) return;
    asking = true;
    const asks: Promise<unknown>[] = [];
    for (const to of others()) asks.push(news.ask(to));
    await Promise.all(asks);
    asking = false;
  }

  function renumber(base: ListNumber): void {
    publish({ kind: 'listChange', number: [highest + 1, mark, 0], base, ageMs: news.ageMs(), told: [], gone: [] });
  }

  function publish(m: ListMessage): void {
    const asOf = clock.mono() - (m.ageMs ?? 0);
    if (m.kind === 'listWhole') book.takeWhole(m.number, m.entries, asOf);
    else if (m.kind === 'listChange') book.takeChange(m.number, m.base, m, asOf);
    else if (m.number !== null && m.ageMs !== null) book.confirm(m.number, asOf);
    if (m.number !== null) highest = Math.max(highest, m.number[0]);
    if (m.ageMs !== null) news.noteHeard();
    tellAll(m);
  }

  function onRead(entries: readonly WorkerEntry[], from: number): void {
    const base = book.number();
    const ageMs = clock.mono() - from;
    const change = book.differenceTo(entries, from);
    const goesOn = reading && base !== null && base[1] === mark;
    const number: ListNumber = goesOn ? [base[0], mark, base[2] + 1] : [highest + 1, mark, 0];
    if (!reading) log.info(`Reads the list for all, as ${mark} in term ${number[0]}.`);
    reading = true;
    if (base === null) publish({ kind: 'listWhole', number, ageMs, entries: [...entries] });
    else if (goesOn && isEmptyChange(change)) publish({ kind: 'listBeat', number: base, ageMs });
    else publish({ kind: 'listChange', number, base, ageMs, told: [...change.told], gone: [...change.gone] });
    if (base === null || !isEmptyChange(change)) events.emit('changed', { entries: book.entries() });
  }

  function tellSilent(): void {
    if (reading) tellAll({ kind: 'listBeat', number: book.number(), ageMs: null, silent: true });
  }

  async function readOnce(): Promise<void> {
    const from = clock.mono();
    const was = reading;
    const waiting = clock.timer(pace.readMs * SLOW_SHARE, tellSilent);
    const got = await readWithin(reader, clock, pace.readMs);
    waiting.cancel();
    news.noteTurn();
    if (stopped) return;
    if (clock.mono() - from > STOOD_STILL_MS || reading !== was || (!was && news.fresh())) return armTakeover();
    if (got?.ok) onRead(got.value, from);
    else {
      if (got?.fault.tag === 'listNonsense') log.warn(`The platform's list made no sense: ${got.fault.detail}.`);
      tellSilent();
    }
    arm(reading ? from + pace.everyMs - clock.mono() : RETRY_MS * (1 + rng.next()));
  }

  async function turn(): Promise<void> {
    if (stopped || busy) return;
    busy = true;
    news.noteTurn();
    if (!reading) await askAround();
    if (stopped) return;
    if (!reading && news.fresh()) armTakeover();
    else if (!reading && heardOfAt !== null && clock.mono() - heardOfAt < pace.freshMs) arm(pace.askMs);
    else await readOnce();
    busy = false;
  }
  arm(rankMs());

  function stop(): void {
    stopped = true;
    next?.cancel();
    news.stop();
  }
  function isReading(): boolean {
    return reading;
  }
  const feed: ListFeed = { entries: book.entries, asOf: book.asOf, events, stop };
  return { feed, reading: isReading, stop };
}
