/**
 * The callers' library: asks a proxy for a placement, sends the request there with its admission token, checks the
 * response digest, and tries another proxy where that is safe (docs/repeats.md).
 */
import { ok } from '../base/result.js';
import {
  PLACE_PATH,
  readAnswer,
  readAnswerLine,
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
import { createEdgeWatch } from './edge-watch.js';
import type { HttpClient, HttpAnswer } from '../transport/http.js';
import type { Address } from '../transport/wire.js';

export { runKey } from '../state/idempotency/run-key.js';

/** Proxies to ask, the caller's zone, and how long a placement and a request may take, in milliseconds. */
export type ClientSettings = {
  readonly proxies: readonly Address[];
  readonly zone?: string;
  readonly placeWaitMs?: number;
  readonly requestWaitMs?: number;
};

/** Former name of `ClientRequest`, kept for callers that import it. */
export type ClientAsk = ClientRequest;

/** A request: its model or route, its prompt by prefix blocks, and whether it may run more than once. */
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

/** Why a request has no answer. Only `failed` with `notRun`, and `noProxy`, promise that it did not run. */
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

/** Outcome of a call of the client. The error of a failed one stands under its former name `fault` too. */
export type ClientResult<T> =
  | { readonly ok: true; readonly value: T }
  | {
      readonly ok: false;
      readonly error: ClientError;
      /** The same error. @deprecated Read `error`. */
      readonly fault: ClientError;
    };

/** A complete answer whose digest was checked. */
export type ClientAnswer = {
  readonly requestId: string;
  readonly attemptId: string;
  readonly text: string;
  readonly pieces: number;
};

/** One event of a stream; the last one is `sealed` or `fault`. */
export type ClientEvent =
  | { readonly tag: 'piece'; readonly n: number; readonly text: string }
  | { readonly tag: 'sealed'; readonly attemptId: string }
  | {
      readonly tag: 'fault';
      readonly error: ClientError;
      /** The same error. @deprecated Read `error`. */ readonly fault: ClientError;
    };

/** A stream that has begun. */
export type ClientStream = { readonly requestId: string; readonly events: AsyncIterable<ClientEvent> };

/** Sends requests; never rejects. */
export type Client = {
  readonly send: (request: ClientRequest) => Promise<ClientResult<ClientAnswer>>;
  readonly stream: (request: ClientRequest) => Promise<ClientResult<ClientStream>>;
};

type Opened = { readonly placement: Placement; readonly answer: HttpAnswer; readonly leave: () => void };

const PLACINGS = 3;
const SILENT_REST_MS = 5_000;

function failed(error: ClientError): { readonly ok: false; readonly error: ClientError; readonly fault: ClientError } {
  return { ok: false, error, fault: error };
}

function faultEvent(error: ClientError): ClientEvent {
  return { tag: 'fault', error, fault: error };
}

/** A client over HTTP. */
export function createClient(settings: ClientSettings): Client {
  return createClientOver(settings, createGotHttpClient(1_000), createClock());
}

/** A client over a given HTTP client, clock and source of randomness, for tests. */
export function createClientOver(settings: ClientSettings, httpClient: HttpClient, clock: Clock): Client {
  const edges = createEdgeWatch(httpClient, clock);
  const unresponsiveAt = new Map<Address, number>();

  function inOrder(): readonly Address[] {
    const good: Address[] = [];
    const silent: Address[] = [];
    for (const text of settings.proxies)
      (clock.mono() - (unresponsiveAt.get(text) ?? -SILENT_REST_MS) < SILENT_REST_MS ? silent : good).push(text);
    return [...good, ...silent];
  }

  function placementRequest(request: ClientRequest, without: readonly string[]): PlacementRequest {
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
      ...(without.length === 0 ? {} : { without: [...without] }),
    };
  }

  function failureOf(answer: HttpAnswer, requestId: string | null): ClientError | null {
    const read = readFailure(answer.body);
    if (!read.ok) return null;
    const after = Number(answer.headers['retry-after'] ?? 0);
    return { tag: 'failed', failure: read.value.error, retryAfterS: Number.isFinite(after) ? after : 0, requestId };
  }

  async function place(request: ClientRequest, without: readonly string[]): Promise<ClientResult<Placement>> {
    let refusal: ClientError = { tag: 'noProxy' };
    for (const address of inOrder()) {
      const response = await httpClient.call({
        method: 'POST',
        address,
        path: PLACE_PATH,
        body: placementRequest(request, without),
        timeoutMs: settings.placeWaitMs ?? 2_000,
      });
      if (!response.ok) {
        unresponsiveAt.set(address, clock.mono());
        continue;
      }
      unresponsiveAt.delete(address);
      const placement = readPlacement(response.value.body);
      if (response.value.status === 200 && placement.ok) return ok(placement.value);
      const failure = failureOf(response.value, null);
      if (!failure) continue;
      refusal = failure;
      if (failure.tag !== 'failed' || failure.failure.tag !== 'shed' || failure.failure.reason !== 'notReady')
        return failed(failure);
    }
    return failed(refusal);
  }

  function worthAnother(error: ClientError | null): boolean {
    if (error === null || error.tag !== 'failed' || error.failure.tag !== 'shed') return false;
    const { reason } = error.failure;
    return reason === 'ticketForeign' || reason === 'ticketExpired' || reason === 'stopping' || reason === 'notReady';
  }

  async function submit(request: ClientRequest, stream: boolean): Promise<ClientResult<Opened>> {
    const silent: string[] = [];
    for (let tries = 1; ; tries += 1) {
      const placement = await place(request, silent);
      if (!placement.ok) return placement;
      const { address, ticket: token, requestId } = placement.value;
      const stop = new AbortController();
      const leave = edges.follow(address, stop.abort.bind(stop));
      const response = await httpClient.call({
        method: 'POST',
        address,
        path: REQUESTS_PATH,
        signal: stop.signal,
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
      if (!response.ok || !stream || response.value.status !== 200) leave();
      if (!response.ok) {
        silent.push(placement.value.proxy);
        if (response.error.tag === 'neverSent' && tries < PLACINGS) continue;
        return failed(response.error.tag === 'neverSent' ? { tag: 'noProxy' } : { tag: 'outcomeUnknown', requestId });
      }
      if (response.value.status === 200) return ok({ placement: placement.value, answer: response.value, leave });
      const failure = failureOf(response.value, requestId);
      if (worthAnother(failure) && tries < PLACINGS) continue;
      return failed(failure ?? { tag: 'outcomeUnknown', requestId });
    }
  }

  async function send(request: ClientRequest): Promise<ClientResult<ClientAnswer>> {
    const opened = await submit(request, false);
    if (!opened.ok) return opened;
    const { requestId } = opened.value.placement;
    const read = readAnswer(opened.value.answer.body);
    if (!read.ok) return failed({ tag: 'wrongSeal', requestId });
    const check = startDigest(requestId, null);
    let text = '';
    for (const piece of read.value.pieces) {
      if (addChunk(check, piece)) return failed({ tag: 'wrongSeal', requestId });
      text += piece.text;
    }
    if (verifyDigest(check, read.value.seal)) return failed({ tag: 'wrongSeal', requestId });
    return ok({ requestId, attemptId: read.value.seal.attemptId, text, pieces: read.value.pieces.length });
  }

  async function stream(request: ClientRequest): Promise<ClientResult<ClientStream>> {
    const opened = await submit(request, true);
    if (!opened.ok) return opened;
    const { requestId } = opened.value.placement;
    return ok({ requestId, events: watched(requestId, opened.value) });
  }

  async function* watched(requestId: string, opened: Opened): AsyncGenerator<ClientEvent> {
    try {
      yield* eventsOf(requestId, opened.answer);
    } finally {
      opened.leave();
    }
  }

  async function* eventsOf(requestId: string, answer: HttpAnswer): AsyncGenerator<ClientEvent> {
    const check = startDigest(requestId, null);
    for await (const line of answer.lines) {
      if (!line.ok) {
        yield faultEvent({ tag: 'outcomeUnknown', requestId });
        return;
      }
      const read = readAnswerLine(line.value);
      if (!read.ok) {
        answer.abandon();
        yield faultEvent({ tag: 'wrongSeal', requestId });
        return;
      }
      const at = read.value;
      if ('error' in at) {
        yield faultEvent({
          tag: 'failed',
          failure: at.error,
          retryAfterS: at.error.tag === 'cut' ? at.error.retryAfterS : 1,
          requestId,
        });
        return;
      }
      if ('seal' in at) {
        const wrong = verifyDigest(check, at.seal);
        yield wrong ? faultEvent({ tag: 'wrongSeal', requestId }) : { tag: 'sealed', attemptId: at.seal.attemptId };
        return;
      }
      if (addChunk(check, at.piece)) {
        answer.abandon();
        yield faultEvent({ tag: 'wrongSeal', requestId });
        return;
      }
      yield { tag: 'piece', n: at.piece.n, text: at.piece.text };
    }
    yield faultEvent({ tag: 'outcomeUnknown', requestId });
  }

  return { send, stream };
}
