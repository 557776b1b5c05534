import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import { createClock } from '../src/transport/clock.js';
import { createRng } from '../src/transport/rng.js';
import { openConnection } from './client.js';
import type { ExchangeResult, Connection } from './client.js';
import { createRecords, onlyOf } from './records.js';
import type { Records } from './records.js';
import { createStandinWorker } from './worker.js';
import { ENGINE_DEFAULTS, WORKER_DEFAULTS } from './worker-spec.js';
import type { StandinWorker, WorkerSpec } from './worker-spec.js';

const clock = createClock();
const ID = '9c41d07be2a35f68';
const PLAIN = `POST /pule252/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Millfield-Attempt-Id: ${ID}\r\nX-Millfield-Deadline-Ms: 4000\r\n`;
const STREAM = `POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Millfield-Attempt-Id: ${ID}\r\nX-Millfield-Model: m\r\nX-Millfield-Token-Counts: 1460,20\r\nX-Millfield-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nX-Millfield-Deadline-Ms: 5000\r\n`;

let records: Records;
let connections: Connection[];
let strays: string[];
let workers: StandinWorker[];

beforeEach(() => {
  records = createRecords(clock.mono);
  connections = [];
  strays = [];
  workers = [];
});
afterEach(async () => {
  for (const c of connections) c.close();
  for (const w of workers) await w.end();
});

async function startWorker(over: Partial<WorkerSpec> = {}): Promise<StandinWorker> {
  const w = createStandinWorker(
    { ...WORKER_DEFAULTS, ip: '127.0.0.1', port: 0, model: 'm1', zone: 'z', region: 'r', ...over },
    { clock, rng: createRng(7), records },
  );
  workers.push(w);
  await w.start();
  return w;
}
async function connect(w: StandinWorker): Promise<Connection> {
  const c = await openConnection(w.seen().address, clock, { onStrayBytes: (text) => strays.push(text) });
  if (!c) throw new Error('no connection');
  connections.push(c);
  return c;
}
function send(
  c: Connection,
  head: string,
  body = 'hello',
  onBody: (b: Buffer) => void = () => undefined,
): Promise<ExchangeResult> {
  return c.exchange(
    [Buffer.from(`${head}Content-Length: ${body.length}\r\n\r\n${body}`)],
    { deadlineMs: 5_000, inactivityTimeoutMs: null },
    onBody,
    () => undefined,
  );
}
async function sendOnNewConnection(w: StandinWorker, head: string): Promise<ExchangeResult> {
  return send(await connect(w), head);
}
async function get(w: StandinWorker, path: string): Promise<ExchangeResult> {
  const c = await connect(w);
  return c.exchange(
    [Buffer.from(`GET ${path} HTTP/1.1\r\nHost: w\r\n\r\n`)],
    { deadlineMs: 5_000, inactivityTimeoutMs: null },
    () => undefined,
    () => undefined,
  );
}
function recordTypes(): string[] {
  return records.all().map((r) => r.what);
}

describe('the stand-in worker, as the page describes it', () => {
  test('responds with a seal and the attempt id, and records the visit', async () => {
    const w = await startWorker();
    const a = await sendOnNewConnection(w, PLAIN);
    expect(a.end).toBe('whole');
    expect(a.head?.status).toBe(200);
    expect(a.head?.headers.get('x-millfield-attempt-id')).toBe(ID);
    expect(a.head?.headers.get('x-millfield-server-seal')).toMatch(/^[0-9a-f.]+$/);
    expect(recordTypes()).toEqual(['life', 'arrived', 'ran', 'finished']);
    const [seen] = onlyOf(records.all(), 'arrived');
    expect(seen).toMatchObject({
      attempt: ID,
      method: 'POST',
      path: '/pule252/2f',
      host: 'ficu95.example',
      deadlineMs: 4_000,
    });
  });

  test('responds with 421 if another worker is expected and with 400 without an attempt id, and runs neither', async () => {
    const w = await startWorker();
    const other = await sendOnNewConnection(w, `${PLAIN}X-Millfield-Expect-Worker: i-02d9e6b4\r\n`);
    expect(other.head?.status).toBe(421);
    expect(other.head?.headers.get('x-millfield-worker-id')).toBe(w.seen().id);
    const own = await sendOnNewConnection(w, `${PLAIN}X-Millfield-Expect-Worker: ${w.seen().id}\r\n`);
    expect(own.head?.status).toBe(200);
    const none = await sendOnNewConnection(w, 'POST /x HTTP/1.1\r\nHost: h\r\n');
    expect(none.head?.status).toBe(400);
    expect(onlyOf(records.all(), 'ran')).toHaveLength(1);
  });

  test('gets a new id when it starts again after a crash', async () => {
    const w = await startWorker();
    const before = w.seen().id;
    await w.crash();
    expect(w.seen().phase).toBe('gone');
    await w.start({ model: 'other' });
    expect(w.seen().id).not.toBe(before);
    expect(w.seen().model).toBe('other');
    const a = await sendOnNewConnection(w, `${PLAIN}X-Millfield-Expect-Worker: ${before}\r\n`);
    expect(a.head?.status).toBe(421);
  });

  test('rejects with 503 and not executed when it is full, and when the deadline passes in the queue', async () => {
    const w = await startWorker({ capacity: 1, queue: 1, workMs: 200 });
    const first = sendOnNewConnection(w, PLAIN);
    await records.until((r) => r.what === 'ran');
    const queued = sendOnNewConnection(w, PLAIN.replace('4000', '30'));
    await records.until((r) => r.what === 'arrived' && r.deadlineMs === 30);
    const full = await sendOnNewConnection(w, PLAIN);
    expect(full.head?.status).toBe(503);
    expect(full.head?.headers.get('x-millfield-not-executed')).toBe('1');
    expect((await queued).head?.status).toBe(503);
    expect((await first).head?.status).toBe(200);
    expect(onlyOf(records.all(), 'ran')).toHaveLength(1);
  });

  test('runs the more urgent queued requests first', async () => {
    const w = await startWorker({ capacity: 1, queue: 4, workMs: 60 });
    const all = [sendOnNewConnection(w, PLAIN)];
    await records.until((r) => r.what === 'ran');
    for (const urgency of [7, 1, 4]) {
      all.push(sendOnNewConnection(w, `${PLAIN}X-Millfield-Urgency-Class: ${urgency}\r\n`));
      await records.until((r) => r.what === 'arrived' && r.headers['x-millfield-urgency-class'] === String(urgency));
    }
    await Promise.all(all);
    const urgencies = new Map(
      onlyOf(records.all(), 'arrived').map((r) => [r.visit, r.headers['x-millfield-urgency-class']]),
    );
    expect(onlyOf(records.all(), 'ran').map((r) => urgencies.get(r.visit))).toEqual([undefined, '1', '4', '7']);
  });

  test('streams events with increasing ids, and continues after Last-Event-Id', async () => {
    const w = await startWorker({ engine: ENGINE_DEFAULTS });
    const complete = await sendOnNewConnection(w, STREAM);
    expect(complete.head?.headers.get('content-type')).toBe('text/event-stream');
    expect([...complete.body.toString().matchAll(/^id: (\d+)$/gm)].map((m) => m[1])).toEqual(['5', '10', '15', '20']);
    const rest = await sendOnNewConnection(w, `${STREAM}Last-Event-Id: 10\r\n`);
    expect([...rest.body.toString().matchAll(/^id: (\d+)$/gm)].map((m) => m[1])).toEqual(['15', '20']);
  });

  test('announces a change of its weights inside the stream, and rejects a request that expects other weights', async () => {
    const w = await startWorker({ engine: ENGINE_DEFAULTS });
    const c = await connect(w);
    let loaded = false;
    const a = await send(c, STREAM, 'x', () => {
      if (!loaded) w.loadWeights(2);
      loaded = true;
    });
    expect(a.head?.headers.get('x-millfield-weight-versions')).toBe('1');
    expect(a.body.toString()).toMatch(/\n\nx-millfield-weight-versions: 2\nid: \d+\n/);
    expect((await sendOnNewConnection(w, `${STREAM}X-Millfield-Expect-Version: 1\r\n`)).head?.status).toBe(421);
  });

  test('does not read cached parts of a prompt a second time', async () => {
    const w = await startWorker({ engine: { ...ENGINE_DEFAULTS, tokensPerMs: 5 } });
    const times: number[] = [];
    for (let i = 0; i < 2; i += 1) {
      const startedAt = clock.mono();
      await sendOnNewConnection(w, STREAM.replace(',20', ',1'));
      times.push(clock.mono() - startedAt);
    }
    expect(times[0]).toBeGreaterThan(1_460 / 5);
    expect(times[1]).toBeLessThan(1_460 / 5);
  });

  test('reports its health, its remaining cold period and its load', async () => {
    const w = await startWorker();
    w.startColdPeriod(5_000);
    const cold = await get(w, '/health');
    expect([cold.head?.status, cold.head?.headers.get('x-millfield-worker-id')]).toEqual([200, w.seen().id]);
    expect(Number(cold.head?.headers.get('x-millfield-cold-ms'))).toBeGreaterThan(3_000);
    const report = JSON.parse((await get(w, '/millfield/report')).body.toString()) as Record<string, unknown>;
    expect(Object.keys(report).sort()).toEqual([
      'active',
      'callCount',
      'kvInUse',
      'kvTotal',
      'models',
      'queued',
      'sessions',
      'stage',
      'utilisation',
    ]);
    w.drain(null);
    const leaving = await get(w, '/health');
    expect([leaving.head?.status, leaving.head?.headers.get('connection')]).toEqual([503, 'close']);
    w.setAlwaysHealthy(true);
    expect((await get(w, '/health')).head?.status).toBe(200);
  });

  test('still serves while it drains, and ends when its remaining time is over', async () => {
    const w = await startWorker({ workMs: 2_000 });
    w.drain(40);
    const a = sendOnNewConnection(w, PLAIN);
    await records.until((r) => r.what === 'life' && r.event === 'ended');
    expect((await a).end).toBe('cut');
    expect(await openConnection(w.seen().address, clock, { onStrayBytes: () => undefined })).toBeNull();
  });

  test('resets connections above its maximum, and idle ones on demand', async () => {
    const w = await startWorker({ maxConns: 2 });
    const c = await connect(w);
    await connect(w);
    const third = await openConnection(w.seen().address, clock, { onStrayBytes: () => undefined });
    expect(third === null ? 'cut' : (await send(third, PLAIN)).end).toBe('cut');
    expect((await send(c, PLAIN)).end).toBe('whole');
    w.resetIdle();
    expect((await send(c, PLAIN)).end).toBe('cut');
  });

  test('crashes when it is overloaded while cold', async () => {
    const w = await startWorker({ coldRateS: 1, capacity: 64, queue: 64 });
    w.startColdPeriod(5_000);
    await Promise.all(Array.from({ length: 16 }, () => sendOnNewConnection(w, PLAIN)));
    expect(onlyOf(records.all(), 'life').map((l) => l.event)).toEqual(['started', 'cold', 'fellOver', 'crashed']);
  });

  test('sends nothing while it is unresponsive, and responds afterwards', async () => {
    const w = await startWorker();
    w.dark(true);
    let answered = false;
    const a = sendOnNewConnection(w, PLAIN).then((x) => {
      answered = true;
      return x;
    });
    const c = await connect(w);
    const silent = await c.exchange(
      [Buffer.from(`${PLAIN}\r\n`)],
      { deadlineMs: 100, inactivityTimeoutMs: null },
      () => undefined,
      () => undefined,
    );
    expect([silent.end, answered]).toEqual(['deadline', false]);
    w.dark(false);
    expect((await a).head?.status).toBe(200);
  });

  test('drops a request whose connection closes', async () => {
    const w = await startWorker({ workMs: 60 });
    const c = await connect(w);
    void send(c, PLAIN);
    await records.until((r) => r.what === 'ran');
    c.close();
    const finished = await records.until((r) => r.what === 'finished');
    expect(finished).toMatchObject({ end: 'dropped' });
  });

  test('truncates, corrupts or loses a response, fails and rejects when such a fault is set', async () => {
    const w = await startWorker();
    w.fault({ mode: 'breakOff', share: 1 });
    const half = await sendOnNewConnection(w, PLAIN);
    expect([half.end, half.head?.status, half.body.length > 0]).toEqual(['cut', 200, true]);
    w.fault({ mode: 'garbage', share: 1 });
    expect((await sendOnNewConnection(w, PLAIN)).end).toBe('garbage');
    w.fault({ mode: 'lostAnswer', share: 1 });
    const lost = await sendOnNewConnection(w, PLAIN);
    expect([lost.end, lost.head]).toEqual(['cut', null]);
    w.fault({ mode: 'fail', share: 1 });
    const failed = await sendOnNewConnection(w, PLAIN);
    expect([failed.head?.status, failed.head?.headers.has('x-millfield-not-executed')]).toEqual([500, false]);
    w.fault({ mode: 'refuse', share: 1 });
    expect((await sendOnNewConnection(w, PLAIN)).head?.status).toBe(503);
    w.fault(null);
    expect((await sendOnNewConnection(w, PLAIN)).head?.status).toBe(200);
    expect(onlyOf(records.all(), 'ran')).toHaveLength(5);
  });

  test('sends bytes after a complete response, or a surplus response late, in place of the next one', async () => {
    const w = await startWorker();
    w.fault({ mode: 'behind', share: 1 });
    expect((await sendOnNewConnection(w, PLAIN)).end).toBe('whole');
    await records.until((r) => r.what === 'finished');
    expect(strays[0]).toMatch(/^HTTP\/1.1 200/);
    w.fault({ mode: 'surplus', share: 1 });
    const c = await connect(w);
    const first = await send(c, PLAIN);
    w.fault(null);
    const second = await send(c, PLAIN.replace(ID, 'aaaaaaaaaaaaaaaa'));
    expect(second.head?.headers.get('x-millfield-attempt-id')).toBe(ID);
    expect(second.body).toEqual(first.body);
  });
});
