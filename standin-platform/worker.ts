/**
 * A stand-in for a worker of the users' platform: an HTTP server that starts, queues, batches, streams, warms up,
 * drains and stops as the platform's pages describe, with faults that tests switch on. It records each step in the
 * journal, from which `check.ts` judges the callers.
 */

import { createHash } from 'node:crypto';
import { createServer } from 'node:http';
import { ENDLESS_PARTS, sendWithoutEnd } from './endless.js';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { delay } from '../src/transport/clock.js';
import { randomInt } from '../src/transport/rng.js';
import { API_PATH, HEADER, USAGE } from '../platform/words.js';
import { formatEvent } from './events.js';
import { digestBody, header, sha256Hex, tokenCounts } from './incoming.js';
import { createPrefixMemory } from './prefix-memory.js';
import type { EventSeen, Finished } from './records.js';
import type {
  EngineSpec,
  Fault,
  FaultMode,
  ListedWorker,
  StandinWorker,
  WorkerDeps,
  WorkerSpec,
} from './worker-spec.js';

type QueuedRequest = {
  readonly id: string;
  readonly incarnation: number;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly attempt: string;
  readonly urgency: number;
  readonly lastEvent: number;
  readonly deadlineAt: number;
  readonly digest: string;
  readonly admit: () => void;
};

/** A cold worker crashes on more requests in a second than `coldRateS` times this factor plus the margin below. */
const COLD_OVERLOAD_FACTOR = 2;
const COLD_OVERLOAD_MARGIN = 10;
const RECORDED_HEADERS: readonly string[] = [
  HEADER.urgency,
  HEADER.expectWorker,
  HEADER.deadline,
  HEADER.model,
  HEADER.tokens,
  HEADER.prefix,
  HEADER.expectWeightVersion,
  'connection',
];

/** Creates a worker that is not started yet. */
export function createStandinWorker(spec: WorkerSpec, deps: WorkerDeps): StandinWorker {
  const { clock, rng, records } = deps;
  let id = '';
  let incarnation = 0;
  let incarnationCount = 0;
  let model = spec.model;
  let server: Server | null = null;
  let port = spec.port;
  let phase: 'serving' | 'draining' | 'gone' = 'gone';
  let endsAt: number | null = null;
  let coldUntil = 0;
  let isUnresponsive = false;
  let isAlwaysHealthy = false;
  let fault: Fault | null = null;
  let weights = spec.engine?.weights ?? 1;
  let activeCount = 0;
  let visitCount = 0;
  let responseCount = 0;
  let resumeCallbacks: (() => void)[] = [];
  let recentArrivals: number[] = [];
  const sockets = new Set<Socket>();
  const activeBySocket = new Map<Socket, number>();
  const surplusBySocket = new Map<Socket, string>();
  const queue: QueuedRequest[] = [];
  const prefixMemory = createPrefixMemory(spec.engine?.kvTokens ?? 0);

  function recordLife(
    event: 'started' | 'draining' | 'ended' | 'crashed' | 'dark' | 'lit' | 'cold' | 'fellOver',
    coldMs = 0,
  ): void {
    records.add({ what: 'life', worker: id, model, zone: spec.zone, event, coldMs });
  }
  function coldLeftMs(): number {
    return Math.max(0, Math.round(coldUntil - clock.mono()));
  }
  function whenResponsive(): Promise<void> {
    if (!isUnresponsive) return Promise.resolve();
    function register(resolve: () => void): void {
      resumeCallbacks.push(resolve);
    }
    return new Promise<void>(register);
  }

  async function start(overrides: { readonly model?: string; readonly coldMs?: number } = {}): Promise<void> {
    incarnationCount += 1;
    incarnation = incarnationCount;
    id = `i-${randomHex(8)}`;
    model = overrides.model ?? model;
    phase = 'serving';
    endsAt = null;
    isUnresponsive = false;
    isAlwaysHealthy = false;
    fault = null;
    recentArrivals = [];
    prefixMemory.clear();
    coldUntil = clock.mono() + (overrides.coldMs ?? 0);
    const newServer = createServer(
      { keepAliveTimeout: spec.idleMs, maxHeaderSize: 65_536, requestTimeout: 0, headersTimeout: 0 },
      onRequest,
    );
    newServer.on('connection', onConnection);
    server = newServer;
    await listen(newServer);
    recordLife('started', overrides.coldMs ?? 0);
  }
  function listen(newServer: Server): Promise<void> {
    function bind(resolve: () => void, reject: (error: Error) => void): void {
      newServer.once('error', reject);
      function onListening(): void {
        const bound = newServer.address();
        if (bound && typeof bound === 'object') port = bound.port;
        resolve();
      }
      newServer.listen(port, spec.ip, onListening);
    }
    return new Promise<void>(bind);
  }
  function randomHex(count: number): string {
    let out = '';
    for (let i = 0; i < count; i += 1) out += randomInt(rng, 16).toString(16);
    return out;
  }

  function onConnection(socket: Socket): void {
    const maxSockets = Math.max(1, spec.maxConns - queue.length);
    if (sockets.size >= maxSockets) {
      socket.on('error', noop);
      socket.resetAndDestroy();
      return;
    }
    sockets.add(socket);
    function onClose(): void {
      sockets.delete(socket);
      activeBySocket.delete(socket);
      surplusBySocket.delete(socket);
    }
    socket.on('error', noop);
    socket.on('close', onClose);
  }

  function onRequest(req: IncomingMessage, res: ServerResponse): void {
    void handleRequest(req, res);
  }

  async function handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const ownIncarnation = incarnation;
    req.on('error', noop);
    res.on('error', noop);
    if (isUnresponsive) await whenResponsive();
    if (ownIncarnation !== incarnation || res.destroyed) return;
    activeBySocket.set(req.socket, (activeBySocket.get(req.socket) ?? 0) + 1);
    function onResponseClose(): void {
      activeBySocket.set(req.socket, Math.max(0, (activeBySocket.get(req.socket) ?? 1) - 1));
    }
    res.on('close', onResponseClose);
    const lateBytes = surplusBySocket.get(req.socket);
    if (lateBytes !== undefined) {
      surplusBySocket.delete(req.socket);
      req.socket.write(lateBytes);
    }
    const path = req.url ?? '';
    if (req.method === 'GET' && path === API_PATH.usage) return sendUsage(res);
    const isHealthCheck = req.method === 'GET' && path === spec.healthPath;
    const visitId = `${id}#${(visitCount += 1)}`;
    const attempt = header(req, HEADER.attemptId);
    const expectedWorker = header(req, HEADER.expectWorker);
    const deadlineMs = Number(header(req, HEADER.deadline) ?? 60_000);
    const lastEvent = Number(header(req, HEADER.lastEvent) ?? 0);
    const headers: Record<string, string> = {};
    for (const name of RECORDED_HEADERS) {
      const value = header(req, name);
      if (value !== null) headers[name] = value;
    }
    records.add({
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
      expect: expectedWorker,
      deadlineMs,
      lastEvent,
      probe: isHealthCheck,
      headers,
    });
    if (attempt !== null) res.setHeader(HEADER.attemptId, attempt);
    if (!isHealthCheck) {
      if (attempt === null) return reject(visitId, res, 400);
      if (expectedWorker !== null && expectedWorker !== id) return reject(visitId, res, 421);
      const expectedWeights = header(req, HEADER.expectWeightVersion);
      if (expectedWeights !== null && Number(expectedWeights) !== weights) return reject(visitId, res, 421);
      if (!withstandsColdLoad()) return void crashFromOverload();
      if (fault?.mode === 'refuse' && rng.next() < fault.share) return reject(visitId, res, 503);
    }
    if (exceedsMemory(req) || (activeCount >= spec.capacity && queue.length >= spec.queue))
      return reject(visitId, res, 503);
    const digest = await digestBody(req);
    if (digest === null || ownIncarnation !== incarnation) return;
    const job = {
      id: visitId,
      incarnation: ownIncarnation,
      req,
      res,
      attempt: attempt ?? '',
      urgency: Number(header(req, HEADER.urgency) ?? 5),
      lastEvent,
      deadlineAt: clock.mono() + deadlineMs,
      digest,
    };
    while (activeCount >= spec.capacity) if (!(await waitForSlot(job))) return;
    if (ownIncarnation === incarnation) await run(job, isHealthCheck);
  }

  function withstandsColdLoad(): boolean {
    if (spec.coldRateS <= 0 || coldLeftMs() === 0) return true;
    const now = clock.mono();
    recentArrivals.push(now);
    while (recentArrivals.length > 0 && now - (recentArrivals[0] ?? now) > 1_000) recentArrivals.shift();
    return recentArrivals.length <= spec.coldRateS * COLD_OVERLOAD_FACTOR + COLD_OVERLOAD_MARGIN;
  }
  function crashFromOverload(): Promise<void> {
    recordLife('fellOver');
    return crash();
  }

  function exceedsMemory(req: IncomingMessage): boolean {
    if (!spec.engine) return false;
    const { prompt, answer } = tokenCounts(req);
    return prompt + answer > spec.engine.kvTokens;
  }

  function reject(visitId: string, res: ServerResponse, status: number): void {
    records.add({ what: 'refused', visit: visitId, status });
    if (status === 421) res.setHeader(HEADER.workerId, id);
    if (status !== 421 || visitCount % 2 === 0) res.setHeader(HEADER.notRun, '1');
    setConnectionHeader(res);
    res.writeHead(status);
    res.end();
  }
  function setConnectionHeader(res: ServerResponse): void {
    responseCount += 1;
    if (phase === 'draining' || responseCount % spec.closeEvery === 0) res.setHeader('connection', 'close');
  }

  function waitForSlot(job: Omit<QueuedRequest, 'admit'>): Promise<boolean> {
    function enqueue(resolve: (mayRun: boolean) => void): void {
      let isSettled = false;
      function settle(mayRun: boolean): void {
        if (isSettled) return;
        isSettled = true;
        expiry.cancel();
        const index = queue.indexOf(entry);
        if (index >= 0) queue.splice(index, 1);
        resolve(mayRun);
      }
      function admit(): void {
        settle(true);
      }
      function onDeadline(): void {
        if (job.incarnation === incarnation && !job.res.destroyed) reject(job.id, job.res, 503);
        settle(false);
      }
      function onClose(): void {
        settle(false);
      }
      const entry: QueuedRequest = { ...job, admit };
      const expiry = clock.timer(Math.max(0, job.deadlineAt - clock.mono()), onDeadline);
      job.res.on('close', onClose);
      let index = queue.length;
      while (index > 0 && (queue[index - 1]?.urgency ?? 0) > job.urgency) index -= 1;
      queue.splice(index, 0, entry);
    }
    return new Promise<boolean>(enqueue);
  }

  async function run(job: Omit<QueuedRequest, 'admit'>, isHealthCheck: boolean): Promise<void> {
    activeCount += 1;
    try {
      if (isHealthCheck) answerHealth(job.res);
      else if (spec.engine && (header(job.req, HEADER.tokens) ?? '') !== '') await streamEvents(job, spec.engine);
      else await answerRequest(job);
    } finally {
      if (job.incarnation === incarnation) {
        activeCount -= 1;
        queue[0]?.admit();
      }
    }
  }

  function answerHealth(res: ServerResponse): void {
    res.setHeader(HEADER.workerId, id);
    if (coldLeftMs() > 0) res.setHeader(HEADER.coldMs, String(coldLeftMs()));
    setConnectionHeader(res);
    res.writeHead(phase === 'serving' || isAlwaysHealthy ? 200 : 503);
    res.end();
  }

  function sealOf(job: Omit<QueuedRequest, 'admit'>): string {
    return `${id.slice(2)}.${job.id.split('#')[1] ?? '0'}.${job.digest.slice(0, 8)}.${randomHex(6)}`;
  }
  function shouldInject(mode: FaultMode): boolean {
    return fault?.mode === mode && rng.next() < fault.share;
  }
  function isDropped(job: Omit<QueuedRequest, 'admit'>): boolean {
    return job.incarnation !== incarnation || job.res.destroyed;
  }

  function recordRan(job: Omit<QueuedRequest, 'admit'>): string {
    const seal = sealOf(job);
    records.add({ what: 'ran', visit: job.id, attempt: job.attempt, digest: job.digest, seal });
    return seal;
  }
  function recordFinished(
    job: Omit<QueuedRequest, 'admit'>,
    seal: string,
    status: number,
    digest: string,
    end: Finished['end'],
  ): void {
    records.add({
      what: 'finished',
      visit: job.id,
      seal,
      status,
      digest,
      end: end === 'dropped' && job.incarnation !== incarnation ? 'crashed' : end,
    });
  }

  async function answerRequest(job: Omit<QueuedRequest, 'admit'>): Promise<void> {
    const seal = recordRan(job);
    const repeats = Math.max(1, Math.ceil(spec.bytes / (seal.length + 1)));
    const body = Buffer.from(`${seal}|`.repeat(repeats));
    const digest = sha256Hex(body);
    const slowdown = coldLeftMs() > 0 ? 2 : 1;
    await delay(
      clock,
      Math.min(spec.workMs * slowdown * (0.75 + rng.next() / 2), Math.max(0, job.deadlineAt - clock.mono())),
    );
    await whenResponsive();
    if (isDropped(job)) return recordFinished(job, seal, 0, digest, 'dropped');
    if (clock.mono() >= job.deadlineAt) return sendError(job, seal, 504);
    if (shouldInject('fail')) return sendError(job, seal, 500);
    if (shouldInject('lostAnswer')) return truncateResponse(job, seal, digest);
    if (shouldInject('garbage')) return sendInvalidResponse(job, seal, digest, '\u0001\u0002 no answer at all\r\n\r\n');
    if (injectEndless(job, seal, digest)) return;
    const rawResponse = rawResponseText(job.attempt, seal, body);
    if (shouldInject('badStatus')) return sendInvalidResponse(job, seal, digest, rawResponse.replace(' 200 ', ' 000 '));
    if (shouldInject('badName'))
      return sendInvalidResponse(job, seal, digest, rawResponse.replace('\r\n', '\r\nno name: x\r\n'));
    job.res.setHeader(HEADER.seal, seal);
    setConnectionHeader(job.res);
    if (shouldInject('breakOff')) {
      job.res.writeHead(200, { 'content-length': String(body.length) });
      job.res.write(body.subarray(0, Math.floor(body.length / 2)));
      return truncateResponse(job, seal, digest);
    }
    recordFinished(job, seal, 200, digest, 'whole');
    const socket = job.res.socket;
    if (shouldInject('surplus') && socket) surplusBySocket.set(socket, rawResponse);
    const hasTrailingBytes = shouldInject('behind');
    if (visitCount % 2 === 0) job.res.writeHead(200, { 'content-length': String(body.length) });
    else job.res.writeHead(200);
    job.res.end(body);
    if (hasTrailingBytes) socket?.write(rawResponse);
  }

  /** Returns a complete response as raw text, to be written around the HTTP server. */
  function rawResponseText(attempt: string, seal: string, body: Buffer): string {
    return `HTTP/1.1 200 OK\r\n${HEADER.attemptId}: ${attempt}\r\n${HEADER.seal}: ${seal}\r\nContent-Length: ${body.length}\r\n\r\n${body.toString('latin1')}`;
  }
  function sendError(job: Omit<QueuedRequest, 'admit'>, seal: string, status: number): void {
    const body = Buffer.from(`failed ${seal}`);
    recordFinished(job, seal, status, sha256Hex(body), 'whole');
    job.res.setHeader(HEADER.seal, seal);
    setConnectionHeader(job.res);
    job.res.writeHead(status, { 'content-length': String(body.length) });
    job.res.end(body);
  }
  /** Closes the connection before the response is complete. */
  function truncateResponse(job: Omit<QueuedRequest, 'admit'>, seal: string, digest: string): void {
    recordFinished(job, seal, 200, digest, 'brokenOff');
    job.res.socket?.destroySoon();
  }

  /** Sends bytes that are no valid response of the protocol. */
  function sendInvalidResponse(job: Omit<QueuedRequest, 'admit'>, seal: string, digest: string, text: string): void {
    recordFinished(job, seal, 200, digest, 'spoiled');
    job.res.socket?.end(text);
  }

  /** Answers with a response that does not end, if such a fault is set and drawn. */
  function injectEndless(job: Omit<QueuedRequest, 'admit'>, seal: string, digest: string): boolean {
    const mode = (['endless', 'endlessTiny'] as const).find(shouldInject);
    const { socket } = job.res;
    if (mode === undefined || !socket) return false;
    recordFinished(job, seal, 200, digest, 'spoiled');
    socket.write(
      `HTTP/1.1 200 OK\r\n${HEADER.attemptId}: ${job.attempt}\r\n${HEADER.seal}: ${seal}\r\nTransfer-Encoding: chunked\r\n\r\n`,
    );
    sendWithoutEnd(socket, ENDLESS_PARTS[mode]);
    return true;
  }

  async function streamEvents(job: Omit<QueuedRequest, 'admit'>, engine: EngineSpec): Promise<void> {
    const { prompt, answer } = tokenCounts(job.req);
    const eventCount = Math.max(1, Math.ceil(answer / engine.tokensPerEvent));
    const slowdown = coldLeftMs() > 0 ? 2 : 1;
    await delay(
      clock,
      (prefixMemory.read(prompt, header(job.req, HEADER.prefix) ?? '') / engine.tokensPerMs) * slowdown,
    );
    await whenResponsive();
    if (isDropped(job)) return;
    if (clock.mono() >= job.deadlineAt) return reject(job.id, job.res, 503);
    const seal = recordRan(job);
    if (injectEndless(job, seal, '')) return;
    const hash = createHash('sha256');
    if (shouldInject('fail')) return sendError(job, seal, 500);
    job.res.setHeader(HEADER.seal, seal);
    job.res.setHeader(HEADER.weightVersions, String(weights));
    setConnectionHeader(job.res);
    job.res.writeHead(200, { 'content-type': 'text/event-stream' });
    const truncateAt = shouldInject('breakOff') || shouldInject('lostAnswer') ? Math.ceil(eventCount / 2) : 0;
    let announcedWeights = weights;
    const firstEvent = Math.floor(job.lastEvent / engine.tokensPerEvent) + 1;
    for (let eventNumber = firstEvent; eventNumber <= eventCount; eventNumber += 1) {
      if (eventNumber > firstEvent)
        await delay(clock, engine.stepMs * engine.tokensPerEvent * (1 + activeCount / spec.capacity / 4) * slowdown);
      await whenResponsive();
      if (isDropped(job)) return recordFinished(job, seal, 200, '', 'dropped');
      if (clock.mono() >= job.deadlineAt || eventNumber === truncateAt) return truncateResponse(job, seal, '');
      const event: EventSeen = { id: eventNumber * engine.tokensPerEvent, run: seal, n: eventNumber, of: eventCount };
      const text =
        weights === announcedWeights
          ? formatEvent(event)
          : `${HEADER.weightVersions}: ${weights}\n${formatEvent(event)}`;
      announcedWeights = weights;
      hash.update(text);
      job.res.write(text);
    }
    if (isDropped(job)) return recordFinished(job, seal, 200, '', 'dropped');
    recordFinished(job, seal, 200, hash.digest('hex'), 'whole');
    const socket = job.res.socket;
    const hasTrailingBytes = shouldInject('behind');
    job.res.end();
    if (hasTrailingBytes) socket?.write(rawResponseText(job.attempt, seal, Buffer.from('behind')));
  }

  function sendUsage(res: ServerResponse): void {
    const body = JSON.stringify({
      [USAGE.stage]: 'colocated',
      [USAGE.models]: [{ [USAGE.name]: 'm', [USAGE.weightVersion]: weights, adapters: [] }],
      [USAGE.ordered]: false,
      [USAGE.orders]: 0,
      [USAGE.queued]: queue.length,
      [USAGE.active]: activeCount,
      [USAGE.kvInUse]: Math.min(prefixMemory.tokensInUse(), spec.engine?.kvTokens ?? 0),
      [USAGE.kvTotal]: spec.engine?.kvTokens ?? 0,
      [USAGE.sessions]: 0,
    });
    res.writeHead(200, { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)) });
    res.end(body);
  }

  function drain(remainingMs: number | null): void {
    phase = 'draining';
    endsAt = remainingMs === null ? null : clock.mono() + remainingMs;
    recordLife('draining');
    const ownIncarnation = incarnation;
    function onDrainTimeout(): void {
      if (ownIncarnation === incarnation && phase === 'draining') void end();
    }
    if (remainingMs !== null) clock.timer(remainingMs, onDrainTimeout);
  }
  async function endIncarnation(): Promise<void> {
    incarnation = 0;
    phase = 'gone';
    activeCount = 0;
    const oldServer = server;
    server = null;
    isUnresponsive = false;
    for (const resume of resumeCallbacks) resume();
    resumeCallbacks = [];
    for (const entry of [...queue]) entry.admit();
    queue.length = 0;
    for (const socket of sockets) socket.resetAndDestroy();
    sockets.clear();
    if (oldServer) await closeServer(oldServer);
  }
  function closeServer(oldServer: Server): Promise<void> {
    function close(resolve: () => void): void {
      function onClosed(): void {
        resolve();
      }
      oldServer.close(onClosed);
    }
    return new Promise<void>(close);
  }
  async function crash(): Promise<void> {
    if (incarnation === 0) return;
    recordLife('crashed');
    await endIncarnation();
  }
  async function end(): Promise<void> {
    if (incarnation === 0) return;
    recordLife('ended');
    await endIncarnation();
  }
  function setUnresponsive(on: boolean): void {
    isUnresponsive = on;
    recordLife(on ? 'dark' : 'lit');
    if (on) return;
    for (const resume of resumeCallbacks) resume();
    resumeCallbacks = [];
  }
  function startColdPeriod(durationMs: number): void {
    coldUntil = clock.mono() + durationMs;
    recentArrivals = [];
    recordLife('cold', durationMs);
  }
  function setFault(newFault: Fault | null): void {
    fault = newFault;
  }
  function setAlwaysHealthy(on: boolean): void {
    isAlwaysHealthy = on;
  }
  function loadWeights(version: number): void {
    weights = version;
  }
  function resetIdleConnections(): void {
    for (const socket of sockets) if ((activeBySocket.get(socket) ?? 0) === 0) socket.resetAndDestroy();
  }
  function listed(): ListedWorker {
    const remainingMs = endsAt === null ? null : Math.max(0, Math.round(endsAt - clock.mono()));
    return {
      id,
      address: `${spec.ip}:${port}`,
      model,
      zone: spec.zone,
      capacity: spec.capacity,
      phase,
      coldLeftMs: coldLeftMs(),
      remainingMs,
      weights: spec.engine ? weights : null,
    };
  }
  function getActiveCount(): number {
    return activeCount;
  }
  return {
    start,
    seen: listed,
    drain,
    crash,
    end,
    setUnresponsive,
    startColdPeriod,
    fault: setFault,
    setAlwaysHealthy,
    loadWeights,
    resetIdleConnections,
    running: getActiveCount,
  };
}

function noop(): void {}
