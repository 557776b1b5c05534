/** Headers of forwarded requests and responses: which are passed on, and which the relay sets itself. */
import type { HeaderNames } from '../../protocol/header-names.js';
import type { OpaqueRequest, RawHeaders } from '../../transport/opaque-http.js';
import type { RelayedRequest } from './relayed-request.js';

/** Hop-by-hop headers, and those that frame a body. They are not forwarded: each connection has its own. */
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

const MAX_URGENCY = 9;

/** Returns the headers with which a request is sent to a worker; `remainingMs` is the time until its deadline. */
export function requestHeaders(
  headerNames: HeaderNames,
  request: RelayedRequest,
  workerId: string,
  remainingMs: number,
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
    if (name === headerNames.lastEvent && request.isResponseStarted) continue;
    out.push(headers[i] as string, headers[i + 1] as string);
  }
  out.push(headerNames.deadline, String(Math.max(1, Math.floor(remainingMs))), headerNames.expectWorker, workerId);
  const { rank } = request.route.settings;
  if (rank !== null) out.push(headerNames.urgency, String(Math.max(0, Math.min(MAX_URGENCY, rank))));
  if (request.isResponseStarted && request.lastEvent !== null)
    out.push(headerNames.lastEvent, String(request.lastEvent));
  return out;
}

/** Returns the headers of a worker's response that are forwarded to the caller. */
export function responseHeaders(headers: RawHeaders): string[] {
  const out: string[] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] as string;
    if (!HOP_BY_HOP.has(name.toLowerCase())) out.push(name, headers[i + 1] as string);
  }
  return out;
}

/** Returns all headers except the one named `excluded`, which is in lower case. */
export function withoutHeader(headers: RawHeaders, excluded: string): string[] {
  const out: string[] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] as string;
    if (name.toLowerCase() !== excluded) out.push(name, headers[i + 1] as string);
  }
  return out;
}

/** Returns true if the request has a body, even an empty one. */
export function hasBody(incoming: OpaqueRequest): boolean {
  return incoming.get('content-length') !== null || incoming.get('transfer-encoding') !== null;
}
