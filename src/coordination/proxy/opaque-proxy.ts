/** Composes a proxy for opaque requests: log follower, failure detector, worker list, relay and HTTP server. */
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { MessageOf } from '../../protocol/messages.js';
import type { LoadRows } from '../../state/distribution/load-rows.js';
import { applyRowChanges } from '../../state/distribution/load-rows.js';
import type { Report } from '../../state/distribution/report.js';
import type { HeaderNames } from '../../protocol/header-names.js';
import { createAttemptBudget } from '../../state/forwarding/attempt-budget.js';
import { createRouteTable } from '../../state/configuration/route-table.js';
import type { RouteTable } from '../../state/configuration/route-table.js';
import type { EdgeTuning } from '../../state/forwarding/edge-tuning.js';
import { createWorkerRegistry } from '../../state/discovery/worker-registry.js';
import { every, delay } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { LogRoot } from '../../transport/log.js';
import type { ConnectionPool, OpaqueHttpServer, OpaqueListener } from '../../transport/opaque-http.js';
import type { Rng } from '../../transport/rng.js';
import type { Address, Wire, WireError } from '../../transport/wire.js';
import type { Peers } from '../messaging/peers.js';
import type { WorkerListFeed } from '../discovery/worker-list-feed.js';
import { commonReport, openProxyNode } from './proxy-node.js';
import type { DrainDeadlines } from '../forwarding/drain-admission.js';
import { createRelay } from '../forwarding/relay.js';
import type { RelayTally } from '../forwarding/relay.js';
import { ownValue, setOwnValue } from '../../base/own-value.js';

/** Name, location and addresses of the proxy. */
export type OpaqueProxyIdentity = {
  readonly name: string;
  readonly run: string;
  readonly zone: string;
  readonly region: string;
  readonly listen: Address;
  readonly front: Address;
  readonly seeds: readonly Address[];
};

/** Dependencies of the proxy; `feed` creates the feed of the worker list. */
export type OpaqueProxyDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly wire: Wire;
  readonly httpServer: OpaqueHttpServer;
  readonly connectionPool: ConnectionPool;
  readonly logs: LogRoot;
  readonly headerNames: HeaderNames;
  readonly tuning: EdgeTuning;
  readonly createFeed: (peers: Peers, controllers: () => readonly Address[]) => WorkerListFeed;
};

/** A running proxy. */
export type OpaqueProxy = {
  readonly front: Address;
  readonly ready: () => boolean;
  readonly tally: () => RelayTally;
  /** Stops taking new requests step by step, and returns once all are answered, after about `maxDurationMs` at most. */
  readonly drain: (maxDurationMs: number) => Promise<void>;
  /** Closes all connections and listeners. */
  readonly stop: () => Promise<void>;
};

const REPORT_INTERVAL_MS = 500;
const LOAD_REPORT_INTERVAL_MS = 100;
const READINESS_CHECK_INTERVAL_MS = 250;
const STARTUP_CHECK_INTERVAL_MS = 20;
/** A load that has not changed is sent again after this time. */
const LOAD_RESEND_INTERVAL_MS = 800;
/** A stopping proxy admits all requests for this long, and then only those that are certain to end in time. */
const FULL_INTAKE_MS = 2_900;
/** Requests admitted after the full intake have to end this long before the end of the drain. */
const END_MARGIN_MS = 300;
/**
 * For this long, callers may still be directed to a stopping proxy where no other is left. It ends a second before the
 * full intake does, as callers use a resolved address for a second.
 */
const ADVERTISED_MS = FULL_INTAKE_MS - 1_000;
/** A drain lasts at least this long, also if nothing is in flight, unless its maximum is shorter. */
const MIN_DRAIN_MS = 3_000;
const DRAIN_CHECK_INTERVAL_MS = 50;
/** No new connection is accepted in this time before the end of a drain. */
const STOP_LISTENING_BEFORE_END_MS = 1_500;
/** After the full intake, a request that takes longer than this to arrive is rejected. */
const MAX_PARTIAL_REQUEST_AGE_MS = 500;

/** Starts a proxy. The error says which address it can't listen on. */
export async function startOpaqueProxy(
  id: OpaqueProxyIdentity,
  deps: OpaqueProxyDeps,
): Promise<Result<OpaqueProxy, WireError>> {
  const { clock, rng, logs, tuning } = deps;
  const log = logs.component('proxy');
  const opened = await openProxyNode(
    { ...id, http: id.front, advertised: id.listen },
    { wire: deps.wire, clock, rng, logs, disk: null },
  );
  if (!opened.ok) return opened;
  const node = opened.value;
  const { peers, follower, membership } = node;
  const registry = createWorkerRegistry(
    {
      name: id.name,
      zone: id.zone,
      region: id.region,
      openConnections: (address) => deps.connectionPool.idle(address),
    },
    tuning,
  );
  const budget = createAttemptBudget({
    ratio: tuning.retryRatio,
    slack: tuning.retrySlack,
    windowMs: tuning.retryWindowMs,
  });
  const feed = deps.createFeed(peers, () => follower.controllers());
  let routeTable: RouteTable | null = null;
  let routeTableVersion = -1;
  let draining = false;
  let mayBeAdvertised = true;
  let stopTimes: DrainDeadlines | null = null;
  /** Routes may arrive before the listener is open. */
  let startedListener: OpaqueListener | null = null;

  function currentRouteTable(): RouteTable | null {
    return follower.fresh() && feed.asOf() !== null ? routeTable : null;
  }
  function isDraining(): boolean {
    return draining;
  }
  function ready(): boolean {
    return !draining && currentRouteTable() !== null;
  }
  const relay = createRelay({
    headerNames: deps.headerNames,
    tuning,
    registry,
    budget,
    connectionPool: deps.connectionPool,
    clock,
    rng,
    log: logs.component('relay'),
    routeTable: currentRouteTable,
    isClosing: isDraining,
    drainDeadlines: () => stopTimes,
  });

  function onControlStateChanged(): void {
    const state = follower.controlState();
    const serving = state.configuration.serving;
    if (serving && state.version !== routeTableVersion) {
      routeTableVersion = state.version;
      routeTable = createRouteTable(serving);
      applyLimits();
    }
    function preemptiveZones(model: string): readonly string[] {
      return ownValue(state.zoneSets, model)?.preemptive ?? [];
    }
    function coldMs(model: string): number {
      return (routeTable?.traits(model)?.coldS ?? 0) * 1_000;
    }
    registry.applyZones(state.evacuated, preemptiveZones, clock.mono(), coldMs);
    registry.setSharingProxies(state.proxies);
    budget.setSharingProxies(Object.keys(state.proxies).length);
    relay.wake();
  }
  follower.events.on('moved', onControlStateChanged);
  function onWorkerListChanged(): void {
    registry.applyList(feed.entries(), clock.mono());
    relay.wake();
  }
  feed.events.on('changed', onWorkerListChanged);
  onControlStateChanged();

  const httpServer = await deps.httpServer.open(id.front, (req) => relay.handle(req));
  if (!httpServer.ok) {
    await peers.close();
    return err(httpServer.error);
  }
  const listener = httpServer.value;
  startedListener = listener;
  function applyLimits(): void {
    const limits = routeTable?.serving.limits;
    if (limits) startedListener?.setLimits(limits);
  }
  applyLimits();

  let reportCount = 0;
  function report(): void {
    const tally = relay.tally();
    reportCount += 1;
    const health: Report['health'] = {};
    const now = clock.mono();
    for (const row of registry.rows())
      if (row.present && row.consecutiveFailures >= 3 && row.backoffUntil > now)
        setOwnValue(health, row.entry.id, 'unfit');
    const ownReport: Report = {
      ...commonReport(id, node, tally, reportCount),
      health,
      http: id.front,
      ready: ready(),
      ...(draining && mayBeAdvertised ? { draining: true } : {}),
    };
    follower.sendToController({ kind: 'reports', reports: [ownReport] });
  }
  const reportTimer = every(clock, REPORT_INTERVAL_MS, report);
  let loadReportCount = 0;
  let lastLoadSentAt = 0;
  let lastSentLoad = '';
  let wasEmpty = true;
  function sendLoad(): void {
    const rows = registry.load(clock.mono());
    const isEmpty = Object.keys(rows).length === 0;
    const serialized = JSON.stringify(rows);
    const now = clock.mono();
    if ((isEmpty && wasEmpty) || (serialized === lastSentLoad && now - lastLoadSentAt < LOAD_RESEND_INTERVAL_MS))
      return;
    wasEmpty = isEmpty;
    lastSentLoad = serialized;
    lastLoadSentAt = now;
    loadReportCount += 1;
    follower.sendToController({ kind: 'usage', told: { name: id.name, run: id.run, count: loadReportCount, rows } });
  }
  const loadTimer = every(clock, LOAD_REPORT_INTERVAL_MS, sendLoad);
  let fleetLoad: LoadRows = {};
  function onFleetLoad(message: MessageOf<'fleetLoad'>): null {
    fleetLoad = message.partial ? applyRowChanges(fleetLoad, message.rows) : message.rows;
    registry.applyFleetLoad(fleetLoad, clock.mono());
    relay.wake();
    return null;
  }
  peers.on('fleetLoad', onFleetLoad);
  let wasReady = false;
  function checkReadiness(): void {
    relay.tick();
    const isReady = ready();
    if (isReady !== wasReady) {
      log.info(isReady ? 'ready' : 'not ready');
      wasReady = isReady;
      report();
    }
  }
  let readinessTimer = clock.timer(STARTUP_CHECK_INTERVAL_MS, runReadinessCheck);
  function runReadinessCheck(): void {
    checkReadiness();
    readinessTimer = clock.timer(wasReady ? READINESS_CHECK_INTERVAL_MS : STARTUP_CHECK_INTERVAL_MS, runReadinessCheck);
  }
  function stopReadinessChecks(): void {
    readinessTimer.cancel();
  }
  log.info('proxy started', { http: id.front, peers: node.address });

  /** A response that its caller has not received in full is still in flight, though the worker has finished it. */
  function isIdle(): boolean {
    return relay.tally().open === 0 && listener.inFlight() === 0;
  }
  // Nothing may be awaited between the last check and the return: a request read meanwhile would get no response.
  async function drain(maxDurationMs: number): Promise<void> {
    const startedAt = clock.mono();
    draining = true;
    stopTimes = {
      admitAllUntil: startedAt + FULL_INTAKE_MS,
      lastResponseAt: startedAt + maxDurationMs - END_MARGIN_MS,
    };
    checkReadiness();
    report();
    membership.leave();
    for (;;) {
      const elapsedMs = clock.mono() - startedAt;
      if (elapsedMs >= maxDurationMs) break;
      if (elapsedMs >= MIN_DRAIN_MS && isIdle()) {
        listener.stopListening();
        return;
      }
      if (elapsedMs >= FULL_INTAKE_MS) listener.rejectIncomplete(MAX_PARTIAL_REQUEST_AGE_MS);
      if (elapsedMs >= ADVERTISED_MS && mayBeAdvertised) {
        mayBeAdvertised = false;
        report();
      }
      if (elapsedMs >= maxDurationMs - STOP_LISTENING_BEFORE_END_MS) listener.stopListening();
      await delay(clock, DRAIN_CHECK_INTERVAL_MS);
    }
    relay.abortAll();
    await delay(clock, DRAIN_CHECK_INTERVAL_MS);
  }
  async function stop(): Promise<void> {
    reportTimer.cancel();
    loadTimer.cancel();
    stopReadinessChecks();
    feed.stop();
    membership.stop();
    follower.stop();
    deps.connectionPool.stop();
    await listener.close();
    await peers.close();
    log.info('proxy stopped');
  }
  return ok({ front: listener.address, ready, tally: () => relay.tally(), drain, stop });
}
