/**
 * Decides which requests a proxy still admits while it drains. All requests are admitted during the intake period.
 * After it, a stream is admitted only if its deadline, which ends it in any case, comes before the end of the process;
 * any other request is admitted if its deadline or its expected end does. The duration of a stream can't be estimated
 * from the request or from earlier streams: its prompt may wait for a busy worker and then has to be read there.
 */
import type { RelayedRequest } from './relayed-request.js';

/** When a draining proxy stops admitting all requests, and when its last response must have ended (monotonic clock). */
export type StopTimes = { readonly intakeUntil: number; readonly lastEndAt: number };

/** Latency target assumed for a request that is not a stream if its route has none. */
const DEFAULT_EXPECTED_LATENCY_MS = 300;
/** A request that is not a stream is expected to end within this many latency targets. */
const LATENCY_TARGET_MULTIPLE = 2;

/** Returns whether a request that arrives now is admitted; `times` is null unless the proxy is draining. */
export function mayAdmit(request: RelayedRequest, now: number, times: StopTimes | null): boolean {
  if (times === null || now < times.intakeUntil) return true;
  return Math.min(request.deadlineAt, expectedEndAt(request, now)) <= times.lastEndAt;
}

function expectedEndAt(request: RelayedRequest, now: number): number {
  return request.stream
    ? Infinity
    : now + LATENCY_TARGET_MULTIPLE * (request.route.settings.aimMs ?? DEFAULT_EXPECTED_LATENCY_MS);
}
