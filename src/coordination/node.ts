/** The environment and the identity that a program passes to each node it runs. */
import type { Policy } from '../state/forwarding/policies.js';
import type { Clock } from '../transport/clock.js';
import type { Disk } from '../transport/disk.js';
import type { HttpClient, HttpServer } from '../transport/http.js';
import type { LogRoot } from '../transport/log.js';
import type { Meters } from '../transport/meters.js';
import type { Rng } from '../transport/rng.js';
import type { Address, Wire } from '../transport/wire.js';
import type { WorkerListReader } from './discovery/worker-list-feed.js';

/** Clock, random numbers, network, disk, logs and other dependencies of a node; tests pass simulated ones. */
export type NodeDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly wire: Wire;
  readonly httpServer: HttpServer;
  readonly httpClient: HttpClient;
  readonly disk: Disk | null;
  readonly logs: LogRoot;
  readonly policies: readonly Policy[];
  readonly meters: () => Meters;
  readonly workerListReader?: WorkerListReader | null;
};

/** Name, location and addresses of a node, and the settings that differ between nodes. */
export type NodeIdentity = {
  readonly name: string;
  readonly run: string;
  readonly zone: string;
  readonly region: string;
  readonly listen: Address;
  readonly advertised: Address;
  readonly httpListen: Address;
  readonly http: Address;
  readonly seeds: readonly Address[];
  readonly platform: Address;
  readonly cloud: Address | null;
  readonly bootstrap?: boolean;
  readonly diskBytes?: number;
  readonly claims?: boolean;
  /** How many controllers may be lost at once; derived from the number of seeds if omitted. */
  readonly toleratedLosses?: number;
  readonly operatorHttpServer?: boolean;
  readonly zones?: readonly string[];
};
