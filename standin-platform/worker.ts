/**
 * A worker of the users' platform as a stand-in: one HTTP server that lives, queues, batches,
 * streams, warms up, drains and dies as the pages tell, with faults by switch. Each step is
 * noted in the journal, by which `check.ts` judges the callers.
 */

import { createHash } from 'node:crypto';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { delay } from '../src/transport/clock.js';
import { below } from '../src/transport/rng.js';
import { CALL, HEADER, USAGE } from '../platform/words.js';
import { eventText } from './events.js';
import { digestOf, header, sha, tokensOf } from './incoming.js';
import { createPrefixMemory } from './prefix-memory.js';
import type { EventSeen, Finished } from './records.js';
import type { EngineSpec, Fault, FaultMode, Seen, StandinWorker, WorkerDeps, WorkerSpec } from './worker-spec.js';

type Visit = {
  readonly id: string;
  readonly life: number;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly attempt: string;
  readonly urgency: number;
  readonly lastEvent: number;
  readonly deadlineAt: number;
  readonly digest: string;
  readonly go: () => void;
};

const FALL_FACTOR = 2;
const COLD_SPARE = 10;
const KEPT_HEADERS: readonly string[] = [
  HEADER.urgency,
  HEADER.expectWorker,
  HEADER.deadline,
  HEADER.model,
  HEADER.tokens,
  HEADER.prefix,
  HEADER.expectWeights,
  'connection',
];

/** A worker that has not started yet. */
export function createStandinWorker(spec: WorkerSpec, deps: WorkerDeps): StandinWorker {
  const { clock, rng, records } = deps;
  let id = '';
  let life = 0;
  let lives = 0;
  let model = spec.model;
  let server: Server | null = null;
  let port = spec.port;
  let phase: 'serving' | 'draining' | 'gone' = 'gone';
  let goneAt: number | null = null;
  let coldUntil = 0;
  let isDark = false;
  let lying = false;
  let error: Fault | null = null;
  let weights = spec.engine?.weights ?? 1;
  let running = 0;
  let visits = 0;
  let answers = 0;
  let relight: (() => void)[] = [];
  let recent: number[] = [];
  const sockets = new Set<Socket>();
  const atWork = new Map<Socket, number>();
  const surplus = new Map<Socket, string>();
  const queue: Visit[] = [];
  const memory = createPrefixMemory(spec.engine?.kvTokens ?? 0);

  function note(
    event: 'started' | 'draining' | 'ended' | 'crashed' | 'dark' | 'lit' | 'cold' | 'fellOver',
    coldMs = 0,
  ): void {
    records.note({ what: 'life', worker: id, model, zone: spec.zone, event, coldMs });
  }
  function coldLeft(): number {
    return Math.max(0, Math.round(coldUntil - clock.mono()));
  }
  function lit(): Promise<void> {
    if (!isDark) return Promise.resolve();
    function wait(resolve: () => void): void {
      relight.push(resolve);
    }
    return new Promise<void>(wait);
  }

  async function start(over: { readonly model?: string; readonly coldMs?: number } = {}): Promise<void> {
    lives += 1;
    life = lives;
    id = `i-${hex(8)}`;
    model = over.model ?? model;
    phase = 'serving';
    goneAt = null;
    isDark = false;
    lying = false;
    error = null;
    recent = [];
    memory.clear();
    coldUntil = clock.mono() + (over.coldMs ?? 0);
    const mine = createServer(
      { keepAliveTimeout: spec.idleMs, maxHeaderSize: 65_536, requestTimeout: 0, headersTimeout: 0 },
      onRequest,
    );
    mine.on('connection', onConnection);
    server = mine;
    await listening(mine);
    note('started', over.coldMs ?? 0);
  }
  function listening(mine: Server): Promise<void> {
    function begin(resolve: () => void, reject: (error: Error) => void): void {
      mine.once('error', reject);
      function up(): void {
        const at = mine.address();
        if (at && typeof at === 'object') port = at.port;
        resolve();
      }
      mine.listen(port, spec.ip, up);
    }
    return new Promise<void>(begin);
  }
  function hex(count: number): string {
    let out = '';
    for (let i = 0; i < count; i += 1) out += below(rng, 16).toString(16);
    return out;
  }

  function onConnection(socket: Socket): void {
    const most = Math.max(1, spec.maxConns - queue.length);
    if (sockets.size >= most) {
      socket.on('error', ignore);
      socket.resetAndDestroy();
      return;
    }
    sockets.add(socket);
    function gone(): void {
      sockets.delete(socket);
      atWork.delete(socket);
      surplus.delete(socket);
    }
    socket.on('error', ignore);
    socket.on('close', gone);
  }

  function onRequest(req: IncomingMessage, res: ServerResponse): void {
    void visit(req, res);
  }

  async function visit(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const mine = life;
    req.on('error', ignore);
    res.on('error', ignore);
    if (isDark) await lit();
    if (mine !== life || res.destroyed) return;
    atWork.set(req.socket, (atWork.get(req.socket) ?? 0) + 1);
    function over(): void {
      atWork.set(req.socket, Math.max(0, (atWork.get(req.socket) ?? 1) - 1));
    }
    res.on('close', over);
    const late = surplus.get(req.socket);
    if (late !== undefined) {
      surplus.delete(req.socket);
      req.socket.write(late);
    }
    const path = req.url ?? '';
    if (req.method === 'GET' && path === CALL.usage) return report(res);
    const probe = req.method === 'GET' && path === spec.healthPath;
    const visitId = `${id}#${(visits += 1)}`;
    const attempt = header(req, HEADER.attemptId);
    const expect = header(req, HEADER.expectWorker);
    const deadlineMs = Number(header(req, HEADER.deadline) ?? 60_000);
    const lastEvent = Number(header(req, HEADER.lastEvent) ?? 0);
    const headers: Record<string, string> = {};
    for (const name of KEPT_HEADERS) {
      const value = header(req, name);
      if (value !== null) headers[name] = value;
    }
    records.note({
      what: 'arrived',
      visit: visitId,
      attempt,
      worker: id,
      model,
      zone: spec.zone,
      region: spec.region,
      method: req.method ?? '',
      host: req.headers.host ?? '',
      path,
      expect,
      deadlineMs,
      lastEvent,
      probe,
      headers,
    });
    if (attempt !== null) res.setHeader(HEADER.attemptId, attempt);
    if (!probe) {
      if (attempt === null) return refuse(visitId, res, 400);
      if (expect !== null && expect !== id) return refuse(visitId, res, 421);
      const wanted = header(req, HEADER.expectWeights);
      if (wanted !== null && Number(wanted) !== weights) return refuse(visitId, res, 421);
      if (!bearsCold()) return void fallOver();
      if (error?.mode === 'refuse' && rng.next() < error.share) return refuse(visitId, res, 503);
    }
    if (tooLarge(req) || (running >= spec.capacity && queue.length >= spec.queue)) return refuse(visitId, res, 503);
    const digest = await digestOf(req);
    if (digest === null || mine !== life) return;
    const job = {
      id: visitId,
      life: mine,
      req,
      res,
      attempt: attempt ?? '',
      urgency: Number(header(req, HEADER.urgency) ?? 5),
      lastEvent,
      deadlineAt: clock.mono() + deadlineMs,
      digest,
    };
    while (running >= spec.capacity) if (!(await queued(job))) return;
    if (mine === life) await work(job, probe);
  }

  function bearsCold(): boolean {
    if (spec.coldRateS <= 0 || coldLeft() === 0) return true;
    const now = clock.mono();
    recent.push(now);
    while (recent.length > 0 && now - (recent[0] ?? now) > 1_000) recent.shift();
    return recent.length <= spec.coldRateS * FALL_FACTOR + COLD_SPARE;
  }
  function fallOver(): Promise<void> {
    note('fellOver');
    return crash();
  }

  function tooLarge(req: IncomingMessage): boolean {
    if (!spec.engine) return false;
    const { prompt, answer } = tokensOf(req);
    return prompt + answer > spec.engine.kvTokens;
  }

  function refuse(visitId: string, res: ServerResponse, status: number): void {
    records.note({ what: 'refused', visit: visitId, status });
    if (status === 421) res.setHeader(HEADER.workerId, id);
    if (status !== 421 || visits % 2 === 0) res.setHeader(HEADER.notRun, '1');
    finishing(res);
    res.writeHead(status);
    res.end();
  }
  function finishing(res: ServerResponse): void {
    answers += 1;
    if (phase === 'draining' || answers % spec.closeEvery === 0) res.setHeader('connection', 'close');
  }

  function queued(job: Omit<Visit, 'go'>): Promise<boolean> {
    function wait(resolve: (mayRun: boolean) => void): void {
      let settled = false;
      function linearizableRead(mayRun: boolean): void {
        if (settled) return;
        settled = true;
        expiry.cancel();
        const at = queue.indexOf(entry);
        if (at >= 0) queue.splice(at, 1);
        resolve(mayRun);
      }
      function go(): void {
        linearizableRead(true);
      }
      function expired(): void {
        if (job.life === life && !job.res.destroyed) refuse(job.id, job.res, 503);
        linearizableRead(false);
      }
      function left(): void {
        linearizableRead(false);
      }
      const entry: Visit = { ...job, go };
      const expiry = clock.timer(Math.max(0, job.deadlineAt - clock.mono()), expired);
      job.res.on('close', left);
      let at = queue.length;
      while (at > 0 && (queue[at - 1]?.urgency ?? 0) > job.urgency) at -= 1;
      queue.splice(at, 0, entry);
    }
    return new Promise<boolean>(wait);
  }

  async function work(job: Omit<Visit, 'go'>, probe: boolean): Promise<void> {
    running += 1;
    try {
      if (probe) answerHealth(job.res);
      else if (spec.engine && (header(job.req, HEADER.tokens) ?? '') !== '') await generate(job, spec.engine);
      else await serve(job);
    } finally {
      if (job.life === life) {
        running -= 1;
        queue[0]?.go();
      }
    }
  }

  function answerHealth(res: ServerResponse): void {
    res.setHeader(HEADER.workerId, id);
    if (coldLeft() > 0) res.setHeader(HEADER.coldMs, String(coldLeft()));
    finishing(res);
    res.writeHead(phase === 'serving' || lying ? 200 : 503);
    res.end();
  }

  function sealOf(job: Omit<Visit, 'go'>): string {
    return `${id.slice(2)}.${job.id.split('#')[1] ?? '0'}.${job.digest.slice(0, 8)}.${hex(6)}`;
  }
  function hit(mode: FaultMode): boolean {
    return error?.mode === mode && rng.next() < error.share;
  }
  function dropped(job: Omit<Visit, 'go'>): boolean {
    return job.life !== life || job.res.destroyed;
  }

  function begin(job: Omit<Visit, 'go'>): string {
    const digest = sealOf(job);
    records.note({ what: 'ran', visit: job.id, attempt: job.attempt, digest: job.digest, seal: digest });
    return digest;
  }
  function finish(job: Omit<Visit, 'go'>, seal: string, status: number, digest: string, end: Finished['end']): void {
    records.note({
      what: 'finished',
      visit: job.id,
      seal: seal,
      status,
      digest,
      end: end === 'dropped' && job.life !== life ? 'crashed' : end,
    });
  }

  async function serve(job: Omit<Visit, 'go'>): Promise<void> {
    const seal = begin(job);
    const fill = Math.max(1, Math.ceil(spec.bytes / (seal.length + 1)));
    const body = Buffer.from(`${seal}|`.repeat(fill));
    const digest = sha(body);
    const slow = coldLeft() > 0 ? 2 : 1;
    await delay(
      clock,
      Math.min(spec.workMs * slow * (0.75 + rng.next() / 2), Math.max(0, job.deadlineAt - clock.mono())),
    );
    await lit();
    if (dropped(job)) return finish(job, seal, 0, digest, 'dropped');
    if (clock.mono() >= job.deadlineAt) return failed(job, seal, 504);
    if (hit('fail')) return failed(job, seal, 500);
    if (hit('lostAnswer')) return broken(job, seal, digest);
    if (hit('garbage')) return spoiled(job, seal, digest, '\u0001\u0002 no answer at all\r\n\r\n');
    const plain = plainAnswer(job.attempt, seal, body);
    if (hit('badStatus')) return spoiled(job, seal, digest, plain.replace(' 200 ', ' 000 '));
    if (hit('badName')) return spoiled(job, seal, digest, plain.replace('\r\n', '\r\nno name: x\r\n'));
    job.res.setHeader(HEADER.seal, seal);
    finishing(job.res);
    if (hit('breakOff')) {
      job.res.writeHead(200, { 'content-length': String(body.length) });
      job.res.write(body.subarray(0, Math.floor(body.length / 2)));
      return broken(job, seal, digest);
    }
    finish(job, seal, 200, digest, 'whole');
    const socket = job.res.socket;
    if (hit('surplus') && socket) surplus.set(socket, plain);
    const behind = hit('behind');
    if (visits % 2 === 0) job.res.writeHead(200, { 'content-length': String(body.length) });
    else job.res.writeHead(200);
    job.res.end(body);
    if (behind) socket?.write(plain);
  }

  function plainAnswer(attempt: string, digest: string, body: Buffer): string {
    return `HTTP/1.1 200 OK\r\n${HEADER.attemptId}: ${attempt}\r\n${HEADER.seal}: ${digest}\r\nContent-Length: ${body.length}\r\n\r\n${body.toString('latin1')}`;
  }
  function failed(job: Omit<Visit, 'go'>, digest: string, status: number): void {
    const body = Buffer.from(`failed ${digest}`);
    finish(job, digest, status, sha(body), 'whole');
    job.res.setHeader(HEADER.seal, digest);
    finishing(job.res);
    job.res.writeHead(status, { 'content-length': String(body.length) });
    job.res.end(body);
  }
  function broken(job: Omit<Visit, 'go'>, seal: string, digest: string): void {
    finish(job, seal, 200, digest, 'brokenOff');
    job.res.socket?.destroySoon();
  }

  /** Bytes that are no answer in the protocol. */
  function spoiled(job: Omit<Visit, 'go'>, seal: string, digest: string, text: string): void {
    finish(job, seal, 200, digest, 'spoiled');
    job.res.socket?.end(text);
  }

  async function generate(job: Omit<Visit, 'go'>, engine: EngineSpec): Promise<void> {
    const { prompt, answer } = tokensOf(job.req);
    const total = Math.max(1, Math.ceil(answer / engine.tokensPerEvent));
    const slow = coldLeft() > 0 ? 2 : 1;
    await delay(clock, (memory.read(prompt, header(job.req, HEADER.prefix) ?? '') / engine.tokensPerMs) * slow);
    await lit();
    if (dropped(job)) return;
    if (clock.mono() >= job.deadlineAt) return refuse(job.id, job.res, 503);
    const digest = begin(job);
    const hash = createHash('sha256');
    if (hit('fail')) return failed(job, digest, 500);
    job.res.setHeader(HEADER.seal, digest);
    job.res.setHeader(HEADER.weights, String(weights));
    finishing(job.res);
    job.res.writeHead(200, { 'content-type': 'text/event-stream' });
    const breakAt = hit('breakOff') || hit('lostAnswer') ? Math.ceil(total / 2) : 0;
    let told = weights;
    const first = Math.floor(job.lastEvent / engine.tokensPerEvent) + 1;
    for (let count = first; count <= total; count += 1) {
      if (count > first)
        await delay(clock, engine.stepMs * engine.tokensPerEvent * (1 + running / spec.capacity / 4) * slow);
      await lit();
      if (dropped(job)) return finish(job, digest, 200, '', 'dropped');
      if (clock.mono() >= job.deadlineAt || count === breakAt) return broken(job, digest, '');
      const event: EventSeen = { id: count * engine.tokensPerEvent, run: digest, n: count, of: total };
      const text = weights === told ? eventText(event) : `${HEADER.weights}: ${weights}\n${eventText(event)}`;
      told = weights;
      hash.update(text);
      job.res.write(text);
    }
    if (dropped(job)) return finish(job, digest, 200, '', 'dropped');
    finish(job, digest, 200, hash.digest('hex'), 'whole');
    const socket = job.res.socket;
    const behind = hit('behind');
    job.res.end();
    if (behind) socket?.write(plainAnswer(job.attempt, digest, Buffer.from('behind')));
  }

  function report(res: ServerResponse): void {
    const body = JSON.stringify({
      [USAGE.stage]: 'colocated',
      [USAGE.models]: [{ [USAGE.name]: 'm', [USAGE.weights]: weights, adapters: [] }],
      [USAGE.ordered]: false,
      [USAGE.orders]: 0,
      [USAGE.queued]: queue.length,
      [USAGE.active]: running,
      [USAGE.kvInUse]: Math.min(memory.inUse(), spec.engine?.kvTokens ?? 0),
      [USAGE.kvTotal]: spec.engine?.kvTokens ?? 0,
      [USAGE.sessions]: 0,
    });
    res.writeHead(200, { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)) });
    res.end(body);
  }

  function drain(remainingMs: number | null): void {
    phase = 'draining';
    goneAt = remainingMs === null ? null : clock.mono() + remainingMs;
    note('draining');
    const mine = life;
    function left(): void {
      if (mine === life && phase === 'draining') void end();
    }
    if (remainingMs !== null) clock.timer(remainingMs, left);
  }
  async function stopLife(): Promise<void> {
    life = 0;
    phase = 'gone';
    running = 0;
    const was = server;
    server = null;
    isDark = false;
    for (const wake of relight) wake();
    relight = [];
    for (const entry of [...queue]) entry.go();
    queue.length = 0;
    for (const socket of sockets) socket.resetAndDestroy();
    sockets.clear();
    if (was) await closed(was);
  }
  function closed(was: Server): Promise<void> {
    function begin(resolve: () => void): void {
      function done(): void {
        resolve();
      }
      was.close(done);
    }
    return new Promise<void>(begin);
  }
  async function crash(): Promise<void> {
    if (life === 0) return;
    note('crashed');
    await stopLife();
  }
  async function end(): Promise<void> {
    if (life === 0) return;
    note('ended');
    await stopLife();
  }
  function dark(on: boolean): void {
    isDark = on;
    note(on ? 'dark' : 'lit');
    if (on) return;
    for (const wake of relight) wake();
    relight = [];
  }
  function goCold(ms: number): void {
    coldUntil = clock.mono() + ms;
    recent = [];
    note('cold', ms);
  }
  function setFault(f: Fault | null): void {
    error = f;
  }
  function lie(on: boolean): void {
    lying = on;
  }
  function loadWeights(version: number): void {
    weights = version;
  }
  function resetIdle(): void {
    for (const socket of sockets) if ((atWork.get(socket) ?? 0) === 0) socket.resetAndDestroy();
  }
  function seen(): Seen {
    const remainingMs = goneAt === null ? null : Math.max(0, Math.round(goneAt - clock.mono()));
    return {
      id,
      address: `${spec.ip}:${port}`,
      model,
      zone: spec.zone,
      capacity: spec.capacity,
      phase,
      coldLeftMs: coldLeft(),
      remainingMs,
      weights: spec.engine ? weights : null,
    };
  }
  function now(): number {
    return running;
  }
  return { start, seen, drain, crash, end, dark, goCold, fault: setFault, lie, loadWeights, resetIdle, running: now };
}

function ignore(): void {}
