/** Gathers the minutes that the controllers counted and judges latency targets on them. */
import type { MinuteCounts } from '../coordination/configuration/latency-target-tracker.js';
import { isTable } from '../base/is-table.js';
import { addCounts, CHANGES_SUBJECT, noCounts } from '../state/configuration/latency-target-counts.js';
import { reportLatencyTarget } from '../state/configuration/latency-target-report.js';
import type { LatencyTarget, LatencyTargetRow } from '../state/configuration/latency-target-report.js';
import type { Minute } from '../state/configuration/latency-target-table.js';
import type { Address } from '../transport/wire.js';
import { latencyTargetsRequest } from './requests.js';
import type { Core } from './core.js';

type MinuteAnswer = { readonly by: string; readonly minutes: readonly Minute[] };

function answersIn(body: unknown): MinuteAnswer | null {
  if (!isTable(body) || !Array.isArray(body['minutes']) || typeof body['now'] !== 'number') return null;
  const { by, now, minutes } = body as MinuteCounts;
  const relative: Minute[] = [];
  for (const minute of minutes) relative.push({ ...minute, minute: minute.minute - now });
  return { by, minutes: relative };
}

function changesOf(all: readonly MinuteAnswer[], unresponsive: readonly Address[], window: number): Minute[] {
  const out: Minute[] = [];
  for (let minute = -window; minute < 0; minute += 1) {
    const counts = { [CHANGES_SUBJECT]: noCounts() };
    const unknown = [...unresponsive];
    for (const minuteAnswer of all) {
      const found = minuteAnswer.minutes.find(isIt);
      if (!found) unknown.push(minuteAnswer.by);
      else if (found.counts[CHANGES_SUBJECT]) addCounts(counts, CHANGES_SUBJECT, found.counts[CHANGES_SUBJECT]);
    }
    out.push({ minute, counts, unknown });
    function isIt(row: Minute): boolean {
      return row.minute === minute;
    }
  }
  return out;
}

function knownMinutes(minuteAnswer: MinuteAnswer): number {
  let count = 0;
  for (const minute of minuteAnswer.minutes) if (minute.unknown.length === 0) count += 1;
  return count;
}

/**
 * Judges each target on its own window; null if no controller answers. Minutes that a silent controller may have
 * counted stay unknown.
 */
export async function reportLatencyTargets(
  core: Core,
  addresses: readonly Address[],
  latencyTargets: readonly LatencyTarget[],
): Promise<readonly LatencyTargetRow[] | null> {
  let window = 1;
  for (const latencyTarget of latencyTargets) window = Math.max(window, latencyTarget.windowMinutes);
  const answers: MinuteAnswer[] = [];
  const unresponsive: Address[] = [];
  for (const address of addresses) {
    const response = await core.requestAt(address, latencyTargetsRequest(window));
    const read = response?.status === 200 ? answersIn(response.body) : null;
    if (read) answers.push(read);
    else unresponsive.push(address);
  }
  let best: MinuteAnswer | null = null;
  for (const minuteAnswer of answers) if (!best || knownMinutes(minuteAnswer) > knownMinutes(best)) best = minuteAnswer;
  if (!best) return null;
  const changes = changesOf(answers, unresponsive, window);
  const rows: LatencyTargetRow[] = [];
  for (const target of latencyTargets)
    rows.push(reportLatencyTarget(target, target.measure === 'changeInForce' ? changes : best.minutes, 0));
  return rows;
}
