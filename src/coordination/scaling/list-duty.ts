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
import type { ListMessage, ListPace, ListNews } from '../edge/list-news.js';
import { readWithin } from '../edge/read-within.js';
import type { Peer, Peers } from '../members/peers.js';

export type ListDutyDeps = {
  readonly self: Address;
  readonly reader: ListReader;
  readonly controllers: () => Iterable<Address>;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: Log;
  readonly pace?: ListPace;
};

export interface ListDuty {
  readonly feed: ListFeed;
  reading(): boolean;
  stop(): void;
}

const FOLLOWER_KEPT_MS = 12_000;
const RETRY_MS = 2_000;
const MARK_LENGTH = 6;
const SLOW_SHARE = 0.4;

class ElectedListReader implements ListDuty {
  private readonly pace: ListPace;
  private readonly mark: string;
  private readonly news: ListNews;
  private readonly events = createEvents<ListFeedEvents>();
  private readonly followers = new Map<Peer, number>();
  private highest = 0;
  private newerSeenAt: number | null = null;
  private currentReading = false;
  private stopped = false;
  private busy = false;
  private asking = false;
  private next: Timer | null = null;
  readonly feed: ListFeed;

  constructor(private readonly deps: ListDutyDeps) {
    this.pace = this.deps.pace ?? LIST_PACE;
    this.mark = `${this.deps.self}/${newId(this.deps.rng, '').slice(1, 1 + MARK_LENGTH)}`;
    this.news = createListNews(this.deps.peers, this.deps.clock, this.pace);

    this.news.events.on('taken', (e) => this.onTaken(e));

    this.news.events.on('missed', (e) => this.onMissed(e));

    this.news.events.on('outrun', (e) => this.onOutrun(e));

    this.news.events.on('woke', (e) => this.onWoke(e));

    this.deps.peers.on('listFollow', (m, peer) => this.onFollow(m, peer));

    this.arm(this.rankMs());
    this.feed = {
      entries: () => this.news.book.entries(),
      asOf: () => this.news.book.asOf(),
      events: this.events,
      stop: () => this.stop(),
    };
  }

  private arm(ms: number): void {
    this.next?.cancel();
    if (!this.stopped) this.next = this.deps.clock.timer(Math.max(0, ms), () => this.tick());
  }

  private tick(): void {
    void this.turn();
  }

  private others(): Address[] {
    const out = new Set<Address>(this.deps.controllers());
    out.delete(this.deps.self);
    return [...out];
  }

  private rankMs(): number {
    const reads = this.news.book.number()?.[1] ?? '';
    let n = 0;
    for (const a of this.others()) if (a < this.deps.self && !reads.startsWith(`${a}/`)) n += 1;
    return n * this.pace.staggerMs;
  }

  private armTakeover(): void {
    this.arm(Math.max(0, this.pace.freshMs - this.news.sinceContactMs()) + 1 + this.rankMs());
  }

  private sendToController(m: ListMessage): void {
    for (const to of this.others()) void this.deps.peers.send(to, m);
    this.sendToFollowers(m);
  }

  private sendToFollowers(m: ListMessage): void {
    for (const [peer, at] of this.followers) {
      if (this.deps.clock.mono() - at > FOLLOWER_KEPT_MS) this.followers.delete(peer);
      else peer.send(m);
    }
  }

  private onTaken(e: { readonly message: ListMessage; readonly contents: boolean }): void {
    const m = e.message;
    if (m.number === null) return;
    this.highest = Math.max(this.highest, m.number[0]);
    if (this.currentReading && m.number[1] !== this.mark) {
      this.currentReading = false;
      this.deps.log.info(`${m.number[1]} reads the list now.`);
    }
    this.sendToFollowers(m.kind === 'listBeat' && m.ageMs === null ? m : { ...m, ageMs: this.news.ageMs() });
    if (e.contents) this.events.emit('changed', { entries: this.news.book.entries() });
    if (!this.currentReading && !this.busy && m.ageMs !== null) this.armTakeover();
  }

  private onMissed(e: { readonly number: ListNumber }): void {
    this.highest = Math.max(this.highest, e.number[0]);
    this.newerSeenAt = this.deps.clock.mono();
    void this.askAround();
  }

  private onOutrun(e: { readonly peer: Peer }): void {
    e.peer.send({ kind: 'listBeat', number: this.news.book.number(), ageMs: null });
  }

  private onWoke(e: { readonly afterMs: number }): void {
    this.deps.log.warn(`Stood still for ${Math.round(e.afterMs)} ms; another may read the list by now.`);
    this.currentReading = false;
    if (!this.busy) this.arm(0);
  }

  private answerTo(number: ListNumber | null): Message {
    const held = this.news.book.number();
    const silent = this.news.reportedUnresponsive();
    if (held === null) return { kind: 'listBeat', number: null, ageMs: null, silent };
    const ageMs = this.news.ageMs();
    const sinceMs = Math.min(this.news.sinceContactMs(), Number.MAX_SAFE_INTEGER);
    if (number !== null && compareNumbers(number, held) >= 0)
      return { kind: 'listBeat', number: held, ageMs, sinceMs, silent };
    return { kind: 'listWhole', number: held, ageMs, sinceMs, entries: [...this.news.book.entries()] };
  }

  private onFollow(m: MessageOf<'listFollow'>, peer: Peer): Message {
    this.news.detectStandstill();
    const known = this.followers.has(peer);
    this.followers.set(peer, this.deps.clock.mono());

    const gone = (): void => {
      this.followers.delete(peer);
    };
    if (!known) peer.onClosed(gone);
    if (m.number !== null) this.highest = Math.max(this.highest, m.number[0]);
    const held = this.news.book.number();
    if (this.currentReading && m.number !== null && held && compareNumbers(m.number, held) > 0) this.renumber(held);
    return this.answerTo(m.number);
  }

  private async askAround(): Promise<void> {
    if (this.asking) return;
    this.asking = true;
    const asks: Promise<unknown>[] = [];
    for (const to of this.others()) asks.push(this.news.ask(to));
    await Promise.all(asks);
    this.asking = false;
  }

  private renumber(base: ListNumber): void {
    this.publish({
      kind: 'listChange',
      number: [this.highest + 1, this.mark, 0],
      base,
      ageMs: this.news.ageMs(),
      told: [],
      gone: [],
    });
  }

  private publish(m: ListMessage): void {
    const asOf = this.deps.clock.mono() - (m.ageMs ?? 0);
    if (m.kind === 'listWhole') this.news.book.takeWhole(m.number, m.entries, asOf);
    else if (m.kind === 'listChange') this.news.book.takeChange(m.number, m.base, m, asOf);
    else if (m.number !== null && m.ageMs !== null) this.news.book.confirm(m.number, asOf);
    if (m.number !== null) this.highest = Math.max(this.highest, m.number[0]);
    if (m.ageMs !== null) this.news.recordContact();
    this.sendToController(m);
  }

  private onRead(entries: readonly WorkerEntry[], from: number): void {
    const base = this.news.book.number();
    const ageMs = this.deps.clock.mono() - from;
    const change = this.news.book.differenceTo(entries, from);
    const goesOn = this.currentReading && base !== null && base[1] === this.mark;
    const number: ListNumber = goesOn ? [base[0], this.mark, base[2] + 1] : [this.highest + 1, this.mark, 0];
    if (!this.currentReading) this.deps.log.info(`Reads the list for all, as ${this.mark} in term ${number[0]}.`);
    this.currentReading = true;
    if (base === null) this.publish({ kind: 'listWhole', number, ageMs, entries: [...entries] });
    else if (goesOn && isEmptyChange(change)) this.publish({ kind: 'listBeat', number: base, ageMs });
    else this.publish({ kind: 'listChange', number, base, ageMs, told: [...change.told], gone: [...change.gone] });
    if (base === null || !isEmptyChange(change)) this.events.emit('changed', { entries: this.news.book.entries() });
  }

  private announceUnresponsive(): void {
    if (this.currentReading)
      this.sendToController({ kind: 'listBeat', number: this.news.book.number(), ageMs: null, silent: true });
  }

  private async readOnce(): Promise<void> {
    const from = this.deps.clock.mono();
    const was = this.currentReading;
    const waiting = this.deps.clock.timer(this.pace.readMs * SLOW_SHARE, () => this.announceUnresponsive());
    const got = await readWithin(this.deps.reader, this.deps.clock, this.pace.readMs);
    waiting.cancel();
    this.news.detectStandstill();
    if (this.stopped) return;
    if (this.deps.clock.mono() - from > STOOD_STILL_MS || this.currentReading !== was || (!was && this.news.isFresh()))
      return this.armTakeover();
    if (got?.ok) this.onRead(got.value, from);
    else {
      if (got?.fault.tag === 'listNonsense')
        this.deps.log.warn(`The platform's list made no sense: ${got.fault.detail}.`);
      this.announceUnresponsive();
    }
    this.arm(
      this.currentReading ? from + this.pace.everyMs - this.deps.clock.mono() : RETRY_MS * (1 + this.deps.rng.next()),
    );
  }

  private async turn(): Promise<void> {
    if (this.stopped || this.busy) return;
    this.busy = true;
    this.news.detectStandstill();
    if (!this.currentReading) await this.askAround();
    if (this.stopped) return;
    if (!this.currentReading && this.news.isFresh()) this.armTakeover();
    else if (
      !this.currentReading &&
      this.newerSeenAt !== null &&
      this.deps.clock.mono() - this.newerSeenAt < this.pace.freshMs
    )
      this.arm(this.pace.askMs);
    else await this.readOnce();
    this.busy = false;
  }

  stop(): void {
    this.stopped = true;
    this.next?.cancel();
    this.news.stop();
  }

  reading(): boolean {
    return this.currentReading;
  }
}

export function createListDuty(deps: ListDutyDeps): ListDuty {
  return new ElectedListReader(deps);
}
