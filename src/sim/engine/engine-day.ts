/**
 * A day of a deployment in the engine model: callers ask, proxies place each request with their own
 * registry and tell each other their loads over controllers, workers read and answer. By seed, without
 * sockets or processes. `omniscient` places with the true state of every worker at the moment of choice:
 * what no proxy can know, and so the bound that a policy is measured against.
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

/** How requests are placed: by the registries of the proxies, or with the true state of all workers. */
export type PlacementMode = 'registry' | 'omniscient';

/** Options of a day. */
export type EngineDayOptions = Partial<LoadIntervals> & {
  readonly seed: number;
  readonly tuning: EdgeTuning;
  readonly mode?: PlacementMode;
};

const MODEL = 'm';
/** As the proxies report and the controllers relay. */
const LOAD_MS = 100;
const RELAY_MS = 100;
const CLIENT_MS = 1;
const RETRY_LOOK_MS = 25;
const QUEUE_AIM_FRACTION = 0.22;
const CALLER_BACK_MS = 1_000;
const SECOND_MS = 1_000;
/** Omniscient placement weighs a token that is read again like so many milliseconds of wait. */
const OMNISCIENT_REREAD_MS = 0.03;

type Timed = { readonly at: number; readonly order: number; readonly run: () => void };

type ProxyState = {
  readonly deployed: DeployedProxy;
  readonly registry: WorkerRegistry;
};
type WorkerState = { readonly deployed: DeployedWorker; readonly engine: EngineWorker; stepping: boolean };
/** A request of the day, from its arrival on. */
type DayRequest = TalliedRequest & {
  readonly id: number;
  readonly proxy: ProxyState;
  worker: WorkerState | null;
  reservation: Reservation | null;
  lastEventAt: number;
  longestPauseMs: number;
  firstAt: number | null;
  returned: boolean;
};

class EngineDay {
  private readonly events = new Heap<Timed>((left, right) => left.at - right.at || left.order - right.order);
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
    const { batch, kvTokens } = (first as DeployedWorker).figures;
    this.traits = {
      at: 0,
      probePath: '/h',
      maxConns: 100_000,
      coldS: 0,
      coldRateS: 0,
      engine: { batch, kvTokens },
    };
    for (const deployed of deployment.workers)
      this.workers.set(deployed.id, { deployed, engine: createEngineWorker(deployed.figures), stepping: false });
    for (const deployed of deployment.proxies) this.proxies.push(this.openProxy(deployed));
  }

  private openProxy(deployed: DeployedProxy): ProxyState {
    const registry = createWorkerRegistry({ ...deployed, openConnections: () => 1 }, this.options.tuning);
    registry.applyList(this.deployment.workers.map(listed), 0);
    const sharing: Record<string, { region: string }> = {};
    for (const { name, region } of this.deployment.proxies) sharing[name] = { region };
    registry.setSharingProxies(sharing);
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

  play(): EngineDayResult {
    for (const kind of this.deployment.kinds) this.awaitArrival(kind, createPromptSource(kind, this.rng));
    this.startLoadExchange();
    for (let next = this.events.pop(); next; next = this.events.pop()) {
      this.now = next.at;
      next.run();
    }
    for (const request of this.requests.values()) this.tally.unserved(request);
    for (const { engine } of this.workers.values()) this.tally.worker(engine.counts);
    return this.tally.result();
  }

  private startLoadExchange(): void {
    const { loadMs = LOAD_MS, relayMs = RELAY_MS } = this.options;
    const sharers = this.proxies.map(({ deployed, registry }) => ({ name: deployed.name, registry }));
    const clock = {
      now: () => this.now,
      after: (ms: number, run: () => void) => this.after(ms, run),
      isOver: () => this.isOver(),
    };
    startLoadExchange(this.deployment, clock, { loadMs, relayMs }, sharers);
  }

  private isOver(): boolean {
    return this.now >= this.deployment.lengthMs;
  }

  private awaitArrival(kind: RequestKind, prompts: PromptSource): void {
    this.after((exponential(this.rng) * SECOND_MS) / kind.perS, () => {
      if (this.isOver()) return;
      this.arrive(kind, prompts);
      this.awaitArrival(kind, prompts);
    });
  }

  private arrive(kind: RequestKind, prompts: PromptSource): void {
    this.lastId += 1;
    const parts = prompts.next(this.lastId);
    let promptTokens = 0;
    for (const part of parts) promptTokens += part.tokens;
    const request: DayRequest = {
      id: this.lastId,
      kind,
      proxy: pick(this.rng, this.proxies),
      cameAt: this.now,
      parts,
      promptTokens,
      outTokens: drawnSize(this.rng, kind.outTokens),
      worker: null,
      reservation: null,
      lastEventAt: 0,
      longestPauseMs: 0,
      firstAt: null,
      returned: false,
    };
    this.requests.set(request.id, request);
    this.tally.asked(request);
    this.after(CLIENT_MS, () => this.place(request, this.now + kind.aimMs * QUEUE_AIM_FRACTION));
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

  private place(request: DayRequest, until: number): void {
    const worker = this.options.mode === 'omniscient' ? this.placeOmniscient(request) : this.placeByRegistry(request);
    if (worker) {
      request.worker = worker;
      this.after(this.delayMs(request.proxy, worker), () => this.arriveAt(worker, request));
    } else if (this.now < until) this.after(RETRY_LOOK_MS, () => this.place(request, until));
    else if (!request.returned) {
      request.returned = true;
      this.after(CALLER_BACK_MS, () => this.place(request, this.now + request.kind.aimMs * QUEUE_AIM_FRACTION));
    }
  }

  private placeByRegistry(request: DayRequest): WorkerState | null {
    const { registry } = request.proxy;
    const selection = this.selectionOf(request);
    const found = registry.selectWorker(selection);
    if (found.tag !== 'row') return null;
    request.reservation = registry.reserve(found.row, selection);
    return this.workers.get(found.row.entry.id) ?? null;
  }

  private placeOmniscient(request: DayRequest): WorkerState | null {
    let best: WorkerState | null = null;
    let least = Infinity;
    const sharedTokens = request.promptTokens - (request.parts[request.parts.length - 1] as PrefixBlock).tokens;
    for (const worker of this.workers.values()) {
      const { deployed, engine } = worker;
      if (request.kind.homes.length > 0 && !request.kind.homes.includes(deployed.region)) continue;
      if (engine.running() >= deployed.figures.batch) continue;
      const kept = Math.min(engine.keptTokens(request.parts), sharedTokens);
      const toRead = request.promptTokens - kept + engine.unreadTokens();
      const ms =
        (toRead / deployed.figures.tokensPerMs + deployed.figures.stepMs) * deployed.figures.slowness +
        2 * this.delayMs(request.proxy, worker) +
        (sharedTokens - kept) * OMNISCIENT_REREAD_MS;
      if (ms >= least) continue;
      least = ms;
      best = worker;
    }
    return best;
  }

  private arriveAt(worker: WorkerState, request: DayRequest): void {
    worker.engine.add({
      id: request.id,
      parts: request.parts,
      promptTokens: request.promptTokens,
      outTokens: request.outTokens,
      urgency: request.kind.rank,
    });
    if (!worker.stepping) this.step(worker);
  }

  private step(worker: WorkerState): void {
    const played = worker.engine.advance(this.now);
    worker.stepping = played !== null;
    if (!played) return;
    this.after(played.until - this.now, () => {
      for (const event of played.events) this.onEvent(worker, event);
      this.step(worker);
    });
  }

  private onEvent(worker: WorkerState, event: EngineEvent): void {
    const request = this.requests.get(event.id);
    if (!request) return;
    if (event.tag === 'begun') this.tally.read(request, event.keptTokens);
    else this.after(this.delayMs(request.proxy, worker), () => this.onAnswer(request, event));
  }

  private onAnswer(request: DayRequest, event: EngineEvent): void {
    if (request.firstAt === null) request.firstAt = this.now;
    else request.longestPauseMs = Math.max(request.longestPauseMs, this.now - request.lastEventAt);
    request.lastEventAt = this.now;
    request.reservation?.read();
    if (event.tag !== 'end') return;
    request.reservation?.end();
    this.requests.delete(request.id);
    this.tally.served(request);
  }
}

/** Plays one day of a deployment. The same deployment and options always give the same result. */
export function playEngineDay(deployment: Deployment, options: EngineDayOptions): EngineDayResult {
  return new EngineDay(deployment, options).play();
}

function listed({ id, zone, region, figures }: DeployedWorker): WorkerEntry {
  return workerEntry(id, zone, { model: MODEL, region, places: figures.batch });
}
