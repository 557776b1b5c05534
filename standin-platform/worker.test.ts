import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import { createClock } from '../src/transport/clock.js';
import { createRng } from '../src/transport/rng.js';
import { openConnection } from './client.js';
import type { Answer, Connection } from './client.js';
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

async function started(over: Partial<WorkerSpec> = {}): Promise<StandinWorker> {
  const w = createStandinWorker(
    { ...WORKER_DEFAULTS, ip: '127.0.0.1', port: 0, model: 'm1', zone: 'z', region: 'r', ...over },
    { clock, rng: createRng(7), records },
  );
  workers.push(w);
  await w.start();
  return w;
}
async function connection(w: StandinWorker): Promise<Connection> {
  const c = await openConnection(w.seen().address, clock, { stray: (text) => strays.push(text) });
  if (!c) throw new Error('no connection');
  connections.push(c);
  return c;
}
function send(
  c: Connection,
  head: string,
  body = 'hello',
  onBody: (b: Buffer) => void = () => undefined,
): Promise<Answer> {
  return c.exchange(
    [Buffer.from(`${head}Content-Length: ${body.length}\r\n\r\n${body}`)],
    { deadlineMs: 5_000, silenceMs: null },
    onBody,
    () => undefined,
  );
}
async function ask(w: StandinWorker, head: string): Promise<Answer> {
  return send(await connection(w), head);
}
async function get(w: StandinWorker, path: string): Promise<Answer> {
  const c = await connection(w);
  return c.exchange(
    [Buffer.from(`GET ${path} HTTP/1.1\r\nHost: w\r\n\r\n`)],
    { deadlineMs: 5_000, silenceMs: null },
    () => undefined,
    () => undefined,
  );
}
function whats(): string[] {
  return records.all().map((r) => r.what);
}

describe('the stand-in worker, by the words of the page', () => {
  test('answers with seal and dispatch id, and journals the visit', async () => {
    const w = await started();
    const a = await ask(w, PLAIN);
    expect(a.end).toBe('whole');
    expect(a.head?.status).toBe(200);
    expect(a.head?.headers.get('x-millfield-attempt-id')).toBe(ID);
    expect(a.head?.headers.get('x-millfield-server-seal')).toMatch(/^[0-9a-f.]+$/);
    expect(whats()).toEqual(['life', 'arrived', 'ran', 'finished']);
    const [seen] = onlyOf(records.all(), 'arrived');
    expect(seen).toMatchObject({
      attempt: ID,
      method: 'POST',
      path: '/pule252/2f',
      host: 'ficu95.example',
      deadlineMs: 4_000,
    });
  });

  test('answers 421 where another is expected, 400 without an id, and runs neither', async () => {
    const w = await started();
    const other = await ask(w, `${PLAIN}X-Millfield-Expect-Worker: i-02d9e6b4\r\n`);
    expect(other.head?.status).toBe(421);
    expect(other.head?.headers.get('x-millfield-worker-id')).toBe(w.seen().id);
    const own = await ask(w, `${PLAIN}X-Millfield-Expect-Worker: ${w.seen().id}\r\n`);
    expect(own.head?.status).toBe(200);
    const none = await ask(w, 'POST /x HTTP/1.1\r\nHost: h\r\n');
    expect(none.head?.status).toBe(400);
    expect(onlyOf(records.all(), 'ran')).toHaveLength(1);
  });

  test('begins a new life with a new id', async () => {
    const w = await started();
    const before = w.seen().id;
    await w.crash();
    expect(w.seen().phase).toBe('gone');
    await w.start({ model: 'other' });
    expect(w.seen().id).not.toBe(before);
    expect(w.seen().model).toBe('other');
    const a = await ask(w, `${PLAIN}X-Millfield-Expect-Worker: ${before}\r\n`);
    expect(a.head?.status).toBe(421);
  });

  test('turns away with 503 and not executed when it is full, and as the deadline passes in the queue', async () => {
    const w = await started({ capacity: 1, queue: 1, workMs: 200 });
    const first = ask(w, PLAIN);
    await records.until((r) => r.what === 'ran');
    const waits = ask(w, PLAIN.replace('4000', '30'));
    await records.until((r) => r.what === 'arrived' && r.deadlineMs === 30);
    const full = await ask(w, PLAIN);
    expect(full.head?.status).toBe(503);
    expect(full.head?.headers.get('x-millfield-not-executed')).toBe('1');
    expect((await waits).head?.status).toBe(503);
    expect((await first).head?.status).toBe(200);
    expect(onlyOf(records.all(), 'ran')).toHaveLength(1);
  });

  test('lets the more urgent in first', async () => {
    const w = await started({ capacity: 1, queue: 4, workMs: 60 });
    const all = [ask(w, PLAIN)];
    await records.until((r) => r.what === 'ran');
    for (const urgency of [7, 1, 4]) {
      all.push(ask(w, `${PLAIN}X-Millfield-Urgency-Class: ${urgency}\r\n`));
      await records.until((r) => r.what === 'arrived' && r.headers['x-millfield-urgency-class'] === String(urgency));
    }
    await Promise.all(all);
    const urgencies = new Map(
      onlyOf(records.all(), 'arrived').map((r) => [r.visit, r.headers['x-millfield-urgency-class']]),
    );
    expect(onlyOf(records.all(), 'ran').map((r) => urgencies.get(r.visit))).toEqual([undefined, '1', '4', '7']);
  });

  test('streams events with rising ids, and goes on behind Last-Event-Id', async () => {
    const w = await started({ engine: ENGINE_DEFAULTS });
    const whole = await ask(w, STREAM);
    expect(whole.head?.headers.get('content-type')).toBe('text/event-stream');
    expect([...whole.body.toString().matchAll(/^id: (\d+)$/gm)].map((m) => m[1])).toEqual(['5', '10', '15', '20']);
    const rest = await ask(w, `${STREAM}Last-Event-Id: 10\r\n`);
    expect([...rest.body.toString().matchAll(/^id: (\d+)$/gm)].map((m) => m[1])).toEqual(['15', '20']);
  });

  test('tells a change of its weights inside the stream, and refuses who expects others', async () => {
    const w = await started({ engine: ENGINE_DEFAULTS });
    const c = await connection(w);
    let loaded = false;
    const a = await send(c, STREAM, 'x', () => {
      if (!loaded) w.loadWeights(2);
      loaded = true;
    });
    expect(a.head?.headers.get('x-millfield-weight-versions')).toBe('1');
    expect(a.body.toString()).toMatch(/\n\nx-millfield-weight-versions: 2\nid: \d+\n/);
    expect((await ask(w, `${STREAM}X-Millfield-Expect-Version: 1\r\n`)).head?.status).toBe(421);
  });

  test('reads kept parts of a prompt no second time', async () => {
    const w = await started({ engine: { ...ENGINE_DEFAULTS, tokensPerMs: 5 } });
    const times: number[] = [];
    for (let i = 0; i < 2; i += 1) {
      const from = clock.mono();
      await ask(w, STREAM.replace(',20', ',1'));
      times.push(clock.mono() - from);
    }
    expect(times[0]).toBeGreaterThan(1_460 / 5);
    expect(times[1]).toBeLessThan(1_460 / 5);
  });

  test('tells its health, its cold spell and its load', async () => {
    const w = await started();
    w.goCold(5_000);
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
    w.lie(true);
    expect((await get(w, '/health')).head?.status).toBe(200);
  });

  test('serves on while it drains, and is gone when its time is over', async () => {
    const w = await started({ workMs: 2_000 });
    w.drain(40);
    const a = ask(w, PLAIN);
    await records.until((r) => r.what === 'life' && r.event === 'ended');
    expect((await a).end).toBe('cut');
    expect(await openConnection(w.seen().address, clock, { stray: () => undefined })).toBeNull();
  });

  test('resets connections beyond its cap, and idle ones by switch', async () => {
    const w = await started({ maxConns: 2 });
    const c = await connection(w);
    await connection(w);
    const third = await openConnection(w.seen().address, clock, { stray: () => undefined });
    expect(third === null ? 'cut' : (await send(third, PLAIN)).end).toBe('cut');
    expect((await send(c, PLAIN)).end).toBe('whole');
    w.resetIdle();
    expect((await send(c, PLAIN)).end).toBe('cut');
  });

  test('falls over when it is pressed while cold', async () => {
    const w = await started({ coldRateS: 1, capacity: 64, queue: 64 });
    w.goCold(5_000);
    await Promise.all(Array.from({ length: 16 }, () => ask(w, PLAIN)));
    expect(onlyOf(records.all(), 'life').map((l) => l.event)).toEqual(['started', 'cold', 'fellOver', 'crashed']);
  });

  test('says nothing while it is dark, and answers afterwards', async () => {
    const w = await started();
    w.dark(true);
    let answered = false;
    const a = ask(w, PLAIN).then((x) => {
      answered = true;
      return x;
    });
    const c = await connection(w);
    const silent = await c.exchange(
      [Buffer.from(`${PLAIN}\r\n`)],
      { deadlineMs: 100, silenceMs: null },
      () => undefined,
      () => undefined,
    );
    expect([silent.end, answered]).toEqual(['deadline', false]);
    w.dark(false);
    expect((await a).head?.status).toBe(200);
  });

  test('drops a request whose connection closes', async () => {
    const w = await started({ workMs: 60 });
    const c = await connection(w);
    void send(c, PLAIN);
    await records.until((r) => r.what === 'ran');
    c.close();
    const f = await records.until((r) => r.what === 'finished');
    expect(f).toMatchObject({ end: 'dropped' });
  });

  test('breaks an answer off, spoils it, loses it, fails and refuses by switch', async () => {
    const w = await started();
    w.fault({ mode: 'breakOff', share: 1 });
    const half = await ask(w, PLAIN);
    expect([half.end, half.head?.status, half.body.length > 0]).toEqual(['cut', 200, true]);
    w.fault({ mode: 'garbage', share: 1 });
    expect((await ask(w, PLAIN)).end).toBe('garbage');
    w.fault({ mode: 'lostAnswer', share: 1 });
    const lost = await ask(w, PLAIN);
    expect([lost.end, lost.head]).toEqual(['cut', null]);
    w.fault({ mode: 'fail', share: 1 });
    const failed = await ask(w, PLAIN);
    expect([failed.head?.status, failed.head?.headers.has('x-millfield-not-executed')]).toEqual([500, false]);
    w.fault({ mode: 'refuse', share: 1 });
    expect((await ask(w, PLAIN)).head?.status).toBe(503);
    w.fault(null);
    expect((await ask(w, PLAIN)).head?.status).toBe(200);
    expect(onlyOf(records.all(), 'ran')).toHaveLength(5);
  });

  test('sends bytes behind a whole answer, or a surplus answer late in the next slot', async () => {
    const w = await started();
    w.fault({ mode: 'behind', share: 1 });
    expect((await ask(w, PLAIN)).end).toBe('whole');
    await records.until((r) => r.what === 'finished');
    expect(strays[0]).toMatch(/^HTTP\/1.1 200/);
    w.fault({ mode: 'surplus', share: 1 });
    const c = await connection(w);
    const first = await send(c, PLAIN);
    w.fault(null);
    const second = await send(c, PLAIN.replace(ID, 'aaaaaaaaaaaaaaaa'));
    expect(second.head?.headers.get('x-millfield-attempt-id')).toBe(ID);
    expect(second.body).toEqual(first.body);
  });
});
