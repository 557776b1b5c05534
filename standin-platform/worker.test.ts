import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import { createClock } from '../src/transport/clock.js';
import { createRng } from '../src/transport/rng.js';
import { openConnection } from './client.js';
import type { ExchangeResult, Connection } from './client.js';
import { createRecords, recordsOfType } from './records.js';
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
  for (const connection of connections) connection.close();
  for (const worker of workers) await worker.end();
});

async function startWorker(over: Partial<WorkerSpec> = {}): Promise<StandinWorker> {
  const worker = createStandinWorker(
    { ...WORKER_DEFAULTS, ip: '127.0.0.1', port: 0, model: 'm1', zone: 'z', region: 'r', ...over },
    { clock, rng: createRng(7), records },
  );
  workers.push(worker);
  await worker.start();
  return worker;
}
async function connect(worker: StandinWorker): Promise<Connection> {
  const connection = await openConnection(worker.seen().address, clock, { onStrayBytes: (text) => strays.push(text) });
  if (!connection) throw new Error('no connection');
  connections.push(connection);
  return connection;
}
function send(
  connection: Connection,
  head: string,
  body = 'hello',
  onBody: (b: Buffer) => void = () => undefined,
): Promise<ExchangeResult> {
  return connection.exchange(
    [Buffer.from(`${head}Content-Length: ${body.length}\r\n\r\n${body}`)],
    { deadlineMs: 5_000, inactivityTimeoutMs: null },
    onBody,
    () => undefined,
  );
}
async function sendOnNewConnection(worker: StandinWorker, head: string): Promise<ExchangeResult> {
  return send(await connect(worker), head);
}
async function get(worker: StandinWorker, path: string): Promise<ExchangeResult> {
  const connection = await connect(worker);
  return connection.exchange(
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
    const worker = await startWorker();
    const a = await sendOnNewConnection(worker, PLAIN);
    expect(a.end).toBe('whole');
    expect(a.head?.status).toBe(200);
    expect(a.head?.headers.get('x-millfield-attempt-id')).toBe(ID);
    expect(a.head?.headers.get('x-millfield-server-seal')).toMatch(/^[0-9a-f.]+$/);
    expect(recordTypes()).toEqual(['life', 'arrived', 'ran', 'finished']);
    const [seen] = recordsOfType(records.all(), 'arrived');
    expect(seen).toMatchObject({
      attempt: ID,
      method: 'POST',
      path: '/pule252/2f',
      host: 'ficu95.example',
      deadlineMs: 4_000,
    });
  });

  test('responds with 421 if another worker is expected and with 400 without an attempt id, and runs neither', async () => {
    const worker = await startWorker();
    const other = await sendOnNewConnection(worker, `${PLAIN}X-Millfield-Expect-Worker: i-02d9e6b4\r\n`);
    expect(other.head?.status).toBe(421);
    expect(other.head?.headers.get('x-millfield-worker-id')).toBe(worker.seen().id);
    const own = await sendOnNewConnection(worker, `${PLAIN}X-Millfield-Expect-Worker: ${worker.seen().id}\r\n`);
    expect(own.head?.status).toBe(200);
    const none = await sendOnNewConnection(worker, 'POST /x HTTP/1.1\r\nHost: h\r\n');
    expect(none.head?.status).toBe(400);
    expect(recordsOfType(records.all(), 'ran')).toHaveLength(1);
  });

  test('gets a new id when it starts again after a crash', async () => {
    const worker = await startWorker();
    const before = worker.seen().id;
    await worker.crash();
    expect(worker.seen().phase).toBe('gone');
    await worker.start({ model: 'other' });
    expect(worker.seen().id).not.toBe(before);
    expect(worker.seen().model).toBe('other');
    const a = await sendOnNewConnection(worker, `${PLAIN}X-Millfield-Expect-Worker: ${before}\r\n`);
    expect(a.head?.status).toBe(421);
  });

  test('rejects with 503 and not executed when it is full, and when the deadline passes in the queue', async () => {
    const worker = await startWorker({ capacity: 1, queue: 1, workMs: 200 });
    const first = sendOnNewConnection(worker, PLAIN);
    await records.until((r) => r.what === 'ran');
    const queued = sendOnNewConnection(worker, PLAIN.replace('4000', '30'));
    await records.until((r) => r.what === 'arrived' && r.deadlineMs === 30);
    const full = await sendOnNewConnection(worker, PLAIN);
    expect(full.head?.status).toBe(503);
    expect(full.head?.headers.get('x-millfield-not-executed')).toBe('1');
    expect((await queued).head?.status).toBe(503);
    expect((await first).head?.status).toBe(200);
    expect(recordsOfType(records.all(), 'ran')).toHaveLength(1);
  });

  test('runs the more urgent queued requests first', async () => {
    const worker = await startWorker({ capacity: 1, queue: 4, workMs: 60 });
    const all = [sendOnNewConnection(worker, PLAIN)];
    await records.until((r) => r.what === 'ran');
    for (const urgency of [7, 1, 4]) {
      all.push(sendOnNewConnection(worker, `${PLAIN}X-Millfield-Urgency-Class: ${urgency}\r\n`));
      await records.until((r) => r.what === 'arrived' && r.headers['x-millfield-urgency-class'] === String(urgency));
    }
    await Promise.all(all);
    const urgencies = new Map(
      recordsOfType(records.all(), 'arrived').map((r) => [r.visit, r.headers['x-millfield-urgency-class']]),
    );
    expect(recordsOfType(records.all(), 'ran').map((r) => urgencies.get(r.visit))).toEqual([undefined, '1', '4', '7']);
  });

  test('streams events with increasing ids, and continues after Last-Event-Id', async () => {
    const worker = await startWorker({ engine: ENGINE_DEFAULTS });
    const complete = await sendOnNewConnection(worker, STREAM);
    expect(complete.head?.headers.get('content-type')).toBe('text/event-stream');
    expect([...complete.body.toString().matchAll(/^id: (\d+)$/gm)].map((m) => m[1])).toEqual(['5', '10', '15', '20']);
    const rest = await sendOnNewConnection(worker, `${STREAM}Last-Event-Id: 10\r\n`);
    expect([...rest.body.toString().matchAll(/^id: (\d+)$/gm)].map((m) => m[1])).toEqual(['15', '20']);
  });

  test('announces a change of its weights inside the stream, and rejects a request that expects other weights', async () => {
    const worker = await startWorker({ engine: ENGINE_DEFAULTS });
    const connection = await connect(worker);
    let loaded = false;
    const a = await send(connection, STREAM, 'x', () => {
      if (!loaded) worker.loadWeights(2);
      loaded = true;
    });
    expect(a.head?.headers.get('x-millfield-weight-versions')).toBe('1');
    expect(a.body.toString()).toMatch(/\n\nx-millfield-weight-versions: 2\nid: \d+\n/);
    expect((await sendOnNewConnection(worker, `${STREAM}X-Millfield-Expect-Version: 1\r\n`)).head?.status).toBe(421);
  });

  test('does not read cached parts of a prompt a second time', async () => {
    const worker = await startWorker({ engine: { ...ENGINE_DEFAULTS, tokensPerMs: 5 } });
    const times: number[] = [];
    for (let i = 0; i < 2; i += 1) {
      const startedAt = clock.mono();
      await sendOnNewConnection(worker, STREAM.replace(',20', ',1'));
      times.push(clock.mono() - startedAt);
    }
    expect(times[0]).toBeGreaterThan(1_460 / 5);
    expect(times[1]).toBeLessThan(1_460 / 5);
  });

  test('reports its health, its remaining cold period and its load', async () => {
    const worker = await startWorker();
    worker.startColdPeriod(5_000);
    const cold = await get(worker, '/health');
    expect([cold.head?.status, cold.head?.headers.get('x-millfield-worker-id')]).toEqual([200, worker.seen().id]);
    expect(Number(cold.head?.headers.get('x-millfield-cold-ms'))).toBeGreaterThan(3_000);
    const report = JSON.parse((await get(worker, '/millfield/report')).body.toString()) as Record<string, unknown>;
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
    worker.drain(null);
    const leaving = await get(worker, '/health');
    expect([leaving.head?.status, leaving.head?.headers.get('connection')]).toEqual([503, 'close']);
    worker.setAlwaysHealthy(true);
    expect((await get(worker, '/health')).head?.status).toBe(200);
  });

  test('still serves while it drains, and ends when its remaining time is over', async () => {
    const worker = await startWorker({ workMs: 2_000 });
    worker.drain(40);
    const a = sendOnNewConnection(worker, PLAIN);
    await records.until((r) => r.what === 'life' && r.event === 'ended');
    expect((await a).end).toBe('cut');
    expect(await openConnection(worker.seen().address, clock, { onStrayBytes: () => undefined })).toBeNull();
  });

  test('resets connections above its maximum, and idle ones on demand', async () => {
    const worker = await startWorker({ maxConns: 2 });
    const connection = await connect(worker);
    await connect(worker);
    const third = await openConnection(worker.seen().address, clock, { onStrayBytes: () => undefined });
    expect(third === null ? 'cut' : (await send(third, PLAIN)).end).toBe('cut');
    expect((await send(connection, PLAIN)).end).toBe('whole');
    worker.resetIdleConnections();
    expect((await send(connection, PLAIN)).end).toBe('cut');
  });

  test('crashes when it is overloaded while cold', async () => {
    const worker = await startWorker({ coldRateS: 1, capacity: 64, queue: 64 });
    worker.startColdPeriod(5_000);
    await Promise.all(Array.from({ length: 16 }, () => sendOnNewConnection(worker, PLAIN)));
    expect(recordsOfType(records.all(), 'life').map((l) => l.event)).toEqual([
      'started',
      'cold',
      'fellOver',
      'crashed',
    ]);
  });

  test('sends nothing while it is unresponsive, and responds afterwards', async () => {
    const worker = await startWorker();
    worker.setUnresponsive(true);
    let answered = false;
    const a = sendOnNewConnection(worker, PLAIN).then((x) => {
      answered = true;
      return x;
    });
    const connection = await connect(worker);
    const silent = await connection.exchange(
      [Buffer.from(`${PLAIN}\r\n`)],
      { deadlineMs: 100, inactivityTimeoutMs: null },
      () => undefined,
      () => undefined,
    );
    expect([silent.end, answered]).toEqual(['deadline', false]);
    worker.setUnresponsive(false);
    expect((await a).head?.status).toBe(200);
  });

  test('drops a request whose connection closes', async () => {
    const worker = await startWorker({ workMs: 60 });
    const connection = await connect(worker);
    void send(connection, PLAIN);
    await records.until((r) => r.what === 'ran');
    connection.close();
    const finished = await records.until((r) => r.what === 'finished');
    expect(finished).toMatchObject({ end: 'dropped' });
  });

  test('truncates, corrupts or loses a response, fails and rejects when such a fault is set', async () => {
    const worker = await startWorker();
    worker.fault({ mode: 'breakOff', share: 1 });
    const half = await sendOnNewConnection(worker, PLAIN);
    expect([half.end, half.head?.status, half.body.length > 0]).toEqual(['cut', 200, true]);
    worker.fault({ mode: 'garbage', share: 1 });
    expect((await sendOnNewConnection(worker, PLAIN)).end).toBe('garbage');
    worker.fault({ mode: 'lostAnswer', share: 1 });
    const lost = await sendOnNewConnection(worker, PLAIN);
    expect([lost.end, lost.head]).toEqual(['cut', null]);
    worker.fault({ mode: 'fail', share: 1 });
    const failed = await sendOnNewConnection(worker, PLAIN);
    expect([failed.head?.status, failed.head?.headers.has('x-millfield-not-executed')]).toEqual([500, false]);
    worker.fault({ mode: 'refuse', share: 1 });
    expect((await sendOnNewConnection(worker, PLAIN)).head?.status).toBe(503);
    worker.fault(null);
    expect((await sendOnNewConnection(worker, PLAIN)).head?.status).toBe(200);
    expect(recordsOfType(records.all(), 'ran')).toHaveLength(5);
  });

  test('sends bytes after a complete response, or a surplus response late, in place of the next one', async () => {
    const worker = await startWorker();
    worker.fault({ mode: 'behind', share: 1 });
    expect((await sendOnNewConnection(worker, PLAIN)).end).toBe('whole');
    await records.until((r) => r.what === 'finished');
    expect(strays[0]).toMatch(/^HTTP\/1.1 200/);
    worker.fault({ mode: 'surplus', share: 1 });
    const connection = await connect(worker);
    const first = await send(connection, PLAIN);
    worker.fault(null);
    const second = await send(connection, PLAIN.replace(ID, 'aaaaaaaaaaaaaaaa'));
    expect(second.head?.headers.get('x-millfield-attempt-id')).toBe(ID);
    expect(second.body).toEqual(first.body);
  });
});
