import { Type } from '@sinclair/typebox';
import { LRUMap } from 'mnemonist';
import { ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import { readerOf } from '../protocol/read-shape.js';
import { HEALTH_PATH, readRun, RUN_PATH } from '../protocol/worker-wire.js';
import { markIn } from './mark.js';
import type { Run } from '../protocol/worker-wire.js';
import { addChunk, closeDigest, startDigest } from '../state/forwarding/response-digest.js';
import { every, delay } from '../transport/clock.js';
import type { Clock, Timer } from '../transport/clock.js';
import type { HttpClient, HttpServer, HttpReply, HttpRequest, Route } from '../transport/http.js';
import type { Journal } from '../transport/journal.js';
import { newId } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import type { Address, Listener, WireError } from '../transport/wire.js';

export type WorkerSettings = {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly address: Address;
  readonly platform: Address;
  readonly cloud: Address;
  readonly fixedModel: string | null;
  readonly capacity: number;
  readonly loadMs: number;
  readonly prefillUsPerToken: number;
  readonly decodeMsPerPiece: number;
  readonly tokensPerPiece: number;
};

export const WORKER_DEFAULTS = {
  capacity: 8,
  loadMs: 2_000,
  prefillUsPerToken: 60,
  decodeMsPerPiece: 25,
  tokensPerPiece: 8,
} as const;

export type WorkerDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly httpServer: HttpServer;
  readonly httpClient: HttpClient;
  readonly journal: Journal;
};

const FaultShape = Type.Object({
  mode: Type.Union([
    Type.Literal('none'),
    Type.Literal('silent'),
    Type.Literal('truncate'),
    Type.Literal('wrongSeal'),
    Type.Literal('swapPieces'),
    Type.Literal('refuse'),
    Type.Literal('stall'),
  ]),
});
const readFault = readerOf(FaultShape);
const readBoot = readerOf(
  Type.Object({
    machine: Type.String(),
    model: Type.String(),
    kind: Type.Union([Type.Literal('spot'), Type.Literal('onDemand')]),
  }),
);
const readDrain = readerOf(Type.Object({ remainingMs: Type.Optional(Type.Number()) }));

type Mode = 'none' | 'silent' | 'truncate' | 'wrongSeal' | 'swapPieces' | 'refuse' | 'stall';
type State = 'idle' | 'loading' | 'ready' | 'draining';

export type StandinWorker = { readonly address: Address; readonly stop: () => Promise<void> };

const CACHE_CHAINS = 4_096;

export async function startStandinWorker(
  workerSettings: WorkerSettings,
  deps: WorkerDeps,
): Promise<Result<StandinWorker, WireError>> {
  const { clock, rng, journal, httpClient } = deps;
  let state: State = 'idle';
  let model = '';
  let machine = '';
  let kind: 'spot' | 'onDemand' | 'fixed' = 'fixed';
  let incarnation = newId(rng, 'w');
  let readyAt = 0;
  let drainBy: number | null = null;
  let life = 0;
  let running = 0;
  let mode: Mode = 'none';
  let cache = new LRUMap<string, boolean>(CACHE_CHAINS);

  function note(event: string, run: Run | null, extra: Readonly<Record<string, unknown>> = {}): void {
    journal.record({
      who: 'worker',
      worker: workerSettings.id,
      machine,
      region: workerSettings.region,
      zone: workerSettings.zone,
      at: clock.wall(),
      event,
      ...(run ? { requestId: run.requestId, attemptId: run.attemptId } : {}),
      ...extra,
    });
  }

  function load(): void {
    const mine = life;
    state = 'loading';
    incarnation = newId(rng, 'w');
    cache = new LRUMap<string, boolean>(CACHE_CHAINS);
    function done(): void {
      if (mine !== life) return;
      state = 'ready';
      readyAt = clock.mono();
      note('ready', null);
      void heartbeat();
    }
    clock.timer(workerSettings.loadMs, done);
  }

  function halt(): void {
    life += 1;
    state = 'idle';
    drainBy = null;
    note('halted', null);
    if (workerSettings.fixedModel !== null) boot(`${workerSettings.id}-fixed`, workerSettings.fixedModel, 'fixed');
  }

  function boot(on: string, what: string, as: 'spot' | 'onDemand' | 'fixed'): void {
    life += 1;
    machine = on;
    model = what;
    kind = as;
    drainBy = null;
    load();
  }

  function remaining(): number | undefined {
    return drainBy === null ? undefined : Math.max(0, drainBy - clock.mono());
  }

  async function heartbeat(): Promise<void> {
    if (mode === 'silent') return;
    if (state === 'idle') {
      await httpClient.call({
        method: 'POST',
        address: workerSettings.cloud,
        path: '/lab/idle',
        body: { id: workerSettings.id, address: workerSettings.address, zone: workerSettings.zone },
        timeoutMs: 900,
      });
      return;
    }
    const left = remaining();
    await httpClient.call({
      method: 'POST',
      address: workerSettings.platform,
      path: '/lab/workers',
      body: {
        id: workerSettings.id,
        machine,
        address: workerSettings.address,
        model,
        zone: workerSettings.zone,
        region: workerSettings.region,
        kind,
        state,
        ...(left === undefined ? {} : { remainingMs: left }),
      },
      timeoutMs: 900,
    });
  }

  function cachedTokens(run: Run): number {
    let chain = run.model;
    let tokens = 0;
    let warm = true;
    for (const part of run.parts) {
      chain = `${chain}>${part.hash}`;
      if (warm && cache.has(chain)) tokens += part.tokens;
      else warm = false;
      cache.set(chain, true);
    }
    return tokens;
  }

  async function prefill(run: Run): Promise<void> {
    let all = 0;
    for (const part of run.parts) all += part.tokens;
    const hit = cachedTokens(run);
    note('prefill', run, { tokens: all, hit });
    await delay(clock, 1 + ((all - hit) * workerSettings.prefillUsPerToken) / 1_000);
  }

  function textOf(run: Run, count: number): string {
    return `${run.requestId.slice(-6)}/${run.attemptId.slice(-6)}/${count} `;
  }

  function pieceCount(run: Run): number {
    return Math.max(1, Math.ceil(run.outputTokens / workerSettings.tokensPerPiece));
  }

  async function* produce(run: Run, mine: number): AsyncGenerator<unknown> {
    const check = startDigest(run.requestId, run.attemptId);
    try {
      await prefill(run);
      const total = pieceCount(run);
      for (let count = 0; count < total; count += 1) {
        await delay(clock, workerSettings.decodeMsPerPiece);
        if (mine !== life) return;
        if (mode === 'truncate' && count >= total / 2) return;
        if (mode === 'stall' && count > 0) await delay(clock, 600_000);
        const piece = { n: mode === 'swapPieces' && count === 1 ? 2 : count, text: textOf(run, count) };
        addChunk(check, { n: count, text: piece.text });
        yield { piece };
      }
      const digest = closeDigest(check, run.attemptId);
      note('end', run, { digest: digest.digest, pieces: digest.pieces });
      yield { seal: mode === 'wrongSeal' ? { ...digest, digest: digest.digest.replace(/^./, flip) } : digest };
    } finally {
      running -= 1;
    }
  }
  function flip(character: string): string {
    return character === '0' ? '1' : '0';
  }

  async function run(req: HttpRequest): Promise<HttpReply> {
    const read = readRun(req.body);
    if (!read.ok) return { status: 400, body: { error: read.error } };
    const ask = read.value;
    note('arrived', ask, { model: ask.model, state, running, mark: markIn(ask.parts), came: req.cameAt ?? null });
    if (mode === 'silent') await delay(clock, 600_000);
    if (state !== 'ready' || ask.model !== model || running >= workerSettings.capacity || mode === 'refuse') {
      note('refused', ask);
      return { status: 503, body: { notRun: true, requestId: ask.requestId, attemptId: ask.attemptId } };
    }
    running += 1;
    note('begin', ask, { tokens: ask.outputTokens, mark: markIn(ask.parts) });
    const lines = produce(ask, life);
    if (ask.stream) return { status: 200, lines };
    const pieces: unknown[] = [];
    let digest: unknown = null;
    for await (const line of lines) {
      const at = line as { readonly piece?: unknown; readonly seal?: unknown };
      if (at.piece !== undefined) pieces.push(at.piece);
      else digest = at.seal;
    }
    if (digest === null) return { status: 500, body: { error: 'cut' } };
    return { status: 200, body: { pieces, seal: digest } };
  }

  async function health(): Promise<HttpReply> {
    if (mode === 'silent') await delay(clock, 600_000);
    const left = remaining();
    return {
      status: 200,
      body: {
        id: workerSettings.id,
        incarnation,
        model,
        state,
        running,
        readyForMs: state === 'ready' ? clock.mono() - readyAt : 0,
        ...(left === undefined ? {} : { remainingMs: left }),
      },
    };
  }

  async function onBoot(req: HttpRequest): Promise<HttpReply> {
    const read = readBoot(req.body);
    if (!read.ok || state !== 'idle') return { status: 409, body: {} };
    boot(read.value.machine, read.value.model, read.value.kind);
    return { status: 200, body: {} };
  }
  async function onHalt(): Promise<HttpReply> {
    halt();
    return { status: 200, body: {} };
  }
  async function onDrain(req: HttpRequest): Promise<HttpReply> {
    const read = readDrain(req.body);
    if (!read.ok) return { status: 400, body: {} };
    state = 'draining';
    drainBy = clock.mono() + (read.value.remainingMs ?? 60_000);
    note('draining', null, { remainingMs: read.value.remainingMs ?? null });
    void heartbeat();
    return { status: 200, body: {} };
  }
  async function onFault(req: HttpRequest): Promise<HttpReply> {
    const read = readFault(req.body);
    if (!read.ok) return { status: 400, body: { error: read.error } };
    mode = read.value.mode;
    note('fault', null, { mode });
    return { status: 200, body: {} };
  }
  async function onCold(): Promise<HttpReply> {
    note('cold', null);
    life += 1;
    load();
    return { status: 200, body: {} };
  }

  const routes: Route[] = [
    { method: 'POST', path: RUN_PATH, maxBytes: 64 * 1_048_576, handle: run },
    { method: 'GET', path: HEALTH_PATH, handle: health },
    { method: 'POST', path: '/lab/boot', handle: onBoot },
    { method: 'POST', path: '/lab/halt', handle: onHalt },
    { method: 'POST', path: '/lab/drain', handle: onDrain },
    { method: 'POST', path: '/lab/fault', handle: onFault },
    { method: 'POST', path: '/lab/cold', handle: onCold },
  ];
  const opened = await deps.httpServer.open(workerSettings.address, routes);
  if (!opened.ok) return opened;
  const httpServer: Listener = opened.value;
  if (workerSettings.fixedModel !== null) boot(`${workerSettings.id}-fixed`, workerSettings.fixedModel, 'fixed');

  function tick(): void {
    void heartbeat();
  }
  const heartbeatTimer: Timer = every(clock, 500, tick);
  tick();

  async function stop(): Promise<void> {
    heartbeatTimer.cancel();
    life += 1;
    await httpServer.close();
  }
  return ok({ address: httpServer.address, stop });
}
