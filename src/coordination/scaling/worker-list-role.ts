/**
 * The singleton role of reading the platform's worker list. One controller reads the list and sends updates; another
 * takes over when the updates stop. The role needs no lease: two concurrent readers only cost extra calls.
 */
import { createEvents } from '../../base/events.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import { compareVersions, isEmptyChange } from '../../state/discovery/worker-list-table.js';
import type { WorkerListVersion } from '../../state/discovery/worker-list-table.js';
import type { WorkerEntry } from '../../state/discovery/worker-entry.js';
import { withTimeout } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import { PROCESS_PAUSE_MS } from '../../transport/process-pause-detector.js';
import type { Address } from '../../transport/wire.js';
import type { WorkerListFeed, WorkerListFeedEvents, WorkerListReader } from '../discovery/worker-list-feed.js';
import { createWorkerListUpdates, WORKER_LIST_TIMING } from '../discovery/worker-list-updates.js';
import type { WorkerListMessage, WorkerListTiming, WorkerListUpdates } from '../discovery/worker-list-updates.js';
import type { Peer, Peers } from '../messaging/peers.js';

/** Dependencies of the role: the reader of the list, and the controllers that share the role. */
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

/** The worker list of this controller, and whether this controller is the one that reads it. */
export interface WorkerListRole {
  readonly feed: WorkerListFeed;
  isReading(): boolean;
  stop(): void;
}

const FOLLOWER_TIMEOUT_MS = 12_000;
/** A controller that is not the reader retries a failed read after a random delay of one to two times this. */
const MIN_READ_RETRY_MS = 2_000;
/** Length of the random part of a reader id, which differs after each restart of a controller. */
const READER_ID_SUFFIX_LENGTH = 6;
/** After this fraction of the read timeout the platform is announced as unresponsive. */
const SLOW_READ_FRACTION = 0.4;

class SharedWorkerListRole implements WorkerListRole {
  private readonly pace: WorkerListTiming;
  private readonly readerId: string;
  private readonly updates: WorkerListUpdates;
  private readonly events = createEvents<WorkerListFeedEvents>();
  private readonly followerContactAt = new Map<Peer, number>();
  private highestTerm = 0;
  private newerVersionSeenAt: number | null = null;
  private isReader = false;
  private stopped = false;
  private isTicking = false;
  private isQuerying = false;
  private nextTimer: Timer | null = null;
  readonly feed: WorkerListFeed;

  constructor(private readonly deps: WorkerListRoleDeps) {
    this.pace = this.deps.pace ?? WORKER_LIST_TIMING;
    this.readerId = `${this.deps.self}/${newId(this.deps.rng, '').slice(1, 1 + READER_ID_SUFFIX_LENGTH)}`;
    this.updates = createWorkerListUpdates(this.deps.peers, this.deps.clock, this.pace);

    this.updates.events.on('taken', (event) => this.onApplied(event));

    this.updates.events.on('missed', (event) => this.onUpdateGap(event));

    this.updates.events.on('outrun', (event) => this.onSenderBehind(event));

    this.updates.events.on('woke', (event) => this.onProcessPause(event));

    this.deps.peers.on('listFollow', (message, peer) => this.onFollow(message, peer));

    this.scheduleTick(this.takeoverDelayMs());
    this.feed = {
      entries: () => this.updates.table.entries(),
      asOf: () => this.updates.table.asOf(),
      events: this.events,
      stop: () => this.stop(),
    };
  }

  private scheduleTick(ms: number): void {
    this.nextTimer?.cancel();
    if (!this.stopped) this.nextTimer = this.deps.clock.timer(Math.max(0, ms), () => this.startTick());
  }

  private startTick(): void {
    void this.runTick();
  }

  private otherControllers(): Address[] {
    const addresses = new Set<Address>(this.deps.controllers());
    addresses.delete(this.deps.self);
    return [...addresses];
  }

  /** Staggers takeovers by rank: the number of controllers with a lower address, leaving out the current reader. */
  private takeoverDelayMs(): number {
    const currentReaderId = this.updates.table.number()?.[1] ?? '';
    let rank = 0;
    for (const address of this.otherControllers())
      if (address < this.deps.self && !currentReaderId.startsWith(`${address}/`)) rank += 1;
    return rank * this.pace.takeoverStaggerMs;
  }

  private scheduleTakeover(): void {
    this.scheduleTick(
      Math.max(0, this.pace.contactTimeoutMs - this.updates.sinceContactMs()) + 1 + this.takeoverDelayMs(),
    );
  }

  private sendToAll(message: WorkerListMessage): void {
    for (const to of this.otherControllers()) void this.deps.peers.send(to, message);
    this.sendToFollowers(message);
  }

  private sendToFollowers(message: WorkerListMessage): void {
    for (const [peer, at] of this.followerContactAt) {
      if (this.deps.clock.mono() - at > FOLLOWER_TIMEOUT_MS) this.followerContactAt.delete(peer);
      else peer.send(message);
    }
  }

  private onApplied(event: { readonly message: WorkerListMessage; readonly contents: boolean }): void {
    const message = event.message;
    if (message.number === null) return;
    this.highestTerm = Math.max(this.highestTerm, message.number[0]);
    if (this.isReader && message.number[1] !== this.readerId) {
      this.isReader = false;
      this.deps.log.info('another controller reads the worker list', { reader: message.number[1] });
    }
    this.sendToFollowers(
      message.kind === 'listBeat' && message.ageMs === null ? message : { ...message, ageMs: this.updates.ageMs() },
    );
    if (event.contents) this.events.emit('changed', { entries: this.updates.table.entries() });
    if (!this.isReader && !this.isTicking && message.ageMs !== null) this.scheduleTakeover();
  }

  private onUpdateGap(event: { readonly number: WorkerListVersion }): void {
    this.highestTerm = Math.max(this.highestTerm, event.number[0]);
    this.newerVersionSeenAt = this.deps.clock.mono();
    void this.queryControllers();
  }

  private onSenderBehind(event: { readonly peer: Peer }): void {
    event.peer.send({ kind: 'listBeat', number: this.updates.table.number(), ageMs: null });
  }

  private onProcessPause(event: { readonly afterMs: number }): void {
    this.deps.log.warn('process stood still, giving up the worker list role', { gapMs: Math.round(event.afterMs) });
    this.isReader = false;
    if (!this.isTicking) this.scheduleTick(0);
  }

  private responseTo(number: WorkerListVersion | null): Message {
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
    this.updates.detectProcessPause();
    const isKnown = this.followerContactAt.has(peer);
    this.followerContactAt.set(peer, this.deps.clock.mono());

    const removeFollower = (): void => {
      this.followerContactAt.delete(peer);
    };
    if (!isKnown) peer.onClosed(removeFollower);
    if (message.number !== null) this.highestTerm = Math.max(this.highestTerm, message.number[0]);
    const current = this.updates.table.number();
    if (this.isReader && message.number !== null && current && compareVersions(message.number, current) > 0)
      this.startNewTerm(current);
    return this.responseTo(message.number);
  }

  private async queryControllers(): Promise<void> {
    if (this.isQuerying) return;
    this.isQuerying = true;
    const requests: Promise<unknown>[] = [];
    for (const to of this.otherControllers()) requests.push(this.updates.query(to));
    await Promise.all(requests);
    this.isQuerying = false;
  }

  /** Sends the unchanged list under a newer term, because a follower has a newer version than this reader. */
  private startNewTerm(base: WorkerListVersion): void {
    this.applyAndSend({
      kind: 'listChange',
      number: [this.highestTerm + 1, this.readerId, 0],
      base,
      ageMs: this.updates.ageMs(),
      told: [],
      gone: [],
    });
  }

  private applyAndSend(message: WorkerListMessage): void {
    const asOf = this.deps.clock.mono() - (message.ageMs ?? 0);
    if (message.kind === 'listWhole') this.updates.table.applySnapshot(message.number, message.entries, asOf);
    else if (message.kind === 'listChange')
      this.updates.table.applyChange(message.number, message.base, { changed: message.told, gone: message.gone }, asOf);
    else if (message.number !== null && message.ageMs !== null) this.updates.table.confirm(message.number, asOf);
    if (message.number !== null) this.highestTerm = Math.max(this.highestTerm, message.number[0]);
    if (message.ageMs !== null) this.updates.recordContact();
    this.sendToAll(message);
  }

  private onRead(entries: readonly WorkerEntry[], startedAt: number): void {
    const base = this.updates.table.number();
    const ageMs = this.deps.clock.mono() - startedAt;
    const change = this.updates.table.differenceTo(entries, startedAt);
    const continuesTerm = this.isReader && base !== null && base[1] === this.readerId;
    const number: WorkerListVersion = continuesTerm
      ? [base[0], this.readerId, base[2] + 1]
      : [this.highestTerm + 1, this.readerId, 0];
    if (!this.isReader) this.deps.log.info('reading the worker list', { reader: this.readerId, term: number[0] });
    this.isReader = true;
    if (base === null) this.applyAndSend({ kind: 'listWhole', number, ageMs, entries: [...entries] });
    else if (continuesTerm && isEmptyChange(change)) this.applyAndSend({ kind: 'listBeat', number: base, ageMs });
    else
      this.applyAndSend({ kind: 'listChange', number, base, ageMs, told: [...change.changed], gone: [...change.gone] });
    if (base === null || !isEmptyChange(change)) this.events.emit('changed', { entries: this.updates.table.entries() });
  }

  /** If this controller is the reader, tells the others and its followers that the platform does not respond to it. */
  private announcePlatformUnresponsive(): void {
    if (this.isReader)
      this.sendToAll({ kind: 'listBeat', number: this.updates.table.number(), ageMs: null, silent: true });
  }

  private async readOnce(): Promise<void> {
    const startedAt = this.deps.clock.mono();
    const wasReader = this.isReader;
    const slowReadTimer = this.deps.clock.timer(this.pace.readTimeoutMs * SLOW_READ_FRACTION, () =>
      this.announcePlatformUnresponsive(),
    );
    const response = await withTimeout(this.deps.clock, this.pace.readTimeoutMs, this.deps.reader.read());
    slowReadTimer.cancel();
    this.updates.detectProcessPause();
    if (this.stopped) return;
    if (
      this.deps.clock.mono() - startedAt > PROCESS_PAUSE_MS ||
      this.isReader !== wasReader ||
      (!wasReader && this.updates.isFresh())
    )
      return this.scheduleTakeover();
    if (response?.ok) this.onRead(response.value, startedAt);
    else {
      if (response?.error.tag === 'listNonsense')
        this.deps.log.warn('worker list invalid', { error: response.error.detail });
      this.announcePlatformUnresponsive();
    }
    this.scheduleTick(
      this.isReader
        ? startedAt + this.pace.readIntervalMs - this.deps.clock.mono()
        : MIN_READ_RETRY_MS * (1 + this.deps.rng.next()),
    );
  }

  private async runTick(): Promise<void> {
    if (this.stopped || this.isTicking) return;
    this.isTicking = true;
    this.updates.detectProcessPause();
    if (!this.isReader) await this.queryControllers();
    if (this.stopped) return;
    if (!this.isReader && this.updates.isFresh()) this.scheduleTakeover();
    else if (
      !this.isReader &&
      this.newerVersionSeenAt !== null &&
      this.deps.clock.mono() - this.newerVersionSeenAt < this.pace.contactTimeoutMs
    )
      this.scheduleTick(this.pace.queryTimeoutMs);
    else await this.readOnce();
    this.isTicking = false;
  }

  stop(): void {
    this.stopped = true;
    this.nextTimer?.cancel();
    this.updates.stop();
  }

  isReading(): boolean {
    return this.isReader;
  }
}

/** Creates the role; this controller takes part in it until `stop` is called. */
export function createWorkerListRole(deps: WorkerListRoleDeps): WorkerListRole {
  return new SharedWorkerListRole(deps);
}
