/**
 * Simulates a day of a deployment with the engine model: clients send requests, each proxy selects a worker
 * with its own registry, proxies exchange their loads through controllers, and workers prefill and decode.
 * Deterministic by seed, without sockets or processes. The mode `omniscient` selects workers by their true state
 * at that moment, which no proxy can know; it is the upper bound for selection policies.
 */

import { Heap } from 'mnemonist';
import type { PrefixBlock } from '../../state/discovery/prefix-cache.js';
import { createWorkerRegistry } from '../../state/discovery/worker-registry.js';
import type { Reservation, SelectionRequest, WorkerRegistry } from '../../state/discovery/worker-registry.js';
import type { WorkerEntry } from '../../state/discovery/worker-entry.js';
import type { ModelTraits } from '../../state/configuration/serving.js';
import type { EdgeTuning } from '../../state/forwarding/edge-tuning.js';
import { createRng, exponential, pick } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import { workerEntry } from '../builders.js';
import type { DeployedProxy, DeployedWorker, Deployment, RequestKind } from './deployment.js';
import { createEngineTally } from './engine-tally.js';
import type { EngineTally, EngineDayResult, TalliedRequest } from './engine-tally.js';
import { createEngineWorker } from './engine-worker.js';
import type { EngineEvent, EngineWorker } from './engine-worker.js';
import { startLoadExchange } from './load-exchange.js';
import type { LoadIntervals } from './load-exchange.js';
import { createPromptSource, drawnSize } from './prompt-source.js';
import type { PromptSource } from './prompt-source.js';

/** How workers are selected: by the registries of the proxies, or by the true state of all workers. */
export type SelectionMode = 'registry' | 'omniscient';

/** Options of a simulated day. */
export type EngineDayOptions = Partial<LoadIntervals> & {
  readonly seed: number;
  readonly tuning: EdgeTuning;
  readonly mode?: SelectionMode;
};

const MODEL = 'm';
/** Default intervals, those at which real proxies report and real controllers relay loads. */
const REPORT_INTERVAL_MS = 100;
const RELAY_INTERVAL_MS = 100;
const CLIENT_DELAY_MS = 1;
const QUEUE_CHECK_INTERVAL_MS = 25;
const QUEUE_TARGET_FRACTION = 0.22;
const CLIENT_RETRY_DELAY_MS = 1_000;
const MS_PER_SECOND = 1_000;
/** Cost of a shared token that is prefilled again, as waiting time, in omniscient selection. */
const OMNISCIENT_REREAD_MS_PER_TOKEN = 0.03;

type ScheduledEvent = { readonly at: number; readonly order: number; readonly run: () => void };

type ProxyState = {
  readonly deployed: DeployedProxy;
  readonly registry: WorkerRegistry;
};
type WorkerState = { readonly deployed: DeployedWorker; readonly engine: EngineWorker; isStepping: boolean };
/** A request of the day, from its arrival on. */
type DayRequest = TalliedRequest & {
  readonly id: number;
  readonly proxy: ProxyState;
  worker: WorkerState | null;
  reservation: Reservation | null;
  lastEventAt: number;
  longestPauseMs: number;
  firstEventAt: number | null;
  hasRetried: boolean;
};

class EngineDay {
  private readonly events = new Heap<ScheduledEvent>((left, right) => left.at - right.at || left.order - right.order);
  private readonly rng: Rng;
  private readonly workers = new Map<string, WorkerState>();
  private readonly proxies: ProxyState[] = [];
  private readonly requests = new Map<number, DayRequest>();
  private readonly tally: EngineTally;
  private readonly traits: ModelTraits;
  private now = 0;
  private order = 0;
  private lastId = 0;

  constructor(
    private readonly deployment: Deployment,
    private readonly options: EngineDayOptions,
  ) {
    this.rng = createRng(options.seed);
    this.tally = createEngineTally(deployment);
    const [first] = deployment.workers;
    const { batch, kvTokens } = (first as DeployedWorker).engine;
    this.traits = {
      at: 0,
      probePath: '/h',
      maxConns: 100_000,
      coldS: 0,
      coldRateS: 0,
      engine: { batch, kvTokens },
    };
    for (const deployed of deployment.workers)
      this.workers.set(deployed.id, { deployed, engine: createEngineWorker(deployed.engine), isStepping: false });
    for (const deployed of deployment.proxies) this.proxies.push(this.createProxy(deployed));
  }

  private createProxy(deployed: DeployedProxy): ProxyState {
    const registry = createWorkerRegistry({ ...deployed, openConnections: () => 1 }, this.options.tuning);
    registry.applyList(this.deployment.workers.map(workerEntryOf), 0);
    const sharingProxies: Record<string, { region: string }> = {};
    for (const { name, region } of this.deployment.proxies) sharingProxies[name] = { region };
    registry.setSharingProxies(sharingProxies);
    return { deployed, registry };
  }

  private after(ms: number, run: () => void): void {
    this.order += 1;
    this.events.push({ at: this.now + ms, order: this.order, run });
  }

  private delayMs(proxy: ProxyState, worker: WorkerState): number {
    const { zone, region } = worker.deployed;
    if (region !== proxy.deployed.region) return this.deployment.crossRegionMs;
    return zone === proxy.deployed.zone ? this.deployment.inZoneMs : this.deployment.crossZoneMs;
  }

  run(): EngineDayResult {
    for (const kind of this.deployment.kinds) this.scheduleArrival(kind, createPromptSource(kind, this.rng));
    this.startLoadExchange();
    for (let next = this.events.pop(); next; next = this.events.pop()) {
      this.now = next.at;
      next.run();
    }
    for (const request of this.requests.values()) this.tally.addUnserved(request);
    for (const { engine } of this.workers.values()) this.tally.worker(engine.counts);
    return this.tally.result();
  }

  private startLoadExchange(): void {
    const { loadMs = REPORT_INTERVAL_MS, relayMs = RELAY_INTERVAL_MS } = this.options;
    const participants = this.proxies.map(({ deployed, registry }) => ({ name: deployed.name, registry }));
    const clock = {
      now: () => this.now,
      after: (ms: number, run: () => void) => this.after(ms, run),
      isOver: () => this.isOver(),
    };
    startLoadExchange(this.deployment, clock, { loadMs, relayMs }, participants);
  }

  private isOver(): boolean {
    return this.now >= this.deployment.lengthMs;
  }

  private scheduleArrival(kind: RequestKind, prompts: PromptSource): void {
    this.after((exponential(this.rng) * MS_PER_SECOND) / kind.ratePerSecond, () => {
      if (this.isOver()) return;
      this.onArrival(kind, prompts);
      this.scheduleArrival(kind, prompts);
    });
  }

  private onArrival(kind: RequestKind, prompts: PromptSource): void {
    this.lastId += 1;
    const parts = prompts.next(this.lastId);
    let promptTokens = 0;
    for (const part of parts) promptTokens += part.tokens;
    const request: DayRequest = {
      id: this.lastId,
      kind,
      proxy: pick(this.rng, this.proxies),
      arrivedAt: this.now,
      parts,
      promptTokens,
      outTokens: drawnSize(this.rng, kind.outTokens),
      worker: null,
      reservation: null,
      lastEventAt: 0,
      longestPauseMs: 0,
      firstEventAt: null,
      hasRetried: false,
    };
    this.requests.set(request.id, request);
    this.tally.asked(request);
    this.after(CLIENT_DELAY_MS, () => this.dispatch(request, this.now + kind.aimMs * QUEUE_TARGET_FRACTION));
  }

  private selectionOf(request: DayRequest): SelectionRequest {
    return {
      model: MODEL,
      traits: this.traits,
      parts: request.parts,
      tokens: request.promptTokens,
      outTokens: request.kind.outTokens.most,
      bytes: request.promptTokens,
      homes: request.kind.homes,
      pinned: true,
      avoid: new Set(),
      now: this.now,
    };
  }

  private dispatch(request: DayRequest, deadline: number): void {
    const worker = this.options.mode === 'omniscient' ? this.selectOmniscient(request) : this.selectByRegistry(request);
    if (worker) {
      request.worker = worker;
      this.after(this.delayMs(request.proxy, worker), () => this.addToWorker(worker, request));
    } else if (this.now < deadline) this.after(QUEUE_CHECK_INTERVAL_MS, () => this.dispatch(request, deadline));
    else if (!request.hasRetried) {
      request.hasRetried = true;
      this.after(CLIENT_RETRY_DELAY_MS, () =>
        this.dispatch(request, this.now + request.kind.aimMs * QUEUE_TARGET_FRACTION),
      );
    }
  }

  private selectByRegistry(request: DayRequest): WorkerState | null {
    const { registry } = request.proxy;
    const selection = this.selectionOf(request);
    const selected = registry.selectWorker(selection);
    if (selected.tag !== 'row') return null;
    request.reservation = registry.reserve(selected.row, selection);
    return this.workers.get(selected.row.entry.id) ?? null;
  }

  private selectOmniscient(request: DayRequest): WorkerState | null {
    let fastest: WorkerState | null = null;
    let minMs = Infinity;
    const sharedTokens = request.promptTokens - (request.parts[request.parts.length - 1] as PrefixBlock).tokens;
    for (const worker of this.workers.values()) {
      const { deployed, engine } = worker;
      if (request.kind.homes.length > 0 && !request.kind.homes.includes(deployed.region)) continue;
      if (engine.running() >= deployed.engine.batch) continue;
      const cachedTokens = Math.min(engine.cachedTokens(request.parts), sharedTokens);
      const prefillTokens = request.promptTokens - cachedTokens + engine.pendingPrefillTokens();
      const estimatedMs =
        (prefillTokens / deployed.engine.tokensPerMs + deployed.engine.stepMs) * deployed.engine.slowdown +
        2 * this.delayMs(request.proxy, worker) +
        (sharedTokens - cachedTokens) * OMNISCIENT_REREAD_MS_PER_TOKEN;
      if (estimatedMs >= minMs) continue;
      minMs = estimatedMs;
      fastest = worker;
    }
    return fastest;
  }

  private addToWorker(worker: WorkerState, request: DayRequest): void {
    worker.engine.add({
      id: request.id,
      parts: request.parts,
      promptTokens: request.promptTokens,
      outTokens: request.outTokens,
      urgency: request.kind.rank,
    });
    if (!worker.isStepping) this.step(worker);
  }

  private step(worker: WorkerState): void {
    const result = worker.engine.advance(this.now);
    worker.isStepping = result !== null;
    if (!result) return;
    this.after(result.until - this.now, () => {
      for (const event of result.events) this.onEngineEvent(worker, event);
      this.step(worker);
    });
  }

  private onEngineEvent(worker: WorkerState, event: EngineEvent): void {
    const request = this.requests.get(event.id);
    if (!request) return;
    if (event.tag === 'begun') this.tally.read(request, event.cachedTokens);
    else this.after(this.delayMs(request.proxy, worker), () => this.onResponseEvent(request, event));
  }

  private onResponseEvent(request: DayRequest, event: EngineEvent): void {
    if (request.firstEventAt === null) request.firstEventAt = this.now;
    else request.longestPauseMs = Math.max(request.longestPauseMs, this.now - request.lastEventAt);
    request.lastEventAt = this.now;
    request.reservation?.read();
    if (event.tag !== 'end') return;
    request.reservation?.end();
    this.requests.delete(request.id);
    this.tally.addServed(request);
  }
}

/** Simulates one day of a deployment. The same deployment and options always give the same result. */
export function playEngineDay(deployment: Deployment, options: EngineDayOptions): EngineDayResult {
  return new EngineDay(deployment, options).run();
}

function workerEntryOf({ id, zone, region, engine }: DeployedWorker): WorkerEntry {
  return workerEntry(id, zone, { model: MODEL, region, places: engine.batch });
}
