import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { createServer as createTcp } from 'node:net';
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import { createClock } from '../src/transport/clock.js';
import { createRng } from '../src/transport/rng.js';
import { judge } from './check.js';
import { documentToWire, MAPPING_DEFAULTS, MODEL_DEFAULTS } from './document.js';
import { createCaller, WISH_DEFAULTS } from './caller.js';
import type { Caller, CallerSpec, Wish } from './caller.js';
import { createRecords, onlyOf } from './records.js';
import type { Kind, Records } from './records.js';
import { createStandinWorker } from './worker.js';
import { ENGINE_DEFAULTS, WORKER_DEFAULTS } from './worker-spec.js';
import type { StandinWorker, WorkerSpec } from './worker-spec.js';

const clock = createClock();
const HOST = 'ficu95.example';
let records: Records;
let ends: (() => unknown)[];
let addresses: string[];
let ttlS: number;
let requests: string[];

beforeEach(() => {
  records = createRecords(clock.mono);
  ends = [];
  addresses = [];
  requests = [];
  ttlS = 2;
});
afterEach(async () => {
  for (const end of ends.reverse()) await end();
});

function listen(server: Server | ReturnType<typeof createTcp>): Promise<string> {
  return new Promise((done) => {
    server.listen(0, '127.0.0.1', () => {
      ends.push(
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
function directory(): Promise<string> {
  const server = createServer((req, res) => {
    requests.push(req.url ?? '');
    res.end(JSON.stringify({ addresses, ttlS }));
  });
  return listen(server);
}
async function worker(over: Partial<WorkerSpec> = {}): Promise<StandinWorker> {
  const w = createStandinWorker(
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
  await w.start();
  ends.push(w.end);
  addresses.push(w.seen().address);
  return w;
}
async function caller(over: Partial<CallerSpec> = {}): Promise<Caller> {
  const o = createCaller(
    {
      name: 'o',
      zone: 'z',
      region: 'r',
      directories: [await directory()],
      keepConnections: true,
      ttlFactor: 1,
      ttlMaxS: 5,
      ...over,
    },
    { clock, rng: createRng(3), records },
  );
  ends.push(o.close);
  return o;
}
function wish(kind: Kind, over: Partial<Wish> = {}): Wish {
  const stream = kind === 'stream' ? { tokens: '400,30', prefix: '5c1e07a2:300,91bd3f06:100' } : {};
  return { ...WISH_DEFAULTS, host: HOST, path: `/${kind}/1`, kind, ...stream, ...over };
}
function configured(): void {
  const kinds: readonly Kind[] = ['repeatable', 'once', 'stream'];
  const mappings = kinds.map((kind) => ({
    ...MAPPING_DEFAULTS,
    name: kind,
    host: HOST,
    prefix: `/${kind}/`,
    kind,
    shares: [{ model: 'm1', share: 1 }],
  }));
  const document = documentToWire({ number: 1, mappings, models: [{ ...MODEL_DEFAULTS, name: 'm1' }] });
  records.note({ what: 'submitted', order: 'o-1', number: 1, base: 0, document, valid: true });
  records.note({ what: 'settled', order: 'o-1', outcome: 'acknowledged', status: 200 });
}

describe('the stand-in caller, straight to a worker', () => {
  test('is served all three kinds, with lengths and in chunks, and the judge finds nothing', async () => {
    await worker({ capacity: 64 });
    configured();
    const o = await caller();
    const kinds: readonly Kind[] = ['repeatable', 'once', 'stream'];
    const told = await Promise.all(
      Array.from({ length: 30 }, (_, i) => o.call(wish(kinds[i % 3] ?? 'once', { chunked: i % 2 === 0 }))),
    );
    expect(told.every((t) => t.served && t.tries === 1)).toBe(true);
    expect(judge(records.all())).toEqual([]);
    expect(onlyOf(records.all(), 'ran')).toHaveLength(30);
    expect(requests).toEqual(['/millfield/resolve?name=caller.example&region=r&zone=z']);
  });

  test('keeps a connection for many requests, heeds its closing, and asks the directory anew after the ttl', async () => {
    await worker({ closeEvery: 3 });
    ttlS = 0.05;
    const o = await caller();
    for (let i = 0; i < 5; i += 1) expect((await o.call(wish('once'))).served).toBe(true);
    expect(onlyOf(records.all(), 'arrived').map((a) => a.headers['connection'] ?? '')).toEqual(['', '', '', '', '']);
    expect(requests.length).toBeGreaterThan(1);
  });

  test('tries a repeatable request again after any failure, under a new id', async () => {
    const w = await worker();
    w.fault({ mode: 'lostAnswer', share: 1 });
    const o = await caller();
    const told = o.call(wish('repeatable'));
    await records.until((r) => r.what === 'finished');
    w.fault(null);
    expect(await told).toMatchObject({ served: true, tries: 2 });
    const ids = onlyOf(records.all(), 'asked').map((a) => a.attempt);
    expect(new Set(ids).size).toBe(2);
  });

  test('tries a run-once request again after a promise only', async () => {
    const w = await worker();
    w.fault({ mode: 'fail', share: 1 });
    const o = await caller();
    expect(await o.call(wish('once'))).toMatchObject({ served: false, tries: 1, status: 500 });
    w.fault({ mode: 'refuse', share: 1 });
    expect(await o.call(wish('once'))).toMatchObject({ served: false, tries: 3, status: 503 });
  });

  test('honours Retry-After up to a third of the time left', async () => {
    let hits = 0;
    const server = createServer((req, res) => {
      hits += 1;
      req.resume();
      res.writeHead(hits === 1 ? 503 : 404, { 'Retry-After': '0.15' });
      res.end();
    });
    addresses.push(await listen(server));
    const o = await caller();
    expect(await o.call(wish('once'))).toMatchObject({ status: 404, tries: 2 });
    const [first, second] = onlyOf(records.all(), 'asked');
    expect((second?.at ?? 0) - (first?.at ?? 0)).toBeGreaterThan(145);
    hits = 0;
    await o.call(wish('once', { deadlineMs: 150 }));
    const [, , third, fourth] = onlyOf(records.all(), 'asked');
    expect((fourth?.at ?? 0) - (third?.at ?? 0)).toBeLessThan(140);
  });

  test('takes a resumable stream up where it was cut', async () => {
    const w = await worker();
    w.fault({ mode: 'breakOff', share: 1 });
    const o = await caller();
    const told = o.call(wish('stream', { resumable: true }));
    await records.until((r) => r.what === 'finished');
    w.fault(null);
    expect(await told).toMatchObject({ served: true, tries: 2 });
    const [, second] = onlyOf(records.all(), 'asked');
    expect(second?.lastEvent).toBeGreaterThan(0);
  });

  test('gives a silent stream up', async () => {
    const w = await worker();
    w.dark(true);
    const o = await caller();
    expect(await o.call(wish('stream', { aimMs: 10, pauseMs: 10 }))).toMatchObject({ served: false });
    expect(onlyOf(records.all(), 'answered').map((a) => a.end)).toEqual(['silence']);
  });

  test('leaves out addresses that failed it', async () => {
    addresses.push('127.0.0.1:1');
    await worker();
    const o = await caller({ keepConnections: false });
    for (let i = 0; i < 8; i += 1) expect((await o.call(wish('once'))).served).toBe(true);
    expect(new Set(onlyOf(records.all(), 'asked').map((a) => a.edge)).size).toBe(1);
  });

  test('journals bytes that belong to no request, and the judge names them', async () => {
    const whole = 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na';
    const server = createTcp((socket: Socket) => socket.on('data', () => socket.write(whole + whole)));
    addresses.push(await listen(server));
    const o = await caller({ keepConnections: false });
    await o.call(wish('once'));
    const texts = judge(records.all()).map((v) => v.text);
    expect(texts.some((t) => t.endsWith('sent a success where no request is waiting'))).toBe(true);
    expect(texts.some((t) => t.endsWith('got a success without a seal'))).toBe(true);
  });

  test('the judge names surplus bytes of a worker that nobody held back', async () => {
    const w = await worker({ closeEvery: 1_000 });
    configured();
    w.fault({ mode: 'surplus', share: 1 });
    const o = await caller();
    for (let i = 0; i < 3; i += 1) await o.call(wish('once'));
    expect(judge(records.all()).map((v) => v.rule)).toContain('MIXED');
  });
});
