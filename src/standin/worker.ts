/**
 * Stand-in of a worker: loads a model when the cloud boots it, sends heartbeats to the platform, and runs requests with
 * the prefill and decode times of its settings. `/lab/` paths boot, halt and drain it and inject faults.
 */
import { Type } from '@sinclair/typebox';
import { LRUMap } from 'mnemonist';
import { ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import { readerOf } from '../protocol/read-shape.js';
import { HEALTH_PATH, readRun, RUN_PATH } from '../protocol/worker-wire.js';
import { findMark } from './mark.js';
import type { Run } from '../protocol/worker-wire.js';
import { addChunk, closeDigest, startDigest } from '../state/forwarding/response-digest.js';
import { every, delay } from '../transport/clock.js';
import type { Clock, Timer } from '../transport/clock.js';
import type { HttpClient, HttpServer, HttpReply, HttpRequest, Route } from '../transport/http.js';
import type { Journal } from '../transport/journal.js';
import { newId } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import type { Address, Listener, WireError } from '../transport/wire.js';

/** Identity and speed of a worker; without a `fixedModel` it is idle until the cloud boots it. */
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

/** Default capacity and speed. */
export const WORKER_DEFAULTS = {
  capacity: 8,
  loadMs: 2_000,
  prefillUsPerToken: 60,
  decodeMsPerPiece: 25,
  tokensPerPiece: 8,
} as const;

/** Dependencies of a worker. */
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

type FaultMode = 'none' | 'silent' | 'truncate' | 'wrongSeal' | 'swapPieces' | 'refuse' | 'stall';
type State = 'idle' | 'loading' | 'ready' | 'draining';

/** A running worker. */
export type StandinWorker = { readonly address: Address; readonly stop: () => Promise<void> };

const MAX_CACHED_PREFIXES = 4_096;

/** Starts a worker that listens at its address. */
export async function startStandinWorker(
  settings: WorkerSettings,
  deps: WorkerDeps,
): Promise<Result<StandinWorker, WireError>> {
  const { clock, rng, journal, httpClient } = deps;
  let state: State = 'idle';
  let model = '';
  let machine = '';
  let kind: 'spot' | 'onDemand' | 'fixed' = 'fixed';
  let incarnation = newId(rng, 'w');
  let readyAt = 0;
  let drainDeadline: number | null = null;
  // Incremented by boot, halt, cold restart and stop; timers and responses of an older epoch end.
  let epoch = 0;
  let running = 0;
  let faultMode: FaultMode = 'none';
  let cache = new LRUMap<string, boolean>(MAX_CACHED_PREFIXES);

  function writeRecord(event: string, run: Run | null, extra: Readonly<Record<string, unknown>> = {}): void {
    journal.record({
      who: 'worker',
      worker: settings.id,
      machine,
      region: settings.region,
      zone: settings.zone,
      at: clock.wall(),
      event,
      ...(run ? { requestId: run.requestId, attemptId: run.attemptId } : {}),
      ...extra,
    });
  }

  function loadModel(): void {
    const startEpoch = epoch;
    state = 'loading';
    incarnation = newId(rng, 'w');
    cache = new LRUMap<string, boolean>(MAX_CACHED_PREFIXES);
    function onLoaded(): void {
      if (startEpoch !== epoch) return;
      state = 'ready';
      readyAt = clock.mono();
      writeRecord('ready', null);
      void heartbeat();
    }
    clock.timer(settings.loadMs, onLoaded);
  }

  function halt(): void {
    epoch += 1;
    state = 'idle';
    drainDeadline = null;
    writeRecord('halted', null);
    if (settings.fixedModel !== null) boot(`${settings.id}-fixed`, settings.fixedModel, 'fixed');
  }

  function boot(machineId: string, modelName: string, machineKind: 'spot' | 'onDemand' | 'fixed'): void {
    epoch += 1;
    machine = machineId;
    model = modelName;
    kind = machineKind;
    drainDeadline = null;
    loadModel();
  }

  function remainingDrainMs(): number | undefined {
    return drainDeadline === null ? undefined : Math.max(0, drainDeadline - clock.mono());
  }

  async function heartbeat(): Promise<void> {
    if (faultMode === 'silent') return;
    if (state === 'idle') {
      await httpClient.call({
        method: 'POST',
        address: settings.cloud,
        path: '/lab/idle',
        body: { id: settings.id, address: settings.address, zone: settings.zone },
        timeoutMs: 900,
      });
      return;
    }
    const remaining = remainingDrainMs();
    await httpClient.call({
      method: 'POST',
      address: settings.platform,
      path: '/lab/workers',
      body: {
        id: settings.id,
        machine,
        address: settings.address,
        model,
        zone: settings.zone,
        region: settings.region,
        kind,
        state,
        ...(remaining === undefined ? {} : { remainingMs: remaining }),
      },
      timeoutMs: 900,
    });
  }

  // Returns the tokens of the longest cached prefix, and caches all prefixes of the prompt.
  function cacheAndCountHits(run: Run): number {
    let prefix = run.model;
    let tokens = 0;
    let isPrefixCached = true;
    for (const part of run.parts) {
      prefix = `${prefix}>${part.hash}`;
      if (isPrefixCached && cache.has(prefix)) tokens += part.tokens;
      else isPrefixCached = false;
      cache.set(prefix, true);
    }
    return tokens;
  }

  async function prefill(run: Run): Promise<void> {
    let totalTokens = 0;
    for (const part of run.parts) totalTokens += part.tokens;
    const cachedTokens = cacheAndCountHits(run);
    writeRecord('prefill', run, { tokens: totalTokens, hit: cachedTokens });
    await delay(clock, 1 + ((totalTokens - cachedTokens) * settings.prefillUsPerToken) / 1_000);
  }

  function textOf(run: Run, index: number): string {
    return `${run.requestId.slice(-6)}/${run.attemptId.slice(-6)}/${index} `;
  }

  function pieceCount(run: Run): number {
    return Math.max(1, Math.ceil(run.outputTokens / settings.tokensPerPiece));
  }

  async function* produce(run: Run, startEpoch: number): AsyncGenerator<unknown> {
    const responseDigest = startDigest(run.requestId, run.attemptId);
    try {
      await prefill(run);
      const total = pieceCount(run);
      for (let index = 0; index < total; index += 1) {
        await delay(clock, settings.decodeMsPerPiece);
        if (startEpoch !== epoch) return;
        if (faultMode === 'truncate' && index >= total / 2) return;
        if (faultMode === 'stall' && index > 0) await delay(clock, 600_000);
        const piece = { n: faultMode === 'swapPieces' && index === 1 ? 2 : index, text: textOf(run, index) };
        addChunk(responseDigest, { n: index, text: piece.text });
        yield { piece };
      }
      const digest = closeDigest(responseDigest, run.attemptId);
      writeRecord('end', run, { digest: digest.digest, pieces: digest.pieces });
      yield {
        seal: faultMode === 'wrongSeal' ? { ...digest, digest: digest.digest.replace(/^./, flipDigit) } : digest,
      };
    } finally {
      running -= 1;
    }
  }
  function flipDigit(character: string): string {
    return character === '0' ? '1' : '0';
  }

  async function onRun(req: HttpRequest): Promise<HttpReply> {
    const read = readRun(req.body);
    if (!read.ok) return { status: 400, body: { error: read.error } };
    const runRequest = read.value;
    writeRecord('arrived', runRequest, {
      model: runRequest.model,
      state,
      running,
      mark: findMark(runRequest.parts),
      came: req.arrivedAt ?? null,
    });
    if (faultMode === 'silent') await delay(clock, 600_000);
    if (state !== 'ready' || runRequest.model !== model || running >= settings.capacity || faultMode === 'refuse') {
      writeRecord('refused', runRequest);
      return { status: 503, body: { notRun: true, requestId: runRequest.requestId, attemptId: runRequest.attemptId } };
    }
    running += 1;
    writeRecord('begin', runRequest, { tokens: runRequest.outputTokens, mark: findMark(runRequest.parts) });
    const lines = produce(runRequest, epoch);
    if (runRequest.stream) return { status: 200, lines };
    const pieces: unknown[] = [];
    let digest: unknown = null;
    for await (const line of lines) {
      const item = line as { readonly piece?: unknown; readonly seal?: unknown };
      if (item.piece !== undefined) pieces.push(item.piece);
      else digest = item.seal;
    }
    if (digest === null) return { status: 500, body: { error: 'cut' } };
    return { status: 200, body: { pieces, seal: digest } };
  }

  async function onHealth(): Promise<HttpReply> {
    if (faultMode === 'silent') await delay(clock, 600_000);
    const remaining = remainingDrainMs();
    return {
      status: 200,
      body: {
        id: settings.id,
        incarnation,
        model,
        state,
        running,
        readyForMs: state === 'ready' ? clock.mono() - readyAt : 0,
        ...(remaining === undefined ? {} : { remainingMs: remaining }),
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
    drainDeadline = clock.mono() + (read.value.remainingMs ?? 60_000);
    writeRecord('draining', null, { remainingMs: read.value.remainingMs ?? null });
    void heartbeat();
    return { status: 200, body: {} };
  }
  async function onFault(req: HttpRequest): Promise<HttpReply> {
    const read = readFault(req.body);
    if (!read.ok) return { status: 400, body: { error: read.error } };
    faultMode = read.value.mode;
    writeRecord('fault', null, { mode: faultMode });
    return { status: 200, body: {} };
  }
  async function onCold(): Promise<HttpReply> {
    writeRecord('cold', null);
    epoch += 1;
    loadModel();
    return { status: 200, body: {} };
  }

  const routes: Route[] = [
    { method: 'POST', path: RUN_PATH, maxBytes: 64 * 1_048_576, handle: onRun },
    { method: 'GET', path: HEALTH_PATH, handle: onHealth },
    { method: 'POST', path: '/lab/boot', handle: onBoot },
    { method: 'POST', path: '/lab/halt', handle: onHalt },
    { method: 'POST', path: '/lab/drain', handle: onDrain },
    { method: 'POST', path: '/lab/fault', handle: onFault },
    { method: 'POST', path: '/lab/cold', handle: onCold },
  ];
  const opened = await deps.httpServer.open(settings.address, routes);
  if (!opened.ok) return opened;
  const listener: Listener = opened.value;
  if (settings.fixedModel !== null) boot(`${settings.id}-fixed`, settings.fixedModel, 'fixed');

  function tick(): void {
    void heartbeat();
  }
  const heartbeatTimer: Timer = every(clock, 500, tick);
  tick();

  async function stop(): Promise<void> {
    heartbeatTimer.cancel();
    epoch += 1;
    await listener.close();
  }
  return ok({ address: listener.address, stop });
}
