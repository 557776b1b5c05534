/**
 * The worker list feed of a proxy: controllers push the list, and the proxy reads the platform itself only while no
 * controller sends updates.
 */
import { createEvents } from '../../base/events.js';
import type { WorkerEntry } from '../../state/discovery/worker-entry.js';
import { withTimeout } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Rng } from '../../transport/rng.js';
import { PROCESS_PAUSE_MS } from '../../transport/process-pause-detector.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../messaging/peers.js';
import type { WorkerListFeed, WorkerListFeedEvents, WorkerListReader } from './worker-list-feed.js';
import { createWorkerListUpdates, WORKER_LIST_TIMING } from './worker-list-updates.js';
import type { WorkerListTiming, WorkerListUpdates } from './worker-list-updates.js';

/** Controllers to query, and the reader that is used as a fallback. */
export type PushedListFeedDeps = {
  readonly reader: WorkerListReader;
  readonly controllers: () => Iterable<Address>;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: Log;
  readonly timing?: WorkerListTiming;
};

type OwnReading = { readonly entries: readonly WorkerEntry[]; readonly at: number };

const QUERY_INTERVAL_MS = 100;
const MIN_READ_BACKOFF_MS = 1_000;
const MAX_READ_BACKOFF_MS = 8_000;
/** Spreads the reads of all proxies after a report that the list source is unresponsive. */
const READ_SPREAD_MS = 4_000;
const READ_JITTER_MS = 350;

class PushedListFeed implements WorkerListFeed {
  private readonly timing: WorkerListTiming;
  private readonly updates: WorkerListUpdates;
  readonly events = createEvents<WorkerListFeedEvents>();
  private ownReading: OwnReading | null = null;
  private currentController: Address | null = null;
  private queryRounds = 0;
  private lastQueryAt = 0;
  private readDueAt: number;
  private readBackoffMs = MIN_READ_BACKOFF_MS;
  private isReadingPlatform = false;
  private isReadDelayed = false;
  private isQuerying = false;
  private stopped = false;
  private timer: Timer | null = null;

  constructor(private readonly deps: PushedListFeedDeps) {
    this.timing = this.deps.timing ?? WORKER_LIST_TIMING;
    this.updates = createWorkerListUpdates(this.deps.peers, this.deps.clock, this.timing);
    this.readDueAt = this.deps.clock.mono() + this.timing.fallbackReadDelayMs * (1 + this.deps.rng.next());

    this.updates.events.on('taken', (event) => this.onApplied(event));

    this.updates.events.on('missed', () => this.onMissed());

    this.updates.events.on('woke', (event) => this.onWoke(event));

    this.tick();
  }

  private isPushedListNewest(): boolean {
    const pushedAsOf = this.updates.table.asOf();
    return this.ownReading === null || (pushedAsOf !== null && pushedAsOf >= this.ownReading.at);
  }

  entries(): readonly WorkerEntry[] {
    return this.ownReading !== null && !this.isPushedListNewest()
      ? this.ownReading.entries
      : this.updates.table.entries();
  }

  asOf(): number | null {
    return this.ownReading !== null && !this.isPushedListNewest() ? this.ownReading.at : this.updates.table.asOf();
  }

  private emitChanged(): void {
    this.events.emit('changed', { entries: this.entries() });
  }

  private arm(): void {
    this.timer?.cancel();
    if (this.stopped) return;
    const now = this.deps.clock.mono();
    const queryDueAt = this.updates.isFresh()
      ? Math.min(
          now + this.timing.contactTimeoutMs - this.updates.sinceContactMs(),
          this.lastQueryAt + this.timing.renewIntervalMs,
        )
      : now + QUERY_INTERVAL_MS;
    this.timer = this.deps.clock.timer(Math.max(1, Math.min(queryDueAt, this.readDueAt) - now), () => this.tick());
  }

  private tick(): void {
    void this.runTick();
  }

  private onApplied(event: { readonly contents: boolean }): void {
    const isOwnReadingReplaced = this.ownReading !== null && this.isPushedListNewest();
    if (isOwnReadingReplaced) this.ownReading = null;
    if ((event.contents && this.ownReading === null) || isOwnReadingReplaced) this.emitChanged();
    if (this.updates.isFresh()) this.onFresh();
    else if (this.updates.isSourceUnresponsive() && !this.isReadDelayed) {
      this.isReadDelayed = true;
      this.readDueAt = Math.max(this.readDueAt, this.deps.clock.mono() + READ_SPREAD_MS * (0.5 + this.deps.rng.next()));
    }
    if (!this.isQuerying) this.arm();
  }

  private onFresh(): void {
    this.readDueAt =
      this.deps.clock.mono() -
      this.updates.sinceContactMs() +
      this.timing.fallbackReadDelayMs +
      READ_JITTER_MS * this.deps.rng.next();
    this.readBackoffMs = MIN_READ_BACKOFF_MS;
    this.isReadDelayed = false;
    if (this.isReadingPlatform) this.deps.log.info('worker list pushed again');
    this.isReadingPlatform = false;
  }

  private onMissed(): void {
    void this.queryRound();
  }

  private onWoke(event: { readonly afterMs: number }): void {
    this.deps.log.warn('process stood still, querying worker list', { gapMs: Math.round(event.afterMs) });
    this.readDueAt = Math.min(
      this.readDueAt,
      this.deps.clock.mono() + this.timing.queryTimeoutMs + READ_JITTER_MS * this.deps.rng.next(),
    );
    if (!this.isQuerying) this.arm();
  }

  private async queryRound(): Promise<void> {
    if (this.isQuerying) return;
    this.isQuerying = true;
    const controllers = [...this.deps.controllers()];
    const targets = new Set<Address>();
    if (this.currentController !== null && controllers.includes(this.currentController))
      targets.add(this.currentController);
    if (this.updates.isFresh()) {
      if (controllers[0] !== undefined) targets.add(controllers[0]);
    } else if (controllers.length > 0) targets.add(controllers[this.queryRounds % controllers.length] as Address);
    this.queryRounds += 1;
    this.lastQueryAt = this.deps.clock.mono();
    const answered: Address[] = [];
    const requests: Promise<void>[] = [];

    const queryController = async (to: Address): Promise<void> => {
      if ((await this.updates.query(to)) === 'fresh') answered.push(to);
    };
    for (const to of targets) requests.push(queryController(to));
    await Promise.all(requests);
    this.isQuerying = false;
    this.currentController = this.firstAnswering(controllers, answered);
    this.arm();
  }

  private firstAnswering(controllers: readonly Address[], answered: readonly Address[]): Address | null {
    for (const controller of controllers) if (answered.includes(controller)) return controller;
    return this.currentController;
  }

  private async readPlatform(): Promise<void> {
    const startedAt = this.deps.clock.mono();
    this.readDueAt = startedAt + this.timing.readTimeoutMs + MIN_READ_BACKOFF_MS;
    if (!this.isReadingPlatform) this.deps.log.warn('no controller pushes the worker list, reading the platform');
    this.isReadingPlatform = true;
    const response = await withTimeout(this.deps.clock, this.timing.readTimeoutMs, this.deps.reader.read());
    this.updates.detectProcessPause();
    if (this.stopped) return;
    const isUsable = response?.ok === true && this.deps.clock.mono() - startedAt <= PROCESS_PAUSE_MS;
    this.readBackoffMs = isUsable ? MIN_READ_BACKOFF_MS : Math.min(MAX_READ_BACKOFF_MS, this.readBackoffMs * 2);
    if (!this.updates.isFresh()) this.readDueAt = startedAt + this.readBackoffMs * (1 + 0.3 * this.deps.rng.next());
    if (isUsable && response.ok) this.onOwnReading(response.value, startedAt);
    this.arm();
  }

  private onOwnReading(newEntries: readonly WorkerEntry[], startedAt: number): void {
    const currentAsOf = this.asOf();
    if (currentAsOf !== null && currentAsOf >= startedAt) return;
    this.ownReading = { entries: newEntries, at: startedAt };
    this.emitChanged();
  }

  private async runTick(): Promise<void> {
    this.updates.detectProcessPause();
    if (this.deps.clock.mono() >= this.readDueAt && !this.updates.isFresh()) void this.readPlatform();
    else if (this.deps.clock.mono() >= this.readDueAt)
      this.readDueAt = this.deps.clock.mono() + this.timing.fallbackReadDelayMs;
    await this.queryRound();
  }

  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
    this.updates.stop();
  }
}

/** Creates a feed that queries a controller immediately and then follows its updates. */
export function createPushedListFeed(deps: PushedListFeedDeps): WorkerListFeed {
  return new PushedListFeed(deps);
}
