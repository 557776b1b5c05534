/**
 * Composes a proxy for requests with admission tokens: log follower, failure detector, health checks, placement,
 * dispatcher and HTTP server.
 */
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { Report } from '../../state/distribution/report.js';
import type { Configuration } from '../../state/configuration/settings-tree.js';
import type { CountTable } from '../../state/configuration/latency-target-counts.js';
import { createWorkerTable } from '../../state/discovery/worker-table.js';
import { every, delay } from '../../transport/clock.js';
import { stopLimits } from '../../transport/http-connections.js';
import type { WireError, Address } from '../../transport/wire.js';
import { createClaimClient } from '../idempotency/claim-client.js';
import { createPlatformClient } from '../scaling/cloud-client.js';
import { createDispatcher } from '../forwarding/dispatcher.js';
import type { DispatcherTally } from '../forwarding/dispatcher.js';
import type { Meters } from '../../transport/meters.js';
import { metricsRoute } from '../metrics-route.js';
import type { NodeDeps, NodeIdentity } from '../node.js';
import { createWorkerListSource } from '../discovery/worker-list-source.js';
import { createLocationLookup } from '../membership/relocated-controllers.js';
import { createPlacementService } from '../forwarding/placement-service.js';
import type { PlacementService, ProxySelf } from '../forwarding/placement-service.js';
import { commonReport, openProxyNode } from './proxy-node.js';
import { proxyRoutes } from './proxy-http-server.js';
import { createWorkerWatch } from '../discovery/worker-watch.js';

/** The proxy's current view of the control state. */
export type ProxyView = {
  readonly slot: number;
  readonly version: number;
  readonly configuration: Configuration;
  readonly serving: boolean;
  readonly partitioned: boolean;
};

/** A running proxy; `stop` first drains it for at most `withinMs`. */
export type Proxy = {
  readonly wire: Address;
  readonly http: Address;
  readonly tally: () => DispatcherTally;
  readonly view: () => ProxyView;
  readonly place: PlacementService['place'];
  readonly stop: (withinMs: number) => Promise<void>;
};

const REPORT_INTERVAL_MS = 500;
/** The counts of outcomes are sent with every tenth report. */
const REPORTS_PER_COUNTS = 10;
const DRAIN_CHECK_INTERVAL_MS = 100;

/** Starts a proxy. The error says which address it can't listen on. */
export async function startProxy(id: NodeIdentity, deps: NodeDeps): Promise<Result<Proxy, WireError>> {
  const { clock, rng, logs, httpClient } = deps;
  const log = logs.component('proxy');
  const opened = await openProxyNode(id, deps);
  if (!opened.ok) return opened;
  const node = opened.value;
  const { peers, follower, membership } = node;
  const workerTable = createWorkerTable();
  const self: ProxySelf = { name: id.name, run: id.run, zone: id.zone, region: id.region, http: id.http };
  follower.setTopology(createLocationLookup(membership));
  const placement = createPlacementService({
    self,
    ready,
    follower,
    membership,
    table: workerTable,
    policies: deps.policies,
    clock,
    rng,
  });
  const claims = createClaimClient(() => follower.controlState(), peers, clock);
  const dispatcher = createDispatcher({
    ready,
    placement,
    table: workerTable,
    claims,
    httpClient,
    clock,
    rng,
    log: logs.component('attempt'),
  });
  const workerListSource = createWorkerListSource({
    name: id.name,
    platform: createPlatformClient(httpClient, id.platform),
    membership,
    peers,
    clock,
    rng,
  });
  const workerWatch = createWorkerWatch({
    zone: id.zone,
    table: workerTable,
    source: workerListSource,
    httpClient,
    clock,
    log: logs.component('workers'),
    onChange: () => dispatcher.wake(),
  });

  function ready(): boolean {
    const listReadAt = workerWatch.listReadAt();
    return follower.fresh() && listReadAt !== null && listReadAt >= follower.resumedAt();
  }

  function onControlStateChanged(): void {
    workerTable.applyControlState(follower.controlState());
    workerWatch.probeNewlyReady();
    dispatcher.wake();
  }
  follower.events.on('moved', onControlStateChanged);
  onControlStateChanged();

  let isAccepting = false;
  let reportCount = 0;
  const counts: CountTable = {};
  function report(): void {
    const tally = dispatcher.tally();
    reportCount += 1;
    const ownReport: Report = {
      ...commonReport(id, node, tally, reportCount),
      health: workerWatch.healthVerdicts(),
      http: id.http,
      ready: isAccepting && ready(),
    };
    follower.sendToController({ kind: 'reports', reports: [ownReport] });
    if (reportCount % REPORTS_PER_COUNTS === 0)
      follower.sendToController({ kind: 'counts', reporter: id.name, incarnation: node.incarnation(), totals: counts });
  }
  const reportTimer = every(clock, REPORT_INTERVAL_MS, report);

  function status(): unknown {
    const workers = [];
    for (const row of workerTable.rows()) {
      workers.push({
        id: row.listed.id,
        model: row.listed.model,
        zone: row.listed.zone,
        kind: row.listed.kind,
        state: row.listed.state,
        leaving: row.leaving,
        ready: row.ready,
        silences: row.missedProbes,
        inFlight: row.inFlight,
        reported: row.reported,
      });
    }
    const state = follower.controlState();
    return {
      name: id.name,
      role: 'proxy',
      slot: state.slot,
      version: state.version,
      fresh: ready(),
      partitioned: follower.partitioned(),
      platformAgeMs: workerWatch.listAgeMs(),
      tally: dispatcher.tally(),
      workers,
      members: membership.all(),
    };
  }

  function collectMetrics(meters: Meters): void {
    const tally = dispatcher.tally();
    for (const [model, count] of Object.entries(tally.requests))
      meters.count('millfield_requests_total', 'Requests asked for', count, { model });
    meters.count('millfield_shed_total', 'Requests shed as not run', tally.shed);
    meters.count('millfield_attempts_total', 'Attempts to workers', tally.attempted);
    meters.count('millfield_retries_total', 'Attempts beyond the first', tally.retried);
    meters.count('millfield_streams_cut_total', 'Streams that broke off', tally.cut);
    meters.set('millfield_line_length', 'Requests waiting for a worker', tally.waiting);
    meters.set('millfield_requests_open', 'Requests in flight at workers', tally.inFlight);
    meters.set('millfield_slot', 'Newest ledger slot', follower.controlState().slot);
    meters.set('millfield_version', 'Configuration in force', follower.controlState().version);
    meters.set('millfield_serving', '1 once a controller was heard', ready() ? 1 : 0);
    meters.set('millfield_partitioned', '1 while no controller is heard', follower.partitioned() ? 1 : 0);
    meters.set('millfield_platform_age_ms', "Age of the platform's list", workerWatch.listAgeMs() ?? -1);
    for (const row of workerTable.rows()) {
      meters.set('millfield_worker_in_flight', 'Requests of this proxy on a worker', row.inFlight, {
        worker: row.listed.id,
        model: row.listed.model,
      });
    }
  }

  const routes = [
    ...proxyRoutes({ self, ready, follower, placement, dispatcher, clock, status, counts }),
    metricsRoute(deps.meters(), collectMetrics),
  ];
  const httpServer = await deps.httpServer.open(id.httpListen, routes);
  if (!httpServer.ok) {
    await peers.close();
    return err(httpServer.error);
  }
  log.info('proxy started', { zone: id.zone, http: httpServer.value.address, peers: node.address });
  const listener = httpServer.value;
  isAccepting = true;

  function view(): ProxyView {
    const state = follower.controlState();
    return {
      slot: state.slot,
      version: state.version,
      configuration: state.configuration,
      serving: ready(),
      partitioned: follower.partitioned(),
    };
  }

  async function stop(withinMs: number): Promise<void> {
    const deadline = clock.mono() + withinMs;
    log.info('draining');
    dispatcher.stopAdmitting();
    isAccepting = false;
    report();
    membership.leave();
    while (dispatcher.tally().inFlight > 0 && clock.mono() < deadline) await delay(clock, DRAIN_CHECK_INTERVAL_MS);
    report();
    await listener.close(stopLimits(deadline - clock.mono()));
    reportTimer.cancel();
    workerWatch.stop();
    dispatcher.stop();
    membership.stop();
    follower.stop();
    await peers.close();
    log.info('proxy stopped');
  }
  return ok({
    wire: node.address,
    http: listener.address,
    tally: () => dispatcher.tally(),
    view,
    place: (request) => placement.place(request),
    stop,
  });
}
