/** Collects the counts per minute of all controllers and evaluates latency targets on them. */
import type { MinuteCounts } from '../coordination/configuration/latency-target-tracker.js';
import { isJsonObject } from '../base/is-json-object.js';
import { addCounts, CHANGES_SUBJECT, emptyCounts } from '../state/configuration/latency-target-counts.js';
import { reportLatencyTarget } from '../state/configuration/latency-target-report.js';
import type { LatencyTarget, LatencyTargetRow } from '../state/configuration/latency-target-report.js';
import type { Minute } from '../state/configuration/latency-target-table.js';
import type { Address } from '../transport/wire.js';
import { latencyTargetsRequest } from './requests.js';
import type { CoreClient } from './core.js';

type MinuteResponse = { readonly by: string; readonly minutes: readonly Minute[] };

function parseMinutes(body: unknown): MinuteResponse | null {
  if (!isJsonObject(body) || !Array.isArray(body['minutes']) || typeof body['now'] !== 'number') return null;
  const { by, now, minutes } = body as MinuteCounts;
  const relative: Minute[] = [];
  for (const minute of minutes) relative.push({ ...minute, minute: minute.minute - now });
  return { by, minutes: relative };
}

function changeMinutes(
  responses: readonly MinuteResponse[],
  unresponsive: readonly Address[],
  windowMinutes: number,
): Minute[] {
  const merged: Minute[] = [];
  for (let minute = -windowMinutes; minute < 0; minute += 1) {
    const counts = { [CHANGES_SUBJECT]: emptyCounts() };
    const unknown = [...unresponsive];
    for (const response of responses) {
      const matching = response.minutes.find(isSameMinute);
      if (!matching) unknown.push(response.by);
      else if (matching.counts[CHANGES_SUBJECT]) addCounts(counts, CHANGES_SUBJECT, matching.counts[CHANGES_SUBJECT]);
    }
    merged.push({ minute, counts, unknown });
    function isSameMinute(row: Minute): boolean {
      return row.minute === minute;
    }
  }
  return merged;
}

function countKnownMinutes(response: MinuteResponse): number {
  let count = 0;
  for (const minute of response.minutes) if (minute.unknown.length === 0) count += 1;
  return count;
}

/**
 * Evaluates each target over its own window; null if no controller responds. Minutes in which an unresponsive
 * controller may have counted changes stay unknown. Other measures are evaluated on the response with the most known
 * minutes.
 */
export async function reportLatencyTargets(
  core: CoreClient,
  addresses: readonly Address[],
  latencyTargets: readonly LatencyTarget[],
): Promise<readonly LatencyTargetRow[] | null> {
  let windowMinutes = 1;
  for (const latencyTarget of latencyTargets) windowMinutes = Math.max(windowMinutes, latencyTarget.windowMinutes);
  const responses: MinuteResponse[] = [];
  const unresponsive: Address[] = [];
  for (const address of addresses) {
    const response = await core.requestAt(address, latencyTargetsRequest(windowMinutes));
    const parsed = response?.status === 200 ? parseMinutes(response.body) : null;
    if (parsed) responses.push(parsed);
    else unresponsive.push(address);
  }
  let mostComplete: MinuteResponse | null = null;
  for (const candidate of responses)
    if (!mostComplete || countKnownMinutes(candidate) > countKnownMinutes(mostComplete)) mostComplete = candidate;
  if (!mostComplete) return null;
  const changeCounts = changeMinutes(responses, unresponsive, windowMinutes);
  const rows: LatencyTargetRow[] = [];
  for (const target of latencyTargets)
    rows.push(reportLatencyTarget(target, target.measure === 'changeInForce' ? changeCounts : mostComplete.minutes, 0));
  return rows;
}
