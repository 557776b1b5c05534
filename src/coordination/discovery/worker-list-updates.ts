/**
 * Updates of the worker list between nodes: snapshots, changes and confirmations, each with the version that it results
 * in. Used by the controller that reads the list, by the other controllers and by proxies.
 */
import { createEvents } from '../../base/events.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import { compareVersions, createWorkerListTable } from '../../state/discovery/worker-list-table.js';
import type { WorkerListTable, WorkerListVersion, ApplyResult } from '../../state/discovery/worker-list-table.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import { PROCESS_PAUSE_MS, ProcessPauseDetector } from '../../transport/process-pause-detector.js';
import type { Address } from '../../transport/wire.js';
import type { Peer, Peers } from '../messaging/peers.js';

/** Messages that carry updates of the list. */
export type WorkerListMessage = MessageOf<'listWhole'> | MessageOf<'listChange'> | MessageOf<'listBeat'>;

/**
 * `taken`: the version or the time of reading advanced, or the reader newly reported that the list source is
 * unresponsive; `contents` says whether the version is new. `missed`: an update cannot be applied. The others are
 * emitted when the sender of an update is behind this node, and when the process resumed after a pause.
 */
export type WorkerListUpdateEvents = {
  readonly taken: { readonly message: WorkerListMessage; readonly contents: boolean };
  readonly missed: { readonly number: WorkerListVersion };
  readonly outrun: { readonly number: WorkerListVersion; readonly peer: Peer };
  readonly woke: { readonly afterMs: number };
};

/** The result of querying a node: a fresh list, a stale one, or no response. */
export type QueryResult = 'fresh' | 'stale' | 'silent';

/**
 * Times for reading and distributing the list, in milliseconds. In order: the interval of reading the list, the time
 * after the last contact with the reader up to which the list is fresh, the delay between controllers that take over
 * reading, the timeouts of a query and of a reading, the time without updates after which a proxy reads the platform
 * itself, and the interval at which a proxy renews its subscription at a controller.
 */
export type WorkerListTiming = {
  readonly readIntervalMs: number;
  readonly contactTimeoutMs: number;
  readonly takeoverStaggerMs: number;
  readonly queryTimeoutMs: number;
  readonly readTimeoutMs: number;
  readonly fallbackReadDelayMs: number;
  readonly renewIntervalMs: number;
};

/** The default times. */
export const WORKER_LIST_TIMING: WorkerListTiming = {
  readIntervalMs: 1_000,
  contactTimeoutMs: 1_250,
  takeoverStaggerMs: 150,
  queryTimeoutMs: 200,
  readTimeoutMs: 1_000,
  fallbackReadDelayMs: 1_650,
  renewIntervalMs: 4_000,
};

/**
 * The table that updates are applied to, its age, and the time since the last contact with the reader. `query` asks a
 * node for the list; `detectProcessPause` checks for a process pause.
 */
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
  isSourceUnresponsive(): boolean;
  query(to: Address): Promise<QueryResult>;
  detectProcessPause(): void;
  stop(): void;
}

const PAUSE_CHECK_INTERVAL_MS = 500;
/** After this time without contact, pushed updates are not applied until a node was queried. */
const RESYNC_AFTER_MS = 2_500;
/** How long a report that the list source is unresponsive stays valid. */
const UNRESPONSIVE_REPORT_TTL_MS = 3_000;
const NEVER = Number.POSITIVE_INFINITY;

class PeerWorkerListUpdates implements WorkerListUpdates {
  readonly events = createEvents<WorkerListUpdateEvents>();
  readonly table = createWorkerListTable();
  private isInSync = false;
  private lastContactAt: number | null = null;
  private unresponsiveReportedAt: number | null = null;
  private readonly pauseDetector: ProcessPauseDetector;
  private readonly pauseTimer: Timer;

  constructor(
    private readonly peers: Peers,
    private readonly clock: Clock,
    private readonly timing: WorkerListTiming,
  ) {
    this.pauseDetector = new ProcessPauseDetector(this.clock);
    this.pauseTimer = every(this.clock, PAUSE_CHECK_INTERVAL_MS, () => this.detectProcessPause());

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
    return this.sinceContactMs() <= this.timing.contactTimeoutMs;
  }

  isSourceUnresponsive(): boolean {
    return this.since(this.unresponsiveReportedAt) < UNRESPONSIVE_REPORT_TTL_MS;
  }

  recordContact(): void {
    this.lastContactAt = this.clock.mono();
  }

  detectProcessPause(): void {
    const gapMs = this.pauseDetector.tick();
    if (gapMs === null) return;
    this.isInSync = false;
    this.lastContactAt = null;
    this.events.emit('woke', { afterMs: gapMs });
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
    const versionBefore = this.table.number();
    const asOfBefore = this.table.asOf() ?? Number.NEGATIVE_INFINITY;
    const result = this.apply(message, now);
    if (result === 'gap') return result;
    const reportsUnresponsive = message.kind === 'listBeat' && message.silent === true;
    const isNewReport = reportsUnresponsive && this.since(this.unresponsiveReportedAt) > this.timing.readIntervalMs / 2;
    if (reportsUnresponsive) this.unresponsiveReportedAt = this.clock.mono();
    if (result === 'old') return result;
    const versionAfter = this.table.number();
    const hasNewVersion =
      versionBefore === null || (versionAfter !== null && compareVersions(versionBefore, versionAfter) !== 0);
    const hasAdvanced = (this.table.asOf() ?? 0) - asOfBefore > this.timing.readIntervalMs / 2;
    if (message.ageMs !== null && message.kind !== 'listChange' && message.sinceMs !== undefined)
      this.lastContactAt = Math.max(this.lastContactAt ?? Number.NEGATIVE_INFINITY, now - message.sinceMs);
    else if (hasNewVersion || hasAdvanced) this.lastContactAt = this.clock.mono();
    if (hasNewVersion || hasAdvanced || isNewReport) this.events.emit('taken', { message, contents: hasNewVersion });
    return result;
  }

  private onUpdate(message: WorkerListMessage, peer: Peer): null {
    this.detectProcessPause();
    if (message.number === null) return null;
    if (this.sinceContactMs() > RESYNC_AFTER_MS) this.isInSync = false;
    const current = this.table.number();
    if (current && compareVersions(message.number, current) < 0) {
      if (message.number[1] !== current[1]) this.events.emit('outrun', { number: message.number, peer });
      return null;
    }
    if (!this.isInSync || this.applyUpdate(message, this.clock.mono()) === 'gap')
      this.events.emit('missed', { number: message.number });
    return null;
  }

  async query(to: Address): Promise<QueryResult> {
    const startedAt = this.clock.mono();
    const response = await this.peers.call(
      to,
      { kind: 'listFollow', number: this.table.number() },
      this.timing.queryTimeoutMs,
    );
    this.detectProcessPause();
    if (!response.ok || !isUpdate(response.value) || this.clock.mono() - startedAt > PROCESS_PAUSE_MS) return 'silent';
    if (this.applyUpdate(response.value, startedAt) === 'taken') this.isInSync = true;
    return this.isFresh() ? 'fresh' : 'stale';
  }

  stop(): void {
    this.pauseTimer.cancel();
  }
}

/** Applies pushed updates once a node was successfully queried for the list. */
export function createWorkerListUpdates(peers: Peers, clock: Clock, timing: WorkerListTiming): WorkerListUpdates {
  return new PeerWorkerListUpdates(peers, clock, timing);
}

function isUpdate(message: Message): message is WorkerListMessage {
  return message.kind === 'listWhole' || message.kind === 'listChange' || message.kind === 'listBeat';
}
