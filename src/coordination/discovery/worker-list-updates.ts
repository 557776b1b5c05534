/**
 * Updates of the worker list between nodes: snapshots, changes and confirmations, each with the version it leads to.
 * Used by the controller that reads the list, by the other controllers and by proxies.
 */
import { createEvents } from '../../base/events.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import { compareVersions, createWorkerListTable } from '../../state/discovery/worker-list-table.js';
import type { WorkerListTable, WorkerListVersion, ApplyResult } from '../../state/discovery/worker-list-table.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import { STANDSTILL_MS, StandstillDetector } from '../../transport/standstill-detector.js';
import type { Address } from '../../transport/wire.js';
import type { Peer, Peers } from '../messaging/peers.js';

/** The messages that carry the list. */
export type WorkerListMessage = MessageOf<'listWhole'> | MessageOf<'listChange'> | MessageOf<'listBeat'>;

/**
 * `taken`: the table moved on; `missed`: an update can't be applied; `outrun`: the sender is behind; `woke`: the
 * process had stood still.
 */
export type WorkerListUpdateEvents = {
  readonly taken: { readonly message: WorkerListMessage; readonly contents: boolean };
  readonly missed: { readonly number: WorkerListVersion };
  readonly outrun: { readonly number: WorkerListVersion; readonly peer: Peer };
  readonly woke: { readonly afterMs: number };
};

/** What asking a node brought: a fresh list, an old one, or no answer. */
export type QueryResult = 'fresh' | 'stale' | 'silent';

/** Times of reading and passing on the list, in milliseconds. */
export type WorkerListPace = {
  readonly everyMs: number;
  readonly freshMs: number;
  readonly staggerMs: number;
  readonly queryTimeoutMs: number;
  readonly readMs: number;
  readonly ownMs: number;
  readonly renewMs: number;
};

/** The pace in use. */
export const WORKER_LIST_PACE: WorkerListPace = {
  everyMs: 1_000,
  freshMs: 1_250,
  staggerMs: 150,
  queryTimeoutMs: 200,
  readMs: 1_000,
  ownMs: 1_650,
  renewMs: 4_000,
};

/** The table that updates are applied to, and how old it is. */
export interface WorkerListUpdates {
  readonly table: WorkerListTable;
  readonly events: {
    readonly on: <K extends keyof WorkerListUpdateEvents>(
      name: K,
      callback: (event: WorkerListUpdateEvents[K]) => void,
    ) => void;
  };
  ageMs(): number;
  sinceContactMs(): number;
  recordContact(): void;
  isFresh(): boolean;
  reportedUnresponsive(): boolean;
  query(to: Address): Promise<QueryResult>;
  detectStandstill(): void;
  stop(): void;
}

const TURN_MS = 500;
const DISTRUST_MS = 2_500;
const SILENCE_KEPT_MS = 3_000;
const NEVER = Number.POSITIVE_INFINITY;

class PeerWorkerListUpdates implements WorkerListUpdates {
  readonly events = createEvents<WorkerListUpdateEvents>();
  readonly table = createWorkerListTable();
  private trusting = false;
  private lastContactAt: number | null = null;
  private unresponsiveAt: number | null = null;
  private readonly standstill: StandstillDetector;
  private readonly turning: Timer;

  constructor(
    private readonly peers: Peers,
    private readonly clock: Clock,
    private readonly pace: WorkerListPace,
  ) {
    this.standstill = new StandstillDetector(this.clock);
    this.turning = every(this.clock, TURN_MS, () => this.detectStandstill());

    this.peers.on('listWhole', (message, peer) => this.onUpdate(message, peer));

    this.peers.on('listChange', (message, peer) => this.onUpdate(message, peer));

    this.peers.on('listBeat', (message, peer) => this.onUpdate(message, peer));
  }

  private since(at: number | null): number {
    return at === null ? NEVER : this.clock.mono() - at;
  }

  ageMs(): number {
    return this.since(this.table.asOf());
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
    const gap = this.standstill.tick();
    if (gap === null) return;
    this.trusting = false;
    this.lastContactAt = null;
    this.events.emit('woke', { afterMs: gap });
  }

  private apply(message: WorkerListMessage, now: number): ApplyResult {
    if (message.kind === 'listWhole')
      return this.table.applySnapshot(message.number, message.entries, now - message.ageMs);
    if (message.kind === 'listChange')
      return this.table.applyChange(
        message.number,
        message.base,
        { changed: message.told, gone: message.gone },
        now - message.ageMs,
      );
    if (message.number === null) return 'old';
    return this.table.confirm(message.number, message.ageMs === null ? Number.NEGATIVE_INFINITY : now - message.ageMs);
  }

  private applyUpdate(message: WorkerListMessage, now: number): ApplyResult {
    const before = this.table.number();
    const readBefore = this.table.asOf() ?? Number.NEGATIVE_INFINITY;
    const end = this.apply(message, now);
    if (end === 'gap') return end;
    const silent = message.kind === 'listBeat' && message.silent === true;
    const unresponsiveUpdate = silent && this.since(this.unresponsiveAt) > this.pace.everyMs / 2;
    if (silent) this.unresponsiveAt = this.clock.mono();
    if (end === 'old') return end;
    const after = this.table.number();
    const contents = before === null || (after !== null && compareVersions(before, after) !== 0);
    const advanced = (this.table.asOf() ?? 0) - readBefore > this.pace.everyMs / 2;
    if (message.ageMs !== null && message.kind !== 'listChange' && message.sinceMs !== undefined)
      this.lastContactAt = Math.max(this.lastContactAt ?? Number.NEGATIVE_INFINITY, now - message.sinceMs);
    else if (contents || advanced) this.lastContactAt = this.clock.mono();
    if (contents || advanced || unresponsiveUpdate) this.events.emit('taken', { message, contents });
    return end;
  }

  private onUpdate(message: WorkerListMessage, peer: Peer): null {
    this.detectStandstill();
    if (message.number === null) return null;
    if (this.sinceContactMs() > DISTRUST_MS) this.trusting = false;
    const current = this.table.number();
    if (current && compareVersions(message.number, current) < 0) {
      if (message.number[1] !== current[1]) this.events.emit('outrun', { number: message.number, peer });
      return null;
    }
    if (!this.trusting || this.applyUpdate(message, this.clock.mono()) === 'gap')
      this.events.emit('missed', { number: message.number });
    return null;
  }

  async query(to: Address): Promise<QueryResult> {
    const from = this.clock.mono();
    const response = await this.peers.call(
      to,
      { kind: 'listFollow', number: this.table.number() },
      this.pace.queryTimeoutMs,
    );
    this.detectStandstill();
    if (!response.ok || !isUpdate(response.value) || this.clock.mono() - from > STANDSTILL_MS) return 'silent';
    if (this.applyUpdate(response.value, from) === 'taken') this.trusting = true;
    return this.isFresh() ? 'fresh' : 'stale';
  }

  stop(): void {
    this.turning.cancel();
  }
}

/** Applies the updates that come, once a node was asked for the list. */
export function createWorkerListUpdates(peers: Peers, clock: Clock, pace: WorkerListPace): WorkerListUpdates {
  return new PeerWorkerListUpdates(peers, clock, pace);
}

function isUpdate(message: Message): message is WorkerListMessage {
  return message.kind === 'listWhole' || message.kind === 'listChange' || message.kind === 'listBeat';
}
