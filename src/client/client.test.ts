import { describe, expect, test } from '@jest/globals';
import { createClientOver } from './client.js';
import type { ClientEvent } from './client.js';
import { createClock } from '../transport/clock.js';
import type { HttpAnswer, HttpClient } from '../transport/http.js';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';

const REQUEST = { parts: [{ hash: 'a', tokens: 3, text: 'a b c' }], outputTokens: 2, repeatable: true };
const PLACEMENT = { proxy: 'p1', address: '127.0.0.1:7300', ticket: 'token', requestId: 'r1', expiresInMs: 900 };

async function* brokenLines(): AsyncGenerator<Result<unknown, 'cut'>> {
  yield err('cut');
}

function answer(body: unknown): HttpAnswer {
  return { status: 200, headers: {}, body, lines: brokenLines(), abandon: () => undefined } as unknown as HttpAnswer;
}

function clientOver(call: () => Promise<unknown>): ReturnType<typeof createClientOver> {
  const httpClient = { call } as unknown as HttpClient;
  return createClientOver({ proxies: ['127.0.0.1:7300'] }, httpClient, createClock());
}

describe('a failed call of the client', () => {
  test('returns its error under the current and the former name', async () => {
    const client = clientOver(async () => Promise.resolve(err({ tag: 'neverSent' })));
    expect(await client.send(REQUEST)).toEqual({ ok: false, error: { tag: 'noProxy' }, fault: { tag: 'noProxy' } });
  });

  test('ends a truncated stream with the error under both names', async () => {
    const client = clientOver(async () => Promise.resolve(ok(answer(PLACEMENT))));
    const started = await client.stream(REQUEST);
    if (!started.ok) throw new Error(JSON.stringify(started.error));
    const events: ClientEvent[] = [];
    for await (const event of started.value.events) events.push(event);
    const error = { tag: 'outcomeUnknown', requestId: 'r1' };
    expect(events).toEqual([{ tag: 'fault', error, fault: error }]);
  });
});
