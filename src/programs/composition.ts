/** Builds the dependencies of a node process from its settings, with an inversify container. */
import 'reflect-metadata';
import { Container } from 'inversify';
import type { NodeDeps, NodeIdentity } from '../coordination/node.js';
import { createFullDisk } from '../standin/full-disk.js';
import { createPathLookup, createSlowHttpClient, createSlowWire } from '../standin/slow-net.js';
import type { PathLookup } from '../standin/slow-net.js';
import { POLICIES } from '../state/forwarding/policies.js';
import type { Policy } from '../state/forwarding/policies.js';
import { createGotHttpClient } from '../transport/http-client.js';
import { createClock } from '../transport/clock.js';
import type { Clock } from '../transport/clock.js';
import { createFolderDisk } from '../transport/disk.js';
import type { Disk } from '../transport/disk.js';
import { createExpressHttpServer, REQUEST_TIMEOUT_MS } from '../transport/http-server.js';
import type { HttpClient, HttpServer } from '../transport/http.js';
import { MAX_LISTEN_WAIT_MS } from '../transport/listen.js';
import type { ListenRetry } from '../transport/listen.js';
import { createLogRoot } from '../transport/log.js';
import type { LogRoot } from '../transport/log.js';
import { createMeters } from '../transport/meters.js';
import { createOsRng, newId } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import { createTcpWire } from '../transport/wire.js';
import type { Wire } from '../transport/wire.js';
import { createFaultSwitches } from '../transport/switch-file.js';
import type { FaultSwitches } from '../transport/switch-file.js';
import type { LabSettings, NodeSettings } from './settings.js';
import type { NodeLocation } from '../standin/tally.js';
import { locationOf, createFileTally } from './tally-file.js';

/** Identifiers of the services in the container. */
export const SERVICE_IDS = {
  settings: Symbol.for('settings'),
  clock: Symbol.for('clock'),
  rng: Symbol.for('rng'),
  logs: Symbol.for('logs'),
  switches: Symbol.for('switches'),
  wire: Symbol.for('wire'),
  httpServer: Symbol.for('httpServer'),
  httpClient: Symbol.for('httpClient'),
  disk: Symbol.for('disk'),
  policies: Symbol.for('policies'),
  deps: Symbol.for('deps'),
  identity: Symbol.for('identity'),
} as const;

const WIRE_CONNECT_TIMEOUT_MS = 1_000;
const HTTP_CONNECT_TIMEOUT_MS = 1_000;

function noExtra(): null {
  return null;
}
function hasNetworkFaults(lab: LabSettings | null): lab is LabSettings {
  return lab !== null && (lab.switches !== undefined || Object.keys(lab.delayMs).length > 0);
}

/**
 * Returns a container for these settings. Services are created on first use, so nothing is opened yet. Listeners wait
 * for their address unless `isStopping`.
 */
export function createContainer(settings: NodeSettings, isStopping: () => boolean): Container {
  const container = new Container({ defaultScope: 'Singleton' });
  const { lab } = settings;
  const tally = lab?.tally ? createFileTally(lab.tally, noExtra) : null;
  function ownLocation(): NodeLocation {
    return lab?.tally
      ? locationOf(lab.tally, settings.advertise)
      : { role: 'unknown', zone: settings.zone, region: settings.region };
  }

  function listenRetry(): ListenRetry {
    return {
      clock: container.get<Clock>(SERVICE_IDS.clock),
      log: container.get<LogRoot>(SERVICE_IDS.logs).component('listen'),
      maxWaitMs: MAX_LISTEN_WAIT_MS,
      isStopping,
    };
  }
  function makeLogs(): LogRoot {
    return createLogRoot(settings.logLevel, settings.logFormat);
  }
  function makeWire(): Wire {
    const wire = createTcpWire(
      container.get<LogRoot>(SERVICE_IDS.logs).component('wire'),
      WIRE_CONNECT_TIMEOUT_MS,
      tally && tally.meterOf(ownLocation()),
      listenRetry(),
    );
    return hasNetworkFaults(lab)
      ? createSlowWire(wire, container.get<Clock>(SERVICE_IDS.clock), networkPaths(lab))
      : wire;
  }
  function makeHttpClient(): HttpClient {
    const plainClient = createGotHttpClient(HTTP_CONNECT_TIMEOUT_MS);
    const httpClient = tally ? tally.meteredHttpClient(ownLocation(), plainClient) : plainClient;
    return hasNetworkFaults(lab)
      ? createSlowHttpClient(httpClient, container.get<Clock>(SERVICE_IDS.clock), networkPaths(lab))
      : httpClient;
  }
  function makePolicies(): readonly Policy[] {
    const policies: Policy[] = [];
    for (const policy of POLICIES) if (policy.name !== lab?.withoutPolicy) policies.push(policy);
    return policies;
  }
  function makeHttpServer(): HttpServer {
    const log = container.get<LogRoot>(SERVICE_IDS.logs).component('httpServer');
    return createExpressHttpServer(log, REQUEST_TIMEOUT_MS, listenRetry());
  }
  function makeDisk(): Disk | null {
    if (settings.dataFolder === null) return null;
    const disk = createFolderDisk(settings.dataFolder);
    return lab?.switches === undefined ? disk : createFullDisk(disk, isDiskFull);
  }
  function isDiskFull(): boolean {
    return container.get<FaultSwitches>(SERVICE_IDS.switches).isFull(settings.name);
  }
  function makeSwitches(): FaultSwitches {
    return createFaultSwitches(lab?.switches);
  }
  function networkPaths(lab: LabSettings): PathLookup {
    return createPathLookup(settings.zone, lab.zones, lab.delayMs, container.get<FaultSwitches>(SERVICE_IDS.switches));
  }
  function makeDeps(): NodeDeps {
    return {
      clock: container.get<Clock>(SERVICE_IDS.clock),
      rng: container.get<Rng>(SERVICE_IDS.rng),
      wire: container.get<Wire>(SERVICE_IDS.wire),
      httpServer: container.get<HttpServer>(SERVICE_IDS.httpServer),
      httpClient: container.get<HttpClient>(SERVICE_IDS.httpClient),
      disk: container.get<Disk | null>(SERVICE_IDS.disk),
      logs: container.get<LogRoot>(SERVICE_IDS.logs),
      policies: container.get<readonly Policy[]>(SERVICE_IDS.policies),
      meters: createMeters,
    };
  }
  function makeIdentity(): NodeIdentity {
    return {
      name: settings.name,
      run: newId(container.get<Rng>(SERVICE_IDS.rng), 'run'),
      zone: settings.zone,
      region: settings.region,
      listen: settings.listen,
      advertised: settings.advertise,
      httpListen: settings.http,
      http: settings.httpAdvertise,
      seeds: settings.seeds,
      platform: settings.platform,
      cloud: settings.cloud,
    };
  }

  container.bind(SERVICE_IDS.settings).toConstantValue(settings);
  container.bind(SERVICE_IDS.policies).toDynamicValue(makePolicies).inSingletonScope();
  container.bind(SERVICE_IDS.clock).toDynamicValue(createClock).inSingletonScope();
  container.bind(SERVICE_IDS.rng).toDynamicValue(createOsRng).inSingletonScope();
  container.bind(SERVICE_IDS.logs).toDynamicValue(makeLogs).inSingletonScope();
  container.bind(SERVICE_IDS.switches).toDynamicValue(makeSwitches).inSingletonScope();
  container.bind(SERVICE_IDS.wire).toDynamicValue(makeWire).inSingletonScope();
  container.bind(SERVICE_IDS.httpServer).toDynamicValue(makeHttpServer).inSingletonScope();
  container.bind(SERVICE_IDS.httpClient).toDynamicValue(makeHttpClient).inSingletonScope();
  container.bind(SERVICE_IDS.disk).toDynamicValue(makeDisk).inSingletonScope();
  container.bind(SERVICE_IDS.deps).toDynamicValue(makeDeps).inSingletonScope();
  container.bind(SERVICE_IDS.identity).toDynamicValue(makeIdentity).inSingletonScope();
  return container;
}
