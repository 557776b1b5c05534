import type { WorkerRow } from '../../state/worker-row.js';
import type { WorkerTable } from '../../state/worker-table.js';
import { HEALTH_PATH, readHealth } from '../../protocol/worker-wire.js';
import type { Listed } from '../../state/listed.js';
import { every } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { HttpClient } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import type { ListSource } from './list-source.js';

export type WorkerWatch = {
  readonly listAgeMs: () => number | null;
  readonly askedAt: () => number | null;
  readonly probeStrangers: () => void;
  readonly verdicts: () => Record<string, 'fit' | 'unfit'>;
  readonly stop: () => void;
};

const LIST_MS = 1_000;
const PROBE_MS = 1_000;
const LOOK_MS = 250;
const NEAR_A_SECOND = 24;
const FAR_A_SECOND = 8;
const PROBE_WAIT_MS = 900;

export type WorkerWatchDeps = {
  readonly zone: string;
  readonly table: WorkerTable;
  readonly source: ListSource;
  readonly httpClient: HttpClient;
  readonly clock: Clock;
  readonly log: Log;
  readonly onChange: () => void;
};

export function createWorkerWatch(deps: WorkerWatchDeps): WorkerWatch {
  const { zone, table, source, httpClient, clock, log, onChange } = deps;
  let listedAt: number | null = null;
  let blind = false;
  const probing = new Set<string>();
  let probedAt = new Map<string, number>();

  async function pollList(): Promise<void> {
    const got = await source.read();
    if (got.ok) {
      const asOf = clock.mono() - got.value.ageMs;
      if (listedAt !== null && asOf < listedAt) return;
      listedAt = asOf;
      table.takeList(got.value.workers, clock.mono());
      onChange();
      probeStrangers();
    }
    if (got.ok === blind) {
      log.warn(
        got.ok
          ? 'The platform answers again.'
          : `The platform's list was not to be had (${got.fault.tag}); the last one grows old.`,
      );
    }
    blind = !got.ok;
  }

  async function probe(listed: Listed): Promise<void> {
    if (probing.has(listed.id)) return;
    probing.add(listed.id);
    const got = await httpClient.call({
      method: 'GET',
      address: listed.address,
      path: HEALTH_PATH,
      timeoutMs: PROBE_WAIT_MS,
    });
    probing.delete(listed.id);
    const read = got.ok ? readHealth(got.value.body) : null;
    if (read?.ok && read.value.id === listed.id) table.takeHealth(listed.id, read.value, clock.mono());
    else table.takeSilence(listed.id);
    onChange();
  }

  function isNear(row: WorkerRow): boolean {
    return row.listed.zone === zone || row.inFlight > 0;
  }

  function probeDue(): void {
    const now = clock.mono();
    const rows: WorkerRow[] = [];
    let near = 0;
    for (const row of table.rows()) {
      if (!row.present) continue;
      rows.push(row);
      if (isNear(row)) near += 1;
    }
    const nearMs = Math.max(PROBE_MS, (near * 1_000) / NEAR_A_SECOND);
    const farMs = Math.max(PROBE_MS, ((rows.length - near) * 1_000) / FAR_A_SECOND);
    const seen = new Map<string, number>();
    for (const row of rows) {
      const everyMs = isNear(row) ? nearMs : farMs;
      row.freshMs = 2.5 * everyMs + 1_000;
      const last = probedAt.get(row.listed.id);
      const due = last === undefined || now - last >= everyMs - LOOK_MS / 2;
      seen.set(row.listed.id, due ? now : last);
      if (due) void probe(row.listed);
    }
    probedAt = seen;
  }
  function probeStrangers(): void {
    for (const row of table.rows())
      if (row.present && !row.ready && row.listed.state === 'ready') void probe(row.listed);
  }
  function list(): void {
    void pollList();
  }
  const listing = every(clock, LIST_MS, list);
  const probes = every(clock, LOOK_MS, probeDue);
  void pollList().then(probeDue);

  function listAgeMs(): number | null {
    return listedAt === null ? null : clock.mono() - listedAt;
  }
  function askedAt(): number | null {
    return listedAt;
  }
  function verdicts(): Record<string, 'fit' | 'unfit'> {
    const out: Record<string, 'fit' | 'unfit'> = {};
    for (const row of table.rows()) {
      if (!row.present || row.listed.state !== 'ready') continue;
      if (row.silences >= 2) out[row.listed.id] = 'unfit';
      else if (row.answeredAt !== null && row.ready) out[row.listed.id] = 'fit';
    }
    return out;
  }
  function stop(): void {
    listing.cancel();
    probes.cancel();
  }
  return { listAgeMs, askedAt, probeStrangers, verdicts, stop };
}
