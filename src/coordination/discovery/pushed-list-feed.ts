/**
 * The list of workers as a proxy has it: pushed by the controller that reads it, and read from the platform itself
 * only when no controller sends any.
 */
import { createEvents } from '../../base/events.js';
import type { WorkerEntry } from '../../state/discovery/worker-entry.js';
import { within } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Rng } from '../../transport/rng.js';
import { STANDSTILL_MS } from '../../transport/standstill-detector.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../messaging/peers.js';
import type { WorkerListFeed, WorkerListFeedEvents, WorkerListReader } from './worker-list-feed.js';
import { createWorkerListUpdates, WORKER_LIST_PACE } from './worker-list-updates.js';
import type { WorkerListPace, WorkerListUpdates } from './worker-list-updates.js';

/** Controllers to ask, and the reader that is the last resort. */
export type PushedListFeedDeps = {
  readonly reader: WorkerListReader;
  readonly controllers: () => Iterable<Address>;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: Log;
  readonly pace?: WorkerListPace;
};

type OwnReading = { readonly entries: readonly WorkerEntry[]; readonly at: number };

const ASK_PAUSE_MS = 100;
const OWN_PAUSE_MS = 1_000;
const OWN_PAUSE_MOST_MS = 8_000;
const OWN_SPREAD_MS = 4_000;
const OWN_JITTER_MS = 350;

class PushedListFeed implements WorkerListFeed {
  private readonly pace: WorkerListPace;
  private readonly updates: WorkerListUpdates;
  readonly events = createEvents<WorkerListFeedEvents>();
  private own: OwnReading | null = null;
  private source: Address | null = null;
  private turns = 0;
  private renewedAt = 0;
  private ownDue: number;
  private ownBackoffMs = OWN_PAUSE_MS;
  private readsItself = false;
  private spread = false;
  private asking = false;
  private stopped = false;
  private next: Timer | null = null;

  constructor(private readonly deps: PushedListFeedDeps) {
    this.pace = this.deps.pace ?? WORKER_LIST_PACE;
    this.updates = createWorkerListUpdates(this.deps.peers, this.deps.clock, this.pace);
    this.ownDue = this.deps.clock.mono() + this.pace.ownMs * (1 + this.deps.rng.next());

    this.updates.events.on('taken', (event) => this.onApplied(event));

    this.updates.events.on('missed', () => this.onMissed());

    this.updates.events.on('woke', (event) => this.onWoke(event));

    this.tick();
  }

  private pushedNewest(): boolean {
    const at = this.updates.table.asOf();
    return this.own === null || (at !== null && at >= this.own.at);
  }

  entries(): readonly WorkerEntry[] {
    return this.own !== null && !this.pushedNewest() ? this.own.entries : this.updates.table.entries();
  }

  asOf(): number | null {
    return this.own !== null && !this.pushedNewest() ? this.own.at : this.updates.table.asOf();
  }

  private emitChanged(): void {
    this.events.emit('changed', { entries: this.entries() });
  }

  private arm(): void {
    this.next?.cancel();
    if (this.stopped) return;
    const now = this.deps.clock.mono();
    const queryDue = this.updates.isFresh()
      ? Math.min(now + this.pace.freshMs - this.updates.sinceContactMs(), this.renewedAt + this.pace.renewMs)
      : now + ASK_PAUSE_MS;
    this.next = this.deps.clock.timer(Math.max(1, Math.min(queryDue, this.ownDue) - now), () => this.tick());
  }

  private tick(): void {
    void this.turn();
  }

  private onApplied(event: { readonly contents: boolean }): void {
    const replaced = this.own !== null && this.pushedNewest();
    if (replaced) this.own = null;
    if ((event.contents && this.own === null) || replaced) this.emitChanged();
    if (this.updates.isFresh()) this.onFresh();
    else if (this.updates.reportedUnresponsive() && !this.spread) {
      this.spread = true;
      this.ownDue = Math.max(this.ownDue, this.deps.clock.mono() + OWN_SPREAD_MS * (0.5 + this.deps.rng.next()));
    }
    if (!this.asking) this.arm();
  }

  private onFresh(): void {
    this.ownDue =
      this.deps.clock.mono() - this.updates.sinceContactMs() + this.pace.ownMs + OWN_JITTER_MS * this.deps.rng.next();
    this.ownBackoffMs = OWN_PAUSE_MS;
    this.spread = false;
    if (this.readsItself) this.deps.log.info('worker list pushed again');
    this.readsItself = false;
  }

  private onMissed(): void {
    void this.queryRound();
  }

  private onWoke(event: { readonly afterMs: number }): void {
    this.deps.log.warn('process stood still, querying worker list', { gapMs: Math.round(event.afterMs) });
    this.ownDue = Math.min(
      this.ownDue,
      this.deps.clock.mono() + this.pace.queryTimeoutMs + OWN_JITTER_MS * this.deps.rng.next(),
    );
    if (!this.asking) this.arm();
  }

  private async queryRound(): Promise<void> {
    if (this.asking) return;
    this.asking = true;
    const controllers = [...this.deps.controllers()];
    const picked = new Set<Address>();
    if (this.source !== null && controllers.includes(this.source)) picked.add(this.source);
    if (this.updates.isFresh()) {
      if (controllers[0] !== undefined) picked.add(controllers[0]);
    } else if (controllers.length > 0) picked.add(controllers[this.turns % controllers.length] as Address);
    this.turns += 1;
    this.renewedAt = this.deps.clock.mono();
    const answered: Address[] = [];
    const requests: Promise<void>[] = [];

    const one = async (to: Address): Promise<void> => {
      if ((await this.updates.query(to)) === 'fresh') answered.push(to);
    };
    for (const to of picked) requests.push(one(to));
    await Promise.all(requests);
    this.asking = false;
    this.source = this.nearest(controllers, answered);
    this.arm();
  }

  private nearest(controllers: readonly Address[], answered: readonly Address[]): Address | null {
    for (const controller of controllers) if (answered.includes(controller)) return controller;
    return this.source;
  }

  private async readItself(): Promise<void> {
    const from = this.deps.clock.mono();
    this.ownDue = from + this.pace.readMs + OWN_PAUSE_MS;
    if (!this.readsItself) this.deps.log.warn('no controller pushes the worker list, reading the platform');
    this.readsItself = true;
    const response = await within(this.deps.clock, this.pace.readMs, this.deps.reader.read());
    this.updates.detectStandstill();
    if (this.stopped) return;
    const good = response?.ok === true && this.deps.clock.mono() - from <= STANDSTILL_MS;
    this.ownBackoffMs = good ? OWN_PAUSE_MS : Math.min(OWN_PAUSE_MOST_MS, this.ownBackoffMs * 2);
    if (!this.updates.isFresh()) this.ownDue = from + this.ownBackoffMs * (1 + 0.3 * this.deps.rng.next());
    if (good && response.ok) this.onOwnReading(response.value, from);
    this.arm();
  }

  private onOwnReading(read: readonly WorkerEntry[], from: number): void {
    const shownAt = this.asOf();
    if (shownAt !== null && shownAt >= from) return;
    this.own = { entries: read, at: from };
    this.emitChanged();
  }

  private async turn(): Promise<void> {
    this.updates.detectStandstill();
    if (this.deps.clock.mono() >= this.ownDue && !this.updates.isFresh()) void this.readItself();
    else if (this.deps.clock.mono() >= this.ownDue) this.ownDue = this.deps.clock.mono() + this.pace.ownMs;
    await this.queryRound();
  }

  stop(): void {
    this.stopped = true;
    this.next?.cancel();
    this.updates.stop();
  }
}

/** A feed that asks at once and then follows. */
export function createPushedListFeed(deps: PushedListFeedDeps): WorkerListFeed {
  return new PushedListFeed(deps);
}
