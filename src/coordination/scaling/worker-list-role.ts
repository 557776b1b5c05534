/**
 * The singleton role of reading the platform's worker list: one controller reads, the others take over when its
 * updates stop. No lease is needed, as two readers cost calls and harm nothing.
 */
import { createEvents } from '../../base/events.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import { compareVersions, isEmptyChange } from '../../state/discovery/worker-list-table.js';
import type { WorkerListVersion } from '../../state/discovery/worker-list-table.js';
import type { WorkerEntry } from '../../state/discovery/worker-entry.js';
import { within } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import { STANDSTILL_MS } from '../../transport/standstill-detector.js';
import type { Address } from '../../transport/wire.js';
import type { WorkerListFeed, WorkerListFeedEvents, WorkerListReader } from '../discovery/worker-list-feed.js';
import { createWorkerListUpdates, WORKER_LIST_TIMING } from '../discovery/worker-list-updates.js';
import type { WorkerListMessage, WorkerListTiming, WorkerListUpdates } from '../discovery/worker-list-updates.js';
import type { Peer, Peers } from '../messaging/peers.js';

/** The reader, and the controllers that share the role. */
export type WorkerListRoleDeps = {
  readonly self: Address;
  readonly reader: WorkerListReader;
  readonly controllers: () => Iterable<Address>;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: Log;
  readonly pace?: WorkerListTiming;
};

/** The list as this controller has it, and whether it reads it now. */
export interface WorkerListRole {
  readonly feed: WorkerListFeed;
  reading(): boolean;
  stop(): void;
}

const FOLLOWER_KEPT_MS = 12_000;
const RETRY_MS = 2_000;
const MARK_LENGTH = 6;
const SLOW_SHARE = 0.4;

class ElectedListReader implements WorkerListRole {
  private readonly pace: WorkerListTiming;
  private readonly readerId: string;
  private readonly updates: WorkerListUpdates;
  private readonly events = createEvents<WorkerListFeedEvents>();
  private readonly followers = new Map<Peer, number>();
  private highest = 0;
  private newerSeenAt: number | null = null;
  private currentReading = false;
  private stopped = false;
  private busy = false;
  private asking = false;
  private next: Timer | null = null;
  readonly feed: WorkerListFeed;

  constructor(private readonly deps: WorkerListRoleDeps) {
    this.pace = this.deps.pace ?? WORKER_LIST_TIMING;
    this.readerId = `${this.deps.self}/${newId(this.deps.rng, '').slice(1, 1 + MARK_LENGTH)}`;
    this.updates = createWorkerListUpdates(this.deps.peers, this.deps.clock, this.pace);

    this.updates.events.on('taken', (event) => this.onApplied(event));

    this.updates.events.on('missed', (event) => this.onMissed(event));

    this.updates.events.on('outrun', (event) => this.onOutrun(event));

    this.updates.events.on('woke', (event) => this.onWoke(event));

    this.deps.peers.on('listFollow', (message, peer) => this.onFollow(message, peer));

    this.arm(this.rankMs());
    this.feed = {
      entries: () => this.updates.table.entries(),
      asOf: () => this.updates.table.asOf(),
      events: this.events,
      stop: () => this.stop(),
    };
  }

  private arm(ms: number): void {
    this.next?.cancel();
    if (!this.stopped) this.next = this.deps.clock.timer(Math.max(0, ms), () => this.tick());
  }

  private tick(): void {
    void this.runTurn();
  }

  private others(): Address[] {
    const out = new Set<Address>(this.deps.controllers());
    out.delete(this.deps.self);
    return [...out];
  }

  private rankMs(): number {
    const reads = this.updates.table.number()?.[1] ?? '';
    let count = 0;
    for (const address of this.others()) if (address < this.deps.self && !reads.startsWith(`${address}/`)) count += 1;
    return count * this.pace.takeoverStaggerMs;
  }

  private armTakeover(): void {
    this.arm(Math.max(0, this.pace.contactTimeoutMs - this.updates.sinceContactMs()) + 1 + this.rankMs());
  }

  private sendToAll(message: WorkerListMessage): void {
    for (const to of this.others()) void this.deps.peers.send(to, message);
    this.sendToFollowers(message);
  }

  private sendToFollowers(message: WorkerListMessage): void {
    for (const [peer, at] of this.followers) {
      if (this.deps.clock.mono() - at > FOLLOWER_KEPT_MS) this.followers.delete(peer);
      else peer.send(message);
    }
  }

  private onApplied(event: { readonly message: WorkerListMessage; readonly contents: boolean }): void {
    const message = event.message;
    if (message.number === null) return;
    this.highest = Math.max(this.highest, message.number[0]);
    if (this.currentReading && message.number[1] !== this.readerId) {
      this.currentReading = false;
      this.deps.log.info('another controller reads the worker list', { reader: message.number[1] });
    }
    this.sendToFollowers(
      message.kind === 'listBeat' && message.ageMs === null ? message : { ...message, ageMs: this.updates.ageMs() },
    );
    if (event.contents) this.events.emit('changed', { entries: this.updates.table.entries() });
    if (!this.currentReading && !this.busy && message.ageMs !== null) this.armTakeover();
  }

  private onMissed(event: { readonly number: WorkerListVersion }): void {
    this.highest = Math.max(this.highest, event.number[0]);
    this.newerSeenAt = this.deps.clock.mono();
    void this.queryPeers();
  }

  private onOutrun(event: { readonly peer: Peer }): void {
    event.peer.send({ kind: 'listBeat', number: this.updates.table.number(), ageMs: null });
  }

  private onWoke(event: { readonly afterMs: number }): void {
    this.deps.log.warn('process stood still, giving up the worker list role', { gapMs: Math.round(event.afterMs) });
    this.currentReading = false;
    if (!this.busy) this.arm(0);
  }

  private answerTo(number: WorkerListVersion | null): Message {
    const current = this.updates.table.number();
    const unresponsive = this.updates.isSourceUnresponsive();
    if (current === null) return { kind: 'listBeat', number: null, ageMs: null, silent: unresponsive };
    const ageMs = this.updates.ageMs();
    const sinceMs = Math.min(this.updates.sinceContactMs(), Number.MAX_SAFE_INTEGER);
    if (number !== null && compareVersions(number, current) >= 0)
      return { kind: 'listBeat', number: current, ageMs, sinceMs, silent: unresponsive };
    return { kind: 'listWhole', number: current, ageMs, sinceMs, entries: [...this.updates.table.entries()] };
  }

  private onFollow(message: MessageOf<'listFollow'>, peer: Peer): Message {
    this.updates.detectStandstill();
    const known = this.followers.has(peer);
    this.followers.set(peer, this.deps.clock.mono());

    const gone = (): void => {
      this.followers.delete(peer);
    };
    if (!known) peer.onClosed(gone);
    if (message.number !== null) this.highest = Math.max(this.highest, message.number[0]);
    const current = this.updates.table.number();
    if (this.currentReading && message.number !== null && current && compareVersions(message.number, current) > 0)
      this.renumber(current);
    return this.answerTo(message.number);
  }

  private async queryPeers(): Promise<void> {
    if (this.asking) return;
    this.asking = true;
    const requests: Promise<unknown>[] = [];
    for (const to of this.others()) requests.push(this.updates.query(to));
    await Promise.all(requests);
    this.asking = false;
  }

  private renumber(base: WorkerListVersion): void {
    this.publish({
      kind: 'listChange',
      number: [this.highest + 1, this.readerId, 0],
      base,
      ageMs: this.updates.ageMs(),
      told: [],
      gone: [],
    });
  }

  private publish(message: WorkerListMessage): void {
    const asOf = this.deps.clock.mono() - (message.ageMs ?? 0);
    if (message.kind === 'listWhole') this.updates.table.applySnapshot(message.number, message.entries, asOf);
    else if (message.kind === 'listChange')
      this.updates.table.applyChange(message.number, message.base, { changed: message.told, gone: message.gone }, asOf);
    else if (message.number !== null && message.ageMs !== null) this.updates.table.confirm(message.number, asOf);
    if (message.number !== null) this.highest = Math.max(this.highest, message.number[0]);
    if (message.ageMs !== null) this.updates.recordContact();
    this.sendToAll(message);
  }

  private onRead(entries: readonly WorkerEntry[], from: number): void {
    const base = this.updates.table.number();
    const ageMs = this.deps.clock.mono() - from;
    const change = this.updates.table.differenceTo(entries, from);
    const goesOn = this.currentReading && base !== null && base[1] === this.readerId;
    const number: WorkerListVersion = goesOn
      ? [base[0], this.readerId, base[2] + 1]
      : [this.highest + 1, this.readerId, 0];
    if (!this.currentReading) this.deps.log.info('reading the worker list', { reader: this.readerId, term: number[0] });
    this.currentReading = true;
    if (base === null) this.publish({ kind: 'listWhole', number, ageMs, entries: [...entries] });
    else if (goesOn && isEmptyChange(change)) this.publish({ kind: 'listBeat', number: base, ageMs });
    else this.publish({ kind: 'listChange', number, base, ageMs, told: [...change.changed], gone: [...change.gone] });
    if (base === null || !isEmptyChange(change)) this.events.emit('changed', { entries: this.updates.table.entries() });
  }

  private announceUnresponsive(): void {
    if (this.currentReading)
      this.sendToAll({ kind: 'listBeat', number: this.updates.table.number(), ageMs: null, silent: true });
  }

  private async readOnce(): Promise<void> {
    const from = this.deps.clock.mono();
    const was = this.currentReading;
    const waiting = this.deps.clock.timer(this.pace.readTimeoutMs * SLOW_SHARE, () => this.announceUnresponsive());
    const response = await within(this.deps.clock, this.pace.readTimeoutMs, this.deps.reader.read());
    waiting.cancel();
    this.updates.detectStandstill();
    if (this.stopped) return;
    if (
      this.deps.clock.mono() - from > STANDSTILL_MS ||
      this.currentReading !== was ||
      (!was && this.updates.isFresh())
    )
      return this.armTakeover();
    if (response?.ok) this.onRead(response.value, from);
    else {
      if (response?.error.tag === 'listNonsense')
        this.deps.log.warn('worker list invalid', { error: response.error.detail });
      this.announceUnresponsive();
    }
    this.arm(
      this.currentReading
        ? from + this.pace.readIntervalMs - this.deps.clock.mono()
        : RETRY_MS * (1 + this.deps.rng.next()),
    );
  }

  private async runTurn(): Promise<void> {
    if (this.stopped || this.busy) return;
    this.busy = true;
    this.updates.detectStandstill();
    if (!this.currentReading) await this.queryPeers();
    if (this.stopped) return;
    if (!this.currentReading && this.updates.isFresh()) this.armTakeover();
    else if (
      !this.currentReading &&
      this.newerSeenAt !== null &&
      this.deps.clock.mono() - this.newerSeenAt < this.pace.contactTimeoutMs
    )
      this.arm(this.pace.queryTimeoutMs);
    else await this.readOnce();
    this.busy = false;
  }

  stop(): void {
    this.stopped = true;
    this.next?.cancel();
    this.updates.stop();
  }

  reading(): boolean {
    return this.currentReading;
  }
}

/** Takes part in the role until stopped. */
export function createWorkerListRole(deps: WorkerListRoleDeps): WorkerListRole {
  return new ElectedListReader(deps);
}
