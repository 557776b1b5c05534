import type { AimMinutes } from '../coordination/ledger/aim-keeper.js';
import { isTable } from '../base/is-table.js';
import { addCounts, CHANGES_SUBJECT, noCounts } from '../state/aim-counts.js';
import { reportAim } from '../state/aim-report.js';
import type { Aim, AimRow } from '../state/aim-report.js';
import type { Minute } from '../state/aim-book.js';
import type { Address } from '../transport/wire.js';
import { aimsAsk } from './asks.js';
import type { Core } from './core.js';

type Told = { readonly by: string; readonly minutes: readonly Minute[] };

function toldIn(body: unknown): Told | null {
  if (!isTable(body) || !Array.isArray(body['minutes']) || typeof body['now'] !== 'number') return null;
  const { by, now, minutes } = body as AimMinutes;
  const relative: Minute[] = [];
  for (const m of minutes) relative.push({ ...m, minute: m.minute - now });
  return { by, minutes: relative };
}

function changesOf(all: readonly Told[], silent: readonly Address[], window: number): Minute[] {
  const out: Minute[] = [];
  for (let minute = -window; minute < 0; minute += 1) {
    const counts = { [CHANGES_SUBJECT]: noCounts() };
    const unknown = [...silent];
    for (const t of all) {
      const m = t.minutes.find(isIt);
      if (!m) unknown.push(t.by);
      else if (m.counts[CHANGES_SUBJECT]) addCounts(counts, CHANGES_SUBJECT, m.counts[CHANGES_SUBJECT]);
    }
    out.push({ minute, counts, unknown });
    function isIt(m: Minute): boolean {
      return m.minute === minute;
    }
  }
  return out;
}

function knownMinutes(t: Told): number {
  let n = 0;
  for (const m of t.minutes) if (m.unknown.length === 0) n += 1;
  return n;
}

export async function reportAims(
  core: Core,
  addresses: readonly Address[],
  aims: readonly Aim[],
): Promise<readonly AimRow[] | null> {
  let window = 1;
  for (const a of aims) window = Math.max(window, a.windowMinutes);
  const told: Told[] = [];
  const silent: Address[] = [];
  for (const address of addresses) {
    const got = await core.askAt(address, aimsAsk(window));
    const read = got?.status === 200 ? toldIn(got.body) : null;
    if (read) told.push(read);
    else silent.push(address);
  }
  let best: Told | null = null;
  for (const t of told) if (!best || knownMinutes(t) > knownMinutes(best)) best = t;
  if (!best) return null;
  const changes = changesOf(told, silent, window);
  const rows: AimRow[] = [];
  for (const aim of aims) rows.push(reportAim(aim, aim.measure === 'changeInForce' ? changes : best.minutes, 0));
  return rows;
}
