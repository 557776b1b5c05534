/** Health checks of workers by a proxy: reads the list each second and probes workers, near ones more often. */
import type { WorkerRow } from '../../state/discovery/worker-row.js';
import type { WorkerTable } from '../../state/discovery/worker-table.js';
import { HEALTH_PATH, readHealth } from '../../protocol/worker-wire.js';
import type { Listed } from '../../state/discovery/listed.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { HttpClient } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import type { WorkerListSource } from './worker-list-source.js';

/** What the checks found. */
export interface WorkerWatch {
  listAgeMs(): number | null;
  listReadAt(): number | null;
  probeStrangers(): void;
  verdicts(): Record<string, 'fit' | 'unfit'>;
  stop(): void;
}

const LIST_MS = 1_000;
const PROBE_MS = 1_000;
const LOOK_MS = 250;
const NEAR_A_SECOND = 24;
const FAR_A_SECOND = 8;
const PROBE_WAIT_MS = 900;

/** The table to keep up to date; `onChange` is called after each change. */
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
  private listedAt: number | null = null;
  private blind = false;
  private readonly probing = new Set<string>();
  private probedAt = new Map<string, number>();
  private readonly listing: Timer;
  private readonly probes: Timer;

  constructor(private readonly deps: WorkerWatchDeps) {
    this.listing = every(this.deps.clock, LIST_MS, () => this.list());
    this.probes = every(this.deps.clock, LOOK_MS, () => this.probeDue());

    void this.pollList().then(() => this.probeDue());
  }

  private async pollList(): Promise<void> {
    const response = await this.deps.source.read();
    if (response.ok) {
      const asOf = this.deps.clock.mono() - response.value.ageMs;
      if (this.listedAt !== null && asOf < this.listedAt) return;
      this.listedAt = asOf;
      this.deps.table.applyList(response.value.workers, this.deps.clock.mono());
      this.deps.onChange();
      this.probeStrangers();
    }
    if (response.ok === this.blind) {
      this.deps.log.warn(
        response.ok ? 'platform reachable again' : 'platform unreachable',
        response.ok ? {} : { error: response.error.tag },
      );
    }
    this.blind = !response.ok;
  }

  private async probe(listed: Listed): Promise<void> {
    if (this.probing.has(listed.id)) return;
    this.probing.add(listed.id);
    const response = await this.deps.httpClient.call({
      method: 'GET',
      address: listed.address,
      path: HEALTH_PATH,
      timeoutMs: PROBE_WAIT_MS,
    });
    this.probing.delete(listed.id);
    const read = response.ok ? readHealth(response.value.body) : null;
    if (read?.ok && read.value.id === listed.id)
      this.deps.table.recordHealth(listed.id, read.value, this.deps.clock.mono());
    else this.deps.table.recordMissedProbe(listed.id);
    this.deps.onChange();
  }

  private isNear(row: WorkerRow): boolean {
    return row.listed.zone === this.deps.zone || row.inFlight > 0;
  }

  private probeDue(): void {
    const now = this.deps.clock.mono();
    const rows: WorkerRow[] = [];
    let near = 0;
    for (const row of this.deps.table.rows()) {
      if (!row.present) continue;
      rows.push(row);
      if (this.isNear(row)) near += 1;
    }
    const nearMs = Math.max(PROBE_MS, (near * 1_000) / NEAR_A_SECOND);
    const farMs = Math.max(PROBE_MS, ((rows.length - near) * 1_000) / FAR_A_SECOND);
    const seen = new Map<string, number>();
    for (const row of rows) {
      const everyMs = this.isNear(row) ? nearMs : farMs;
      row.freshMs = 2.5 * everyMs + 1_000;
      const last = this.probedAt.get(row.listed.id);
      const due = last === undefined || now - last >= everyMs - LOOK_MS / 2;
      seen.set(row.listed.id, due ? now : last);
      if (due) void this.probe(row.listed);
    }
    this.probedAt = seen;
  }

  probeStrangers(): void {
    for (const row of this.deps.table.rows())
      if (row.present && !row.ready && row.listed.state === 'ready') void this.probe(row.listed);
  }

  private list(): void {
    void this.pollList();
  }

  listAgeMs(): number | null {
    return this.listedAt === null ? null : this.deps.clock.mono() - this.listedAt;
  }

  listReadAt(): number | null {
    return this.listedAt;
  }

  verdicts(): Record<string, 'fit' | 'unfit'> {
    const out: Record<string, 'fit' | 'unfit'> = {};
    for (const row of this.deps.table.rows()) {
      if (!row.present || row.listed.state !== 'ready') continue;
      if (row.missedProbes >= 2) out[row.listed.id] = 'unfit';
      else if (row.answeredAt !== null && row.ready) out[row.listed.id] = 'fit';
    }
    return out;
  }

  stop(): void {
    this.listing.cancel();
    this.probes.cancel();
  }
}

/** Begins to read and to probe at once. */
export function createWorkerWatch(deps: WorkerWatchDeps): WorkerWatch {
  return new ProbingWorkerWatch(deps);
}
