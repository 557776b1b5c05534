/**
 * The worker list of a proxy that reads the platform itself. While the platform does not respond, the list of another
 * proxy is used.
 */
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { Message } from '../../protocol/messages.js';
import type { NodeInfo } from '../../state/membership/node-info.js';
import type { Listed } from '../../state/discovery/listed.js';
import type { Clock } from '../../transport/clock.js';
import { shuffled } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { CloudError, PlatformClient } from '../scaling/cloud-client.js';
import type { Membership } from '../membership/failure-detector.js';
import type { Peers } from '../messaging/peers.js';

/** A list and its age in milliseconds; `isFromPeer` if another proxy provided it. */
export type WorkerListReading = {
  readonly workers: readonly Listed[];
  readonly ageMs: number;
  readonly isFromPeer: boolean;
};

/** Reads the newest available list. */
export interface WorkerListSource {
  read(): Promise<Result<WorkerListReading, CloudError>>;
}

/** The platform client, and what is needed to query peers in its place. */
export type WorkerListSourceDeps = {
  readonly name: string;
  readonly platform: PlatformClient;
  readonly membership: Membership;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly rng: Rng;
};

const MAX_PEERS_QUERIED = 2;
const QUERY_TIMEOUT_MS = 300;
/** An older reading is not passed on to peers. */
const MAX_SHARED_AGE_MS = 1_500;

function agedWorker(worker: Listed, ms: number): Listed {
  return worker.remainingMs === undefined ? worker : { ...worker, remainingMs: Math.max(0, worker.remainingMs - ms) };
}

class PlatformListSource implements WorkerListSource {
  private lastReading: { readonly workers: readonly Listed[]; readonly at: number } | null = null;

  constructor(private readonly deps: WorkerListSourceDeps) {
    this.deps.peers.on('listAsk', () => this.onListRequest());
  }

  private onListRequest(): Message {
    const ageMs = this.lastReading === null ? null : this.deps.clock.mono() - this.lastReading.at;
    if (this.lastReading === null || ageMs === null || ageMs > MAX_SHARED_AGE_MS)
      return { kind: 'listTold', ageMs: null, workers: [] };
    return { kind: 'listTold', ageMs, workers: [...this.lastReading.workers] };
  }

  async read(): Promise<Result<WorkerListReading, CloudError>> {
    const startedAt = this.deps.clock.mono();
    const response = await this.deps.platform.workers();
    if (!response.ok) return this.queryPeers(response.error);
    this.lastReading = { workers: response.value, at: startedAt };
    return ok({ workers: response.value, ageMs: this.deps.clock.mono() - startedAt, isFromPeer: false });
  }

  private async queryPeers(error: CloudError): Promise<Result<WorkerListReading, CloudError>> {
    const proxies: NodeInfo[] = [];
    for (const node of this.deps.membership.all())
      if (node.role === 'proxy' && node.status === 'alive' && node.name !== this.deps.name) proxies.push(node);
    let best: WorkerListReading | null = null;
    const queries: Promise<void>[] = [];

    const queryPeer = async (node: NodeInfo): Promise<void> => {
      const startedAt = this.deps.clock.mono();
      const response = await this.deps.peers.call(node.address, { kind: 'listAsk' }, QUERY_TIMEOUT_MS);
      if (!response.ok || response.value.kind !== 'listTold' || response.value.ageMs === null) return;
      const ageMs = response.value.ageMs + (this.deps.clock.mono() - startedAt);
      if (!best || ageMs < best.ageMs) best = { workers: response.value.workers, ageMs, isFromPeer: true };
    };
    for (const node of shuffled(this.deps.rng, proxies).slice(0, MAX_PEERS_QUERIED)) queries.push(queryPeer(node));
    await Promise.all(queries);
    const reading = best as WorkerListReading | null;
    if (!reading) return err(error);
    const workers: Listed[] = [];
    for (const worker of reading.workers) workers.push(agedWorker(worker, reading.ageMs));
    return ok({ ...reading, workers });
  }
}

/** Creates a source that also answers list requests of peers. */
export function createWorkerListSource(deps: WorkerListSourceDeps): WorkerListSource {
  return new PlatformListSource(deps);
}
