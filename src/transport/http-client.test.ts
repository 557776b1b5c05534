import { createServer } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import { afterEach, describe, expect, test } from '@jest/globals';
import { createGotHttpClient } from './http-client.js';
import type { HttpClient } from './http.js';

const LIMITS = { maxResponseBytes: 100_000, maxLineBytes: 1_000, maxHeldBytes: 150_000 };
const MAX_SENT_BYTES = 64 * 1_048_576;
const servers: Server[] = [];
const client = createGotHttpClient(1_000, LIMITS);

afterEach(() => {
  for (const server of servers.splice(0)) server.close().closeAllConnections();
});

async function serve(answer: (res: ServerResponse) => void): Promise<string> {
  const server = createServer((_req, res) => answer(res));
  servers.push(server);
  await new Promise<void>((done) => server.listen(0, '127.0.0.1', () => done()));
  const address = server.address();
  return `127.0.0.1:${typeof address === 'object' ? address?.port : 0}`;
}
/** Sends the part again and again until the caller closes; returns how much was sent. */
function sendWithoutEnd(res: ServerResponse, part: string): { sent: number; isClosed: boolean } {
  const progress = { sent: 0, isClosed: false };
  function sendMore(): void {
    while (!res.destroyed && progress.sent < MAX_SENT_BYTES) {
      progress.sent += part.length;
      if (!res.write(part)) return;
    }
  }
  res.on('drain', sendMore);
  res.on('close', () => (progress.isClosed = true));
  sendMore();
  return progress;
}
function get(http: HttpClient, address: string, stream = false) {
  return http.call({ method: 'GET', address, path: '/', timeoutMs: 20_000, stream });
}

describe('a server that answers without end', () => {
  // Guards against a server that fills the memory of whoever calls it.
  test.each([
    ['in a body', false, '"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxx'],
    ['in a body in pieces of one byte', false, 'x'],
  ])('%s ends the call, and its connection', async (_where, stream, part) => {
    let progress = { sent: 0, isClosed: false };
    const address = await serve((res) => (progress = sendWithoutEnd(res, part)));
    expect(await get(client, address, stream)).toEqual({ ok: false, error: { tag: 'tooLarge' } });
    expect(progress.sent).toBeLessThan(MAX_SENT_BYTES);
  });

  test('in a line ends the stream after the lines before it', async () => {
    const address = await serve((res) => {
      res.setHeader('content-type', 'application/x-ndjson');
      res.write('{"n":1}\n');
      sendWithoutEnd(res, 'x');
    });
    const answer = await get(client, address, true);
    const lines: unknown[] = [];
    if (answer.ok) for await (const line of answer.value.lines) lines.push(line);
    expect(lines).toEqual([
      { ok: true, value: { n: 1 } },
      { ok: false, error: { tag: 'tooLarge' } },
    ]);
  });
});

test('responses that are received at the same time share a limit, and one that has ended frees its part', async () => {
  const waiting: ServerResponse[] = [];
  const address = await serve((res) => {
    res.write(JSON.stringify('x'.repeat(90_000)).slice(0, -1));
    waiting.push(res);
  });
  const calls = [get(client, address), get(client, address)];
  const first = await Promise.race(calls);
  expect(first).toEqual({ ok: false, error: { tag: 'tooLarge' } });
  for (const res of waiting) res.end('"');
  expect((await Promise.all(calls)).filter((answer) => answer.ok)).toHaveLength(1);
  const small = await serve((res) => res.end('"small"'));
  expect(await get(client, small)).toMatchObject({ ok: true, value: { body: 'small' } });
});

test.each(['POST', 'DELETE'] as const)('a %s without a body is sent', async (method) => {
  const address = await serve((res) => res.end('{}'));
  const answer = await client.call({ method, address, path: '/', timeoutMs: 5_000 });
  expect(answer).toMatchObject({ ok: true, value: { status: 200, body: {} } });
});
