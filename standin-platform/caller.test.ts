import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { createServer as createTcp } from 'node:net';
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import { createClock } from '../src/transport/clock.js';
import { createRng } from '../src/transport/rng.js';
import { checkRules } from './check.js';
import { documentToWire, MAPPING_DEFAULTS, MODEL_DEFAULTS } from './document.js';
import { createCaller, REQUEST_DEFAULTS } from './caller.js';
import type { Caller, CallerSpec, RequestSpec } from './caller.js';
import { createRecords, recordsOfType } from './records.js';
import type { RequestKind, Records } from './records.js';
import { createStandinWorker } from './worker.js';
import { ENGINE_DEFAULTS, WORKER_DEFAULTS } from './worker-spec.js';
import type { StandinWorker, WorkerSpec } from './worker-spec.js';

const clock = createClock();
const HOST = 'ficu95.example';
let records: Records;
let cleanups: (() => unknown)[];
let edgeAddresses: string[];
let ttlS: number;
let directoryRequests: string[];

beforeEach(() => {
  records = createRecords(clock.mono);
  cleanups = [];
  edgeAddresses = [];
  directoryRequests = [];
  ttlS = 2;
});
afterEach(async () => {
  for (const cleanup of cleanups.reverse()) await cleanup();
});

function listen(server: Server | ReturnType<typeof createTcp>): Promise<string> {
  return new Promise((done) => {
    server.listen(0, '127.0.0.1', () => {
      cleanups.push(
        () =>
          new Promise<void>((closed) => {
            server.close(() => closed());
            if ('closeAllConnections' in server) server.closeAllConnections();
          }),
      );
      done(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    });
  });
}
function startDirectory(): Promise<string> {
  const server = createServer((req, res) => {
    directoryRequests.push(req.url ?? '');
    res.end(JSON.stringify({ addresses: edgeAddresses, ttlS }));
  });
  return listen(server);
}
async function startWorker(over: Partial<WorkerSpec> = {}): Promise<StandinWorker> {
  const worker = createStandinWorker(
    {
      ...WORKER_DEFAULTS,
      ip: '127.0.0.1',
      port: 0,
      model: 'm1',
      zone: 'z',
      region: 'r',
      engine: ENGINE_DEFAULTS,
      ...over,
    },
    { clock, rng: createRng(7), records },
  );
  await worker.start();
  cleanups.push(worker.end);
  edgeAddresses.push(worker.seen().address);
  return worker;
}
async function createTestCaller(over: Partial<CallerSpec> = {}): Promise<Caller> {
  const created = createCaller(
    {
      name: 'o',
      zone: 'z',
      region: 'r',
      directories: [await startDirectory()],
      keepConnections: true,
      ttlFactor: 1,
      ttlMaxS: 5,
      ...over,
    },
    { clock, rng: createRng(3), records },
  );
  cleanups.push(created.close);
  return created;
}
function requestSpec(kind: RequestKind, over: Partial<RequestSpec> = {}): RequestSpec {
  const streamFields = kind === 'stream' ? { tokens: '400,30', prefix: '5c1e07a2:300,91bd3f06:100' } : {};
  return { ...REQUEST_DEFAULTS, host: HOST, path: `/${kind}/1`, kind, ...streamFields, ...over };
}
function recordConfiguration(): void {
  const kinds: readonly RequestKind[] = ['repeatable', 'once', 'stream'];
  const mappings = kinds.map((kind) => ({
    ...MAPPING_DEFAULTS,
    name: kind,
    host: HOST,
    prefix: `/${kind}/`,
    kind,
    shares: [{ model: 'm1', share: 1 }],
  }));
  const document = documentToWire({ number: 1, mappings, models: [{ ...MODEL_DEFAULTS, name: 'm1' }] });
  records.add({ what: 'submitted', order: 'o-1', number: 1, base: 0, document, valid: true });
  records.add({ what: 'settled', order: 'o-1', outcome: 'acknowledged', status: 200 });
}

describe('the stand-in caller, connected directly to a worker', () => {
  test('gets responses to all three kinds, sent with a content length or chunked, and the judge finds no broken rule', async () => {
    await startWorker({ capacity: 64 });
    recordConfiguration();
    const caller = await createTestCaller();
    const kinds: readonly RequestKind[] = ['repeatable', 'once', 'stream'];
    const results = await Promise.all(
      Array.from({ length: 30 }, (_, i) => caller.call(requestSpec(kinds[i % 3] ?? 'once', { chunked: i % 2 === 0 }))),
    );
    expect(results.every((t) => t.succeeded && t.tries === 1)).toBe(true);
    expect(checkRules(records.all())).toEqual([]);
    expect(recordsOfType(records.all(), 'ran')).toHaveLength(30);
    expect(directoryRequests).toEqual(['/millfield/resolve?name=caller.example&region=r&zone=z']);
  });

  test('reuses a connection for many requests, obeys Connection: close, and asks the directory again after the TTL', async () => {
    await startWorker({ closeEvery: 3 });
    ttlS = 0.05;
    const caller = await createTestCaller();
    for (let i = 0; i < 5; i += 1) expect((await caller.call(requestSpec('once'))).succeeded).toBe(true);
    expect(recordsOfType(records.all(), 'arrived').map((a) => a.headers['connection'] ?? '')).toEqual([
      '',
      '',
      '',
      '',
      '',
    ]);
    expect(directoryRequests.length).toBeGreaterThan(1);
  });

  test('retries a repeatable request after any failure, with a new attempt id', async () => {
    const worker = await startWorker();
    worker.fault({ mode: 'lostAnswer', share: 1 });
    const caller = await createTestCaller();
    const result = caller.call(requestSpec('repeatable'));
    await records.until((r) => r.what === 'finished');
    worker.fault(null);
    expect(await result).toMatchObject({ succeeded: true, tries: 2 });
    const ids = recordsOfType(records.all(), 'asked').map((a) => a.attempt);
    expect(new Set(ids).size).toBe(2);
  });

  test('retries a run-once request only after a promise that it was not executed', async () => {
    const worker = await startWorker();
    worker.fault({ mode: 'fail', share: 1 });
    const caller = await createTestCaller();
    expect(await caller.call(requestSpec('once'))).toMatchObject({ succeeded: false, tries: 1, status: 500 });
    worker.fault({ mode: 'refuse', share: 1 });
    expect(await caller.call(requestSpec('once'))).toMatchObject({ succeeded: false, tries: 3, status: 503 });
  });

  test('obeys Retry-After up to a third of the remaining time', async () => {
    let requestCount = 0;
    const server = createServer((req, res) => {
      requestCount += 1;
      req.resume();
      res.writeHead(requestCount === 1 ? 503 : 404, { 'Retry-After': '0.15' });
      res.end();
    });
    edgeAddresses.push(await listen(server));
    const caller = await createTestCaller();
    expect(await caller.call(requestSpec('once'))).toMatchObject({ status: 404, tries: 2 });
    const [first, second] = recordsOfType(records.all(), 'asked');
    expect((second?.at ?? 0) - (first?.at ?? 0)).toBeGreaterThan(145);
    requestCount = 0;
    await caller.call(requestSpec('once', { deadlineMs: 150 }));
    const [, , third, fourth] = recordsOfType(records.all(), 'asked');
    expect((fourth?.at ?? 0) - (third?.at ?? 0)).toBeLessThan(140);
  });

  test('resumes a truncated resumable stream after the last event received', async () => {
    const worker = await startWorker();
    worker.fault({ mode: 'breakOff', share: 1 });
    const caller = await createTestCaller();
    const result = caller.call(requestSpec('stream', { resumable: true }));
    await records.until((r) => r.what === 'finished');
    worker.fault(null);
    expect(await result).toMatchObject({ succeeded: true, tries: 2 });
    const [, second] = recordsOfType(records.all(), 'asked');
    expect(second?.lastEvent).toBeGreaterThan(0);
  });

  test('aborts a stream that sends nothing', async () => {
    const worker = await startWorker();
    worker.setUnresponsive(true);
    const caller = await createTestCaller();
    expect(await caller.call(requestSpec('stream', { aimMs: 10, pauseMs: 10 }))).toMatchObject({ succeeded: false });
    expect(recordsOfType(records.all(), 'answered').map((a) => a.end)).toEqual(['silence']);
  });

  test('avoids addresses that failed', async () => {
    edgeAddresses.push('127.0.0.1:1');
    await startWorker();
    const caller = await createTestCaller({ keepConnections: false });
    for (let i = 0; i < 8; i += 1) expect((await caller.call(requestSpec('once'))).succeeded).toBe(true);
    expect(new Set(recordsOfType(records.all(), 'asked').map((a) => a.edge)).size).toBe(1);
  });

  test('records bytes that belong to no request, and the judge reports them', async () => {
    const response = 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na';
    const server = createTcp((socket: Socket) => socket.on('data', () => socket.write(response + response)));
    edgeAddresses.push(await listen(server));
    const caller = await createTestCaller({ keepConnections: false });
    await caller.call(requestSpec('once'));
    const texts = checkRules(records.all()).map((v) => v.text);
    expect(texts.some((t) => t.endsWith('sent a success where no request is waiting'))).toBe(true);
    expect(texts.some((t) => t.endsWith('got a success without a seal'))).toBe(true);
  });

  test('the judge reports surplus bytes of a worker that no proxy held back', async () => {
    const worker = await startWorker({ closeEvery: 1_000 });
    recordConfiguration();
    worker.fault({ mode: 'surplus', share: 1 });
    const caller = await createTestCaller();
    for (let i = 0; i < 3; i += 1) await caller.call(requestSpec('once'));
    expect(checkRules(records.all()).map((v) => v.rule)).toContain('MIXED');
  });
});
