/** A case of overload, and how its clients' bytes are made. */
import { HEADER } from '../../platform/words.js';
import type { CrowdGroup } from './crowd.js';
import type { EndlessResponse } from './endless-worker.js';
import { OVERLOAD_LIMITS, ROUTE_HOST } from './overload-site.js';
import type { OverloadLimits } from './overload-site.js';

/** Which process is observed, and at which of its addresses the crowd calls it. */
export type CrowdTarget = 'proxy' | 'control' | 'directory' | 'readiness';

/** One case. Groups of clients follow their scripts at once; a worker, or the list, answers without end. */
export type OverloadCase = {
  readonly name: string;
  readonly target: CrowdTarget;
  readonly limits: OverloadLimits;
  readonly groups: readonly CrowdGroup[];
  /** The status that all clients get, if it matters. */
  readonly expectedStatus: number | null;
  readonly response: EndlessResponse | null;
  readonly isListEndless: boolean;
};

/** What most cases have in common. */
export const CASE_DEFAULTS = {
  limits: OVERLOAD_LIMITS,
  groups: [],
  expectedStatus: null,
  response: null,
  isListEndless: false,
} as const;

/** The size of the parts in which bytes are sent. */
export const PART_BYTES = 65_536;

/** Returns the head of a request with the fields that calls need. */
export function requestHead(method: string, path: string, headers: readonly string[]): string {
  const common = [`${HEADER.attemptId}: a1`, `${HEADER.base}: 0`, 'Content-Type: application/json'];
  return [`${method} ${path} HTTP/1.1`, `Host: ${ROUTE_HOST}`, ...common, ...headers, '', ''].join('\r\n');
}
/** Returns the head of a request that announces the length of its body. */
export function headWithLength(path: string, bytes: number): string {
  return requestHead('POST', path, [`Content-Length: ${bytes}`]);
}
/** Yields the same part again and again. */
export function* repeated(part: Buffer, count: number): Generator<Buffer> {
  for (let sent = 0; sent < count; sent += 1) yield part;
}
/** Yields nothing. */
export function noParts(): Iterator<Buffer> {
  return repeated(Buffer.alloc(0), 0);
}
