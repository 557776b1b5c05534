/** Stand-in of callers: sends run-once requests and streams at random times, and records each result in the journal. */
import { createClientOver } from '../client/client.js';
import type { ClientRequest, ClientError } from '../client/client.js';
import { sha256 } from '../base/digest.js';
import { runKey } from '../state/idempotency/run-key.js';
import { markedHash } from './mark.js';
import { delay } from '../transport/clock.js';
import type { Clock } from '../transport/clock.js';
import type { HttpClient } from '../transport/http.js';
import type { Journal } from '../transport/journal.js';
import { randomInt, newId, exponential } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import type { Address } from '../transport/wire.js';
import { ownValue, setOwnValue } from '../base/own-value.js';

/** Traffic of a caller; `maxRetries` is how often it retries a run-once request that was not run. */
export type CallerSettings = {
  readonly name: string;
  readonly proxies: readonly Address[];
  readonly zone: string;
  readonly runOnceModel: string | null;
  readonly streamModels: readonly string[];
  readonly kind: string | null;
  readonly perSecond: number;
  readonly seconds: number;
  readonly runOnceShare: number;
  readonly prefixes: number;
  readonly maxRetries: number;
  readonly historyTokens?: number;
  readonly outputTokens?: number;
  readonly homes?: readonly string[];
};

type Received = { readonly text: string; readonly pieces: number };

/** Counts of results. */
export type CallerCounts = Record<string, number>;

/** Dependencies of a caller. */
export type CallerDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly httpClient: HttpClient;
  readonly journal: Journal;
};

/** A short name of an error, for counts and journals. */
export function errorLabel(error: ClientError): string {
  if (error.tag !== 'failed') return error.tag;
  return error.failure.tag === 'shed' ? `shed:${error.failure.reason}` : error.failure.tag;
}

/** Whether the error promises that the request was not run, so that the caller may send it again. */
export function isNotRun(error: ClientError): boolean {
  return error.tag === 'noProxy' || (error.tag === 'failed' && error.failure.tag === 'shed');
}

/** Sends requests for the given time and waits for all responses; returns the counts. */
export async function runCaller(settings: CallerSettings, deps: CallerDeps): Promise<CallerCounts> {
  const { clock, rng, journal } = deps;
  const client = createClientOver({ proxies: settings.proxies, zone: settings.zone }, deps.httpClient, clock);
  const tally: CallerCounts = {};
  const inFlight = new Set<Promise<void>>();
  const endAt = clock.mono() + settings.seconds * 1_000;

  function increment(key: string): void {
    setOwnValue(tally, key, (ownValue(tally, key) ?? 0) + 1);
  }

  function writeRecord(
    submission: string,
    request: ClientRequest,
    startedAt: number,
    firstPieceAt: number | null,
    result: string,
    requestId: string | null,
    received: Received | null,
    attemptId: string | null,
  ): void {
    increment(request.repeatable ? `stream ${result}` : `once ${result}`);
    journal.record({
      who: 'caller',
      caller: settings.name,
      zone: settings.zone,
      at: clock.wall(),
      submission,
      requestId,
      attemptId,
      key: request.key ?? null,
      model: request.model ?? null,
      repeatable: request.repeatable,
      homes: request.homes ?? null,
      kind: request.kind ?? null,
      result,
      text: received === null ? null : sha256(received.text),
      pieces: received?.pieces ?? 0,
      firstMs: firstPieceAt === null ? null : Math.round(firstPieceAt - startedAt),
      wholeMs: Math.round(clock.mono() - startedAt),
    });
  }

  async function sendRunOnce(): Promise<void> {
    const key = runKey(newId(rng, 'key'), clock.wall());
    const request: ClientRequest = {
      model: settings.runOnceModel as string,
      ...(settings.kind === null ? {} : { kind: settings.kind }),
      ...(settings.homes ? { homes: settings.homes } : {}),
      parts: [
        {
          hash: markedHash({ key, kind: settings.kind, homes: settings.homes ?? null }, newId(rng, 'card')),
          tokens: 24,
        },
      ],
      outputTokens: 8,
      repeatable: false,
      key,
    };
    for (let retries = 0; ; retries += 1) {
      const startedAt = clock.mono();
      const submission = newId(rng, 'sub');
      const result = await client.send(request);
      if (result.ok) {
        writeRecord(
          submission,
          request,
          startedAt,
          clock.mono(),
          'success',
          result.value.requestId,
          { text: result.value.text, pieces: result.value.pieces },
          result.value.attemptId,
        );
        return;
      }
      const { error } = result;
      writeRecord(
        submission,
        request,
        startedAt,
        null,
        errorLabel(error),
        'requestId' in error ? error.requestId : null,
        null,
        null,
      );
      if (!isNotRun(error) || retries >= settings.maxRetries) return;
      await delay(clock, 1_000 * (error.tag === 'failed' ? Math.max(1, error.retryAfterS) : 1));
    }
  }

  async function sendStream(): Promise<void> {
    const model = settings.streamModels[randomInt(rng, settings.streamModels.length)] as string;
    const prefix = randomInt(rng, settings.prefixes);
    const request: ClientRequest = {
      model,
      parts: [
        { hash: `${model}-rules`, tokens: 400 },
        { hash: `${model}-history-${prefix}`, tokens: settings.historyTokens ?? 1_500 },
        {
          hash: markedHash({ key: null, kind: null, homes: settings.homes ?? null }, newId(rng, 'case')),
          tokens: 60 + randomInt(rng, 200),
        },
      ],
      outputTokens: settings.outputTokens ?? 40 + randomInt(rng, 120),
      repeatable: true,
      ...(settings.homes ? { homes: settings.homes } : {}),
    };
    const startedAt = clock.mono();
    const submission = newId(rng, 'sub');
    const result = await client.stream(request);
    if (!result.ok) {
      writeRecord(
        submission,
        request,
        startedAt,
        null,
        errorLabel(result.error),
        'requestId' in result.error ? result.error.requestId : null,
        null,
        null,
      );
      return;
    }
    const received = { text: '', pieces: 0 };
    let firstPieceAt: number | null = null;
    for await (const clientEvent of result.value.events) {
      if (clientEvent.tag === 'piece') {
        firstPieceAt ??= clock.mono();
        received.text += clientEvent.text;
        received.pieces += 1;
      } else if (clientEvent.tag === 'sealed') {
        writeRecord(
          submission,
          request,
          startedAt,
          firstPieceAt,
          'success',
          result.value.requestId,
          received,
          clientEvent.attemptId,
        );
      } else
        writeRecord(
          submission,
          request,
          startedAt,
          firstPieceAt,
          errorLabel(clientEvent.error),
          result.value.requestId,
          received,
          null,
        );
    }
  }

  while (clock.mono() < endAt) {
    const isRunOnce =
      settings.runOnceModel !== null && (settings.streamModels.length === 0 || rng.next() < settings.runOnceShare);
    const request = isRunOnce ? sendRunOnce() : sendStream();
    inFlight.add(request);
    void request.then(onDone);
    function onDone(): void {
      inFlight.delete(request);
    }
    await delay(clock, (exponential(rng) * 1_000) / settings.perSecond);
  }
  await Promise.all([...inFlight]);
  return tally;
}
