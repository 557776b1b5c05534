import { createClientOver } from '../client/client.js';
import type { ClientRequest, ClientError } from '../client/client.js';
import { sha256 } from '../base/digest.js';
import { runKey } from '../state/idempotency/run-key.js';
import { bootstrapDigest } from './mark.js';
import { delay } from '../transport/clock.js';
import type { Clock } from '../transport/clock.js';
import type { HttpClient } from '../transport/http.js';
import type { Journal } from '../transport/journal.js';
import { below, newId, exponential } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import type { Address } from '../transport/wire.js';

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
  readonly patience: number;
  readonly historyTokens?: number;
  readonly outputTokens?: number;
  readonly homes?: readonly string[];
};

type Given = { readonly text: string; readonly pieces: number };

export type CallerTally = Record<string, number>;

export type CallerDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly httpClient: HttpClient;
  readonly journal: Journal;
};

export function tagOf(error: ClientError): string {
  if (error.tag !== 'failed') return error.tag;
  return error.failure.tag === 'shed' ? `shed:${error.failure.reason}` : error.failure.tag;
}

export function isNotRun(error: ClientError): boolean {
  return error.tag === 'noProxy' || (error.tag === 'failed' && error.failure.tag === 'shed');
}

export async function runCaller(callerSettings: CallerSettings, deps: CallerDeps): Promise<CallerTally> {
  const { clock, rng, journal } = deps;
  const client = createClientOver(
    { proxies: callerSettings.proxies, zone: callerSettings.zone },
    deps.httpClient,
    clock,
  );
  const tally: CallerTally = {};
  const open = new Set<Promise<void>>();
  const until = clock.mono() + callerSettings.seconds * 1_000;

  function count(what: string): void {
    tally[what] = (tally[what] ?? 0) + 1;
  }

  function note(
    submission: string,
    ask: ClientRequest,
    startedAt: number,
    firstAt: number | null,
    result: string,
    requestId: string | null,
    given: Given | null,
    attemptId: string | null,
  ): void {
    count(ask.repeatable ? `stream ${result}` : `once ${result}`);
    journal.record({
      who: 'caller',
      caller: callerSettings.name,
      zone: callerSettings.zone,
      at: clock.wall(),
      submission,
      requestId,
      attemptId,
      key: ask.key ?? null,
      model: ask.model ?? null,
      repeatable: ask.repeatable,
      homes: ask.homes ?? null,
      kind: ask.kind ?? null,
      result,
      text: given === null ? null : sha256(given.text),
      pieces: given?.pieces ?? 0,
      firstMs: firstAt === null ? null : Math.round(firstAt - startedAt),
      wholeMs: Math.round(clock.mono() - startedAt),
    });
  }

  async function card(): Promise<void> {
    const key = runKey(newId(rng, 'key'), clock.wall());
    const ask: ClientRequest = {
      model: callerSettings.runOnceModel as string,
      ...(callerSettings.kind === null ? {} : { kind: callerSettings.kind }),
      ...(callerSettings.homes ? { homes: callerSettings.homes } : {}),
      parts: [
        {
          hash: bootstrapDigest(
            { key, kind: callerSettings.kind, homes: callerSettings.homes ?? null },
            newId(rng, 'card'),
          ),
          tokens: 24,
        },
      ],
      outputTokens: 8,
      repeatable: false,
      key,
    };
    for (let tries = 0; ; tries += 1) {
      const startedAt = clock.mono();
      const submission = newId(rng, 'sub');
      const got = await client.send(ask);
      if (got.ok) {
        note(
          submission,
          ask,
          startedAt,
          clock.mono(),
          'success',
          got.value.requestId,
          { text: got.value.text, pieces: got.value.pieces },
          got.value.attemptId,
        );
        return;
      }
      const { error } = got;
      note(submission, ask, startedAt, null, tagOf(error), 'requestId' in error ? error.requestId : null, null, null);
      if (!isNotRun(error) || tries >= callerSettings.patience) return;
      await delay(clock, 1_000 * (error.tag === 'failed' ? Math.max(1, error.retryAfterS) : 1));
    }
  }

  async function summary(): Promise<void> {
    const model = callerSettings.streamModels[below(rng, callerSettings.streamModels.length)] as string;
    const prefix = below(rng, callerSettings.prefixes);
    const ask: ClientRequest = {
      model,
      parts: [
        { hash: `${model}-rules`, tokens: 400 },
        { hash: `${model}-history-${prefix}`, tokens: callerSettings.historyTokens ?? 1_500 },
        {
          hash: bootstrapDigest({ key: null, kind: null, homes: callerSettings.homes ?? null }, newId(rng, 'case')),
          tokens: 60 + below(rng, 200),
        },
      ],
      outputTokens: callerSettings.outputTokens ?? 40 + below(rng, 120),
      repeatable: true,
      ...(callerSettings.homes ? { homes: callerSettings.homes } : {}),
    };
    const startedAt = clock.mono();
    const submission = newId(rng, 'sub');
    const got = await client.stream(ask);
    if (!got.ok) {
      note(
        submission,
        ask,
        startedAt,
        null,
        tagOf(got.error),
        'requestId' in got.error ? got.error.requestId : null,
        null,
        null,
      );
      return;
    }
    const given = { text: '', pieces: 0 };
    let firstAt: number | null = null;
    for await (const clientEvent of got.value.events) {
      if (clientEvent.tag === 'piece') {
        firstAt ??= clock.mono();
        given.text += clientEvent.text;
        given.pieces += 1;
      } else if (clientEvent.tag === 'sealed') {
        note(submission, ask, startedAt, firstAt, 'success', got.value.requestId, given, clientEvent.attemptId);
      } else note(submission, ask, startedAt, firstAt, tagOf(clientEvent.error), got.value.requestId, given, null);
    }
  }

  while (clock.mono() < until) {
    const once =
      callerSettings.runOnceModel !== null &&
      (callerSettings.streamModels.length === 0 || rng.next() < callerSettings.runOnceShare);
    const work = once ? card() : summary();
    open.add(work);
    void work.then(done);
    function done(): void {
      open.delete(work);
    }
    await delay(clock, (exponential(rng) * 1_000) / callerSettings.perSecond);
  }
  await Promise.all([...open]);
  return tally;
}
