/**
 * The client library. It asks a proxy for a placement, sends the request to the placement's address with the admission
 * token, verifies the response digest, and retries at another proxy where that is safe (docs/repeats.md).
 */
import { ok } from '../base/result.js';
import {
  PLACEMENT_PATH,
  readResponse,
  readResponseLine,
  readFailure,
  readPlacement,
  REQUESTS_PATH,
  ADMISSION_TOKEN_HEADER,
} from '../protocol/caller-wire.js';
import type { Failure, PlacementRequest, Placement } from '../protocol/caller-wire.js';
import type { PrefixBlock } from '../protocol/worker-wire.js';
import { addChunk, verifyDigest, startDigest } from '../state/forwarding/response-digest.js';
import { createGotHttpClient } from '../transport/http-client.js';
import { createClock } from '../transport/clock.js';
import type { Clock } from '../transport/clock.js';
import { createProxyWatch } from './edge-watch.js';
import type { HttpClient, HttpAnswer } from '../transport/http.js';
import type { Address } from '../transport/wire.js';

export { runKey } from '../state/idempotency/run-key.js';

/** The proxies, the caller's zone, and the timeouts of a placement and of a request, in milliseconds. */
export type ClientSettings = {
  readonly proxies: readonly Address[];
  readonly zone?: string;
  readonly placeWaitMs?: number;
  readonly requestWaitMs?: number;
};

/** Former name of `ClientRequest`, kept for callers that still import it. */
export type ClientAsk = ClientRequest;

/** A request: its model or route, its prompt as prefix blocks, and whether it may run more than once. */
export type ClientRequest = {
  readonly model?: string;
  readonly mapping?: string;
  readonly kind?: string;
  readonly homes?: readonly string[];
  readonly parts: readonly PrefixBlock[];
  readonly outputTokens: number;
  readonly repeatable: boolean;
  readonly key?: string;
};

/** Why a request has no response. Only `failed` with `notRun`, and `noProxy`, guarantee that it did not run. */
export type ClientError =
  | {
      readonly tag: 'failed';
      readonly failure: Failure;
      readonly retryAfterS: number;
      readonly requestId: string | null;
    }
  | { readonly tag: 'noProxy' }
  | { readonly tag: 'wrongSeal'; readonly requestId: string }
  | { readonly tag: 'outcomeUnknown'; readonly requestId: string };

/** Result of a client call. The error of a failed call is also available under its former name `fault`. */
export type ClientResult<T> =
  | { readonly ok: true; readonly value: T }
  | {
      readonly ok: false;
      readonly error: ClientError;
      /** The same error. @deprecated Read `error`. */
      readonly fault: ClientError;
    };

/** A complete response whose digest was verified. */
export type ClientAnswer = {
  readonly requestId: string;
  readonly attemptId: string;
  readonly text: string;
  readonly pieces: number;
};

/** One event of a streamed response; the last one is `sealed` (complete and verified) or `fault`. */
export type ClientEvent =
  | { readonly tag: 'piece'; readonly n: number; readonly text: string }
  | { readonly tag: 'sealed'; readonly attemptId: string }
  | {
      readonly tag: 'fault';
      readonly error: ClientError;
      /** The same error. @deprecated Read `error`. */ readonly fault: ClientError;
    };

/** A streamed response that has started. */
export type ClientStream = { readonly requestId: string; readonly events: AsyncIterable<ClientEvent> };

/** Sends requests. Its promises never reject: every error is returned as a value. */
export type Client = {
  readonly send: (request: ClientRequest) => Promise<ClientResult<ClientAnswer>>;
  readonly stream: (request: ClientRequest) => Promise<ClientResult<ClientStream>>;
};

type AcceptedRequest = {
  readonly placement: Placement;
  readonly answer: HttpAnswer;
  readonly stopWatching: () => void;
};

/** Placements tried for one request before its error is returned. */
const MAX_PLACEMENTS = 3;
/** A proxy that did not respond is tried after the others for this long. */
const UNRESPONSIVE_MS = 5_000;

function failed(error: ClientError): { readonly ok: false; readonly error: ClientError; readonly fault: ClientError } {
  return { ok: false, error, fault: error };
}

function errorEvent(error: ClientError): ClientEvent {
  return { tag: 'fault', error, fault: error };
}

/** Creates a client that uses HTTP and the clock of the runtime. */
export function createClient(settings: ClientSettings): Client {
  return createClientOver(settings, createGotHttpClient(1_000), createClock());
}

/** Creates a client with a given HTTP client and clock, for tests. */
export function createClientOver(settings: ClientSettings, httpClient: HttpClient, clock: Clock): Client {
  const proxyWatch = createProxyWatch(httpClient, clock);
  const unresponsiveAt = new Map<Address, number>();

  function proxiesInOrder(): readonly Address[] {
    const responsive: Address[] = [];
    const unresponsive: Address[] = [];
    for (const proxy of settings.proxies)
      (clock.mono() - (unresponsiveAt.get(proxy) ?? -UNRESPONSIVE_MS) < UNRESPONSIVE_MS
        ? unresponsive
        : responsive
      ).push(proxy);
    return [...responsive, ...unresponsive];
  }

  function placementRequest(request: ClientRequest, excludedProxies: readonly string[]): PlacementRequest {
    let inputTokens = 0;
    const parts: string[] = [];
    for (const part of request.parts) {
      inputTokens += part.tokens;
      parts.push(part.hash);
    }
    return {
      ...(request.model === undefined ? {} : { model: request.model }),
      ...(request.mapping === undefined ? {} : { mapping: request.mapping }),
      ...(request.kind === undefined ? {} : { kind: request.kind }),
      ...(request.homes === undefined ? {} : { homes: [...request.homes] }),
      ...(settings.zone === undefined ? {} : { zone: settings.zone }),
      inputTokens,
      outputTokens: request.outputTokens,
      parts,
      repeatable: request.repeatable,
      ...(excludedProxies.length === 0 ? {} : { without: [...excludedProxies] }),
    };
  }

  function parseFailure(answer: HttpAnswer, requestId: string | null): ClientError | null {
    const parsed = readFailure(answer.body);
    if (!parsed.ok) return null;
    const retryAfterS = Number(answer.headers['retry-after'] ?? 0);
    return {
      tag: 'failed',
      failure: parsed.value.error,
      retryAfterS: Number.isFinite(retryAfterS) ? retryAfterS : 0,
      requestId,
    };
  }

  async function requestPlacement(
    request: ClientRequest,
    excludedProxies: readonly string[],
  ): Promise<ClientResult<Placement>> {
    let lastError: ClientError = { tag: 'noProxy' };
    for (const address of proxiesInOrder()) {
      const response = await httpClient.call({
        method: 'POST',
        address,
        path: PLACEMENT_PATH,
        body: placementRequest(request, excludedProxies),
        timeoutMs: settings.placeWaitMs ?? 2_000,
      });
      if (!response.ok) {
        unresponsiveAt.set(address, clock.mono());
        continue;
      }
      unresponsiveAt.delete(address);
      const placement = readPlacement(response.value.body);
      if (response.value.status === 200 && placement.ok) return ok(placement.value);
      const failure = parseFailure(response.value, null);
      if (!failure) continue;
      lastError = failure;
      if (failure.tag !== 'failed' || failure.failure.tag !== 'shed' || failure.failure.reason !== 'notReady')
        return failed(failure);
    }
    return failed(lastError);
  }

  function isWorthRetrying(error: ClientError | null): boolean {
    if (error === null || error.tag !== 'failed' || error.failure.tag !== 'shed') return false;
    const { reason } = error.failure;
    return reason === 'ticketForeign' || reason === 'ticketExpired' || reason === 'stopping' || reason === 'notReady';
  }

  async function submit(request: ClientRequest, stream: boolean): Promise<ClientResult<AcceptedRequest>> {
    const failedProxies: string[] = [];
    for (let attempts = 1; ; attempts += 1) {
      const placement = await requestPlacement(request, failedProxies);
      if (!placement.ok) return placement;
      const { address, ticket: token, requestId } = placement.value;
      const abortController = new AbortController();
      const stopWatching = proxyWatch.follow(address, abortController.abort.bind(abortController));
      const response = await httpClient.call({
        method: 'POST',
        address,
        path: REQUESTS_PATH,
        signal: abortController.signal,
        headers: { [ADMISSION_TOKEN_HEADER]: token },
        body: {
          requestId,
          parts: request.parts,
          outputTokens: request.outputTokens,
          stream,
          ...(request.key === undefined ? {} : { key: request.key }),
        },
        timeoutMs: settings.requestWaitMs ?? 130_000,
        stream,
      });
      if (!response.ok || !stream || response.value.status !== 200) stopWatching();
      if (!response.ok) {
        failedProxies.push(placement.value.proxy);
        if (response.error.tag === 'neverSent' && attempts < MAX_PLACEMENTS) continue;
        return failed(response.error.tag === 'neverSent' ? { tag: 'noProxy' } : { tag: 'outcomeUnknown', requestId });
      }
      if (response.value.status === 200)
        return ok({ placement: placement.value, answer: response.value, stopWatching });
      const failure = parseFailure(response.value, requestId);
      if (isWorthRetrying(failure) && attempts < MAX_PLACEMENTS) continue;
      return failed(failure ?? { tag: 'outcomeUnknown', requestId });
    }
  }

  async function send(request: ClientRequest): Promise<ClientResult<ClientAnswer>> {
    const accepted = await submit(request, false);
    if (!accepted.ok) return accepted;
    const { requestId } = accepted.value.placement;
    const parsed = readResponse(accepted.value.answer.body);
    if (!parsed.ok) return failed({ tag: 'wrongSeal', requestId });
    const digest = startDigest(requestId, null);
    let text = '';
    for (const piece of parsed.value.pieces) {
      if (addChunk(digest, piece)) return failed({ tag: 'wrongSeal', requestId });
      text += piece.text;
    }
    if (verifyDigest(digest, parsed.value.seal)) return failed({ tag: 'wrongSeal', requestId });
    return ok({ requestId, attemptId: parsed.value.seal.attemptId, text, pieces: parsed.value.pieces.length });
  }

  async function stream(request: ClientRequest): Promise<ClientResult<ClientStream>> {
    const accepted = await submit(request, true);
    if (!accepted.ok) return accepted;
    const { requestId } = accepted.value.placement;
    return ok({ requestId, events: watchedEvents(requestId, accepted.value) });
  }

  async function* watchedEvents(requestId: string, accepted: AcceptedRequest): AsyncGenerator<ClientEvent> {
    try {
      yield* readEvents(requestId, accepted.answer);
    } finally {
      accepted.stopWatching();
    }
  }

  async function* readEvents(requestId: string, answer: HttpAnswer): AsyncGenerator<ClientEvent> {
    const digest = startDigest(requestId, null);
    for await (const received of answer.lines) {
      if (!received.ok) {
        yield errorEvent({ tag: 'outcomeUnknown', requestId });
        return;
      }
      const parsed = readResponseLine(received.value);
      if (!parsed.ok) {
        answer.abandon();
        yield errorEvent({ tag: 'wrongSeal', requestId });
        return;
      }
      const line = parsed.value;
      if ('error' in line) {
        yield errorEvent({
          tag: 'failed',
          failure: line.error,
          retryAfterS: line.error.tag === 'cut' ? line.error.retryAfterS : 1,
          requestId,
        });
        return;
      }
      if ('seal' in line) {
        const mismatch = verifyDigest(digest, line.seal);
        yield mismatch
          ? errorEvent({ tag: 'wrongSeal', requestId })
          : { tag: 'sealed', attemptId: line.seal.attemptId };
        return;
      }
      if (addChunk(digest, line.piece)) {
        answer.abandon();
        yield errorEvent({ tag: 'wrongSeal', requestId });
        return;
      }
      yield { tag: 'piece', n: line.piece.n, text: line.piece.text };
    }
    yield errorEvent({ tag: 'outcomeUnknown', requestId });
  }

  return { send, stream };
}
