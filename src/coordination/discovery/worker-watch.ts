/** Health checks of workers by a proxy: reads the list every second and probes workers, near ones more often. */
import type { WorkerRow } from '../../state/discovery/worker-row.js';
import type { WorkerTable } from '../../state/discovery/worker-table.js';
import { HEALTH_PATH, readHealth } from '../../protocol/worker-wire.js';
import type { ListedWorker } from '../../state/discovery/listed.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { HttpClient } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import type { WorkerListSource } from './worker-list-source.js';
import { setOwnValue } from '../../base/own-value.js';

/**
 * Results of the health checks. Workers that are listed as ready but have not reported ready to this proxy can be
 * probed immediately.
 */
export interface WorkerWatch {
  listAgeMs(): number | null;
  listReadAt(): number | null;
  probeNewlyReady(): void;
  healthVerdicts(): Record<string, 'fit' | 'unfit'>;
  stop(): void;
}

const LIST_INTERVAL_MS = 1_000;
const MIN_PROBE_INTERVAL_MS = 1_000;
const CHECK_INTERVAL_MS = 250;
const NEAR_PROBES_PER_SECOND = 24;
const FAR_PROBES_PER_SECOND = 8;
const PROBE_TIMEOUT_MS = 900;

/** Dependencies; `table` is the one kept up to date, and `onChange` is called after each change of it. */
export type WorkerWatchDeps = {
  readonly zone: string;
  readonly table: WorkerTable;
  readonly source: WorkerListSource;
  readonly httpClient: HttpClient;
  readonly clock: Clock;
  readonly log: Log;
  readonly onChange: () => void;
};

class ProbingWorkerWatch implements WorkerWatch {
  private listAsOf: number | null = null;
  private isListUnavailable = false;
  private readonly pendingProbes = new Set<string>();
  private lastProbedAt = new Map<string, number>();
  private readonly listTimer: Timer;
  private readonly probeTimer: Timer;

  constructor(private readonly deps: WorkerWatchDeps) {
    this.listTimer = every(this.deps.clock, LIST_INTERVAL_MS, () => this.onListTimer());
    this.probeTimer = every(this.deps.clock, CHECK_INTERVAL_MS, () => this.probeDue());

    void this.pollList().then(() => this.probeDue());
  }

  private async pollList(): Promise<void> {
    const response = await this.deps.source.read();
    if (response.ok) {
      const asOf = this.deps.clock.mono() - response.value.ageMs;
      if (this.listAsOf !== null && asOf < this.listAsOf) return;
      this.listAsOf = asOf;
      this.deps.table.applyList(response.value.workers, this.deps.clock.mono());
      this.deps.onChange();
      this.probeNewlyReady();
    }
    if (response.ok === this.isListUnavailable) {
      this.deps.log.warn(
        response.ok ? 'platform reachable again' : 'platform unreachable',
        response.ok ? {} : { error: response.error.tag },
      );
    }
    this.isListUnavailable = !response.ok;
  }

  private async probe(listed: ListedWorker): Promise<void> {
    if (this.pendingProbes.has(listed.id)) return;
    this.pendingProbes.add(listed.id);
    const response = await this.deps.httpClient.call({
      method: 'GET',
      address: listed.address,
      path: HEALTH_PATH,
      timeoutMs: PROBE_TIMEOUT_MS,
    });
    this.pendingProbes.delete(listed.id);
    const health = response.ok ? readHealth(response.value.body) : null;
    if (health?.ok && health.value.id === listed.id)
      this.deps.table.recordHealth(listed.id, health.value, this.deps.clock.mono());
    else this.deps.table.recordMissedProbe(listed.id);
    this.deps.onChange();
  }

  /** A worker is near if it is in the zone of this proxy or runs requests of it. */
  private isNear(row: WorkerRow): boolean {
    return row.listed.zone === this.deps.zone || row.inFlight > 0;
  }

  private probeDue(): void {
    const now = this.deps.clock.mono();
    const rows: WorkerRow[] = [];
    let nearCount = 0;
    for (const row of this.deps.table.rows()) {
      if (!row.present) continue;
      rows.push(row);
      if (this.isNear(row)) nearCount += 1;
    }
    const nearIntervalMs = Math.max(MIN_PROBE_INTERVAL_MS, (nearCount * 1_000) / NEAR_PROBES_PER_SECOND);
    const farIntervalMs = Math.max(MIN_PROBE_INTERVAL_MS, ((rows.length - nearCount) * 1_000) / FAR_PROBES_PER_SECOND);
    const probedAt = new Map<string, number>();
    for (const row of rows) {
      const intervalMs = this.isNear(row) ? nearIntervalMs : farIntervalMs;
      row.healthMaxAgeMs = 2.5 * intervalMs + 1_000;
      const last = this.lastProbedAt.get(row.listed.id);
      const isDue = last === undefined || now - last >= intervalMs - CHECK_INTERVAL_MS / 2;
      probedAt.set(row.listed.id, isDue ? now : last);
      if (isDue) void this.probe(row.listed);
    }
    this.lastProbedAt = probedAt;
  }

  probeNewlyReady(): void {
    for (const row of this.deps.table.rows())
      if (row.present && !row.ready && row.listed.state === 'ready') void this.probe(row.listed);
  }

  private onListTimer(): void {
    void this.pollList();
  }

  listAgeMs(): number | null {
    return this.listAsOf === null ? null : this.deps.clock.mono() - this.listAsOf;
  }

  listReadAt(): number | null {
    return this.listAsOf;
  }

  healthVerdicts(): Record<string, 'fit' | 'unfit'> {
    const verdicts: Record<string, 'fit' | 'unfit'> = {};
    for (const row of this.deps.table.rows()) {
      if (!row.present || row.listed.state !== 'ready') continue;
      if (row.missedProbes >= 2) setOwnValue(verdicts, row.listed.id, 'unfit');
      else if (row.answeredAt !== null && row.ready) setOwnValue(verdicts, row.listed.id, 'fit');
    }
    return verdicts;
  }

  stop(): void {
    this.listTimer.cancel();
    this.probeTimer.cancel();
  }
}

/** Creates the watch; it starts reading and probing immediately. */
export function createWorkerWatch(deps: WorkerWatchDeps): WorkerWatch {
  return new ProbingWorkerWatch(deps);
}
