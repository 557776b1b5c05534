/** Headers on their way through the relay: which go along, and which are the relay's own. */
import type { HeaderNames } from '../../protocol/header-names.js';
import type { OpaqueRequest, RawHeaders } from '../../transport/opaque-http.js';
import type { RelayedRequest } from './relayed-request.js';

/** Headers that concern one connection only, and those that frame a body: each side sets its own. */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'transfer-encoding',
  'te',
  'trailer',
  'upgrade',
  'content-length',
  'expect',
  'proxy-authenticate',
  'proxy-authorization',
]);

const LEAST_URGENT = 9;

/** The head of a request as its worker gets it, with what is left of its deadline. */
export function requestHeaders(
  headerNames: HeaderNames,
  request: RelayedRequest,
  workerId: string,
  leftMs: number,
): string[] {
  const out: string[] = [];
  const { headers } = request.incoming;
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = (headers[i] as string).toLowerCase();
    if (
      HOP_BY_HOP.has(name) ||
      name === headerNames.deadline ||
      name === headerNames.expectWorker ||
      name === headerNames.urgency
    )
      continue;
    if (name === headerNames.lastEvent && request.answerBegun) continue;
    out.push(headers[i] as string, headers[i + 1] as string);
  }
  out.push(headerNames.deadline, String(Math.max(1, Math.floor(leftMs))), headerNames.expectWorker, workerId);
  const { rank } = request.route.settings;
  if (rank !== null) out.push(headerNames.urgency, String(Math.max(0, Math.min(LEAST_URGENT, rank))));
  if (request.answerBegun && request.lastEvent !== null) out.push(headerNames.lastEvent, String(request.lastEvent));
  return out;
}

/** The head of a worker's answer as the caller gets it. */
export function answerHeaders(headers: RawHeaders): string[] {
  const out: string[] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] as string;
    if (!HOP_BY_HOP.has(name.toLowerCase())) out.push(name, headers[i + 1] as string);
  }
  return out;
}

/** All headers but one. */
export function withoutHeader(headers: RawHeaders, unwanted: string): string[] {
  const out: string[] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] as string;
    if (name.toLowerCase() !== unwanted) out.push(name, headers[i + 1] as string);
  }
  return out;
}

/** True if the caller framed a body, be it an empty one. */
export function hasBody(incoming: OpaqueRequest): boolean {
  return incoming.get('content-length') !== null || incoming.get('transfer-encoding') !== null;
}
