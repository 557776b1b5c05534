/** What a real process is made of, put together by inversify: settings in, node dependencies out. */
import 'reflect-metadata';
import { Container } from 'inversify';
import type { NodeDeps, NodeIdentity } from '../coordination/node.js';
import { fullDisk } from '../standin/full-disk.js';
import { pathTable, slowHttpClient, slowWire } from '../standin/slow-net.js';
import type { PathTo } from '../standin/slow-net.js';
import { POLICIES } from '../state/forwarding/policies.js';
import type { Policy } from '../state/forwarding/policies.js';
import { createGotHttpClient } from '../transport/http-client.js';
import { createClock } from '../transport/clock.js';
import type { Clock } from '../transport/clock.js';
import { createFolderDisk } from '../transport/disk.js';
import type { Disk } from '../transport/disk.js';
import { createExpressHttpServer } from '../transport/http-server.js';
import type { HttpClient, HttpServer } from '../transport/http.js';
import { createLogRoot } from '../transport/log.js';
import type { LogRoot } from '../transport/log.js';
import { createMeters } from '../transport/meters.js';
import { createOsRng, newId } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import { createTcpWire } from '../transport/wire.js';
import type { Wire } from '../transport/wire.js';
import { switchesAt } from '../transport/switch-file.js';
import type { Switches } from '../transport/switch-file.js';
import type { Lab, NodeSettings } from './settings.js';
import type { Place } from '../standin/tally.js';
import { placeAt, tallyInto } from './tally-file.js';

/** Names of what the container holds. */
export const T = {
  settings: Symbol.for('settings'),
  clock: Symbol.for('clock'),
  rng: Symbol.for('rng'),
  logs: Symbol.for('logs'),
  switches: Symbol.for('switches'),
  wire: Symbol.for('wire'),
  httpServer: Symbol.for('httpServer'),
  httpClient: Symbol.for('caller'),
  disk: Symbol.for('disk'),
  policies: Symbol.for('policies'),
  deps: Symbol.for('deps'),
  identity: Symbol.for('identity'),
} as const;

const DIAL_MS = 1_000;
const CONNECT_MS = 1_000;

function nothing(): null {
  return null;
}
function isSlow(lab: Lab | null): lab is Lab {
  return lab !== null && (lab.switches !== undefined || Object.keys(lab.delayMs).length > 0);
}

/** A container for these settings; nothing is opened yet. */
export function compose(settings: NodeSettings): Container {
  const box = new Container({ defaultScope: 'Singleton' });
  const { lab } = settings;
  const tally = lab?.tally ? tallyInto(lab.tally, nothing) : null;
  function ownPlace(): Place {
    return lab?.tally
      ? placeAt(lab.tally, settings.advertise)
      : { role: 'unknown', zone: settings.zone, region: settings.region };
  }

  function makeLogs(): LogRoot {
    return createLogRoot(settings.logLevel, settings.logFormat);
  }
  function makeWire(): Wire {
    const wire = createTcpWire(box.get<LogRoot>(T.logs).component('wire'), DIAL_MS, tally && tally.meterOf(ownPlace()));
    return isSlow(lab) ? slowWire(wire, box.get<Clock>(T.clock), pathsOf(lab)) : wire;
  }
  function makeHttpClient(): HttpClient {
    const response = createGotHttpClient(CONNECT_MS);
    const httpClient = tally ? tally.countedHttpClient(ownPlace(), response) : response;
    return isSlow(lab) ? slowHttpClient(httpClient, box.get<Clock>(T.clock), pathsOf(lab)) : httpClient;
  }
  function makePolicies(): readonly Policy[] {
    const kept: Policy[] = [];
    for (const policy of POLICIES) if (policy.name !== lab?.withoutPolicy) kept.push(policy);
    return kept;
  }
  function makeHttpServer(): HttpServer {
    return createExpressHttpServer(box.get<LogRoot>(T.logs).component('httpServer'));
  }
  function makeDisk(): Disk | null {
    if (settings.dataFolder === null) return null;
    const disk = createFolderDisk(settings.dataFolder);
    return lab?.switches === undefined ? disk : fullDisk(disk, isFull);
  }
  function isFull(): boolean {
    return box.get<Switches>(T.switches).isFull(settings.name);
  }
  function makeSwitches(): Switches {
    return switchesAt(lab?.switches);
  }
  function pathsOf(lab: Lab): PathTo {
    return pathTable(settings.zone, lab.zones, lab.delayMs, box.get<Switches>(T.switches));
  }
  function makeDeps(): NodeDeps {
    return {
      clock: box.get<Clock>(T.clock),
      rng: box.get<Rng>(T.rng),
      wire: box.get<Wire>(T.wire),
      httpServer: box.get<HttpServer>(T.httpServer),
      httpClient: box.get<HttpClient>(T.httpClient),
      disk: box.get<Disk | null>(T.disk),
      logs: box.get<LogRoot>(T.logs),
      policies: box.get<readonly Policy[]>(T.policies),
      meters: createMeters,
    };
  }
  function makeIdentity(): NodeIdentity {
    return {
      name: settings.name,
      run: newId(box.get<Rng>(T.rng), 'run'),
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

  box.bind(T.settings).toConstantValue(settings);
  box.bind(T.policies).toDynamicValue(makePolicies).inSingletonScope();
  box.bind(T.clock).toDynamicValue(createClock).inSingletonScope();
  box.bind(T.rng).toDynamicValue(createOsRng).inSingletonScope();
  box.bind(T.logs).toDynamicValue(makeLogs).inSingletonScope();
  box.bind(T.switches).toDynamicValue(makeSwitches).inSingletonScope();
  box.bind(T.wire).toDynamicValue(makeWire).inSingletonScope();
  box.bind(T.httpServer).toDynamicValue(makeHttpServer).inSingletonScope();
  box.bind(T.httpClient).toDynamicValue(makeHttpClient).inSingletonScope();
  box.bind(T.disk).toDynamicValue(makeDisk).inSingletonScope();
  box.bind(T.deps).toDynamicValue(makeDeps).inSingletonScope();
  box.bind(T.identity).toDynamicValue(makeIdentity).inSingletonScope();
  return box;
}
