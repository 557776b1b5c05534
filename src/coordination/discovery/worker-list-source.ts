/**
 * The list for a proxy with its own connection to the platform; while the platform does not answer, the list of a
 * peer.
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

/** A list and its age in milliseconds; `secondHand` if a peer gave it. */
export type WorkerListReading = {
  readonly workers: readonly Listed[];
  readonly ageMs: number;
  readonly secondHand: boolean;
};

/** Reads the newest list that can be had. */
export interface WorkerListSource {
  read(): Promise<Result<WorkerListReading, CloudError>>;
}

/** The platform, and the peers that are asked in its place. */
export type WorkerListSourceDeps = {
  readonly name: string;
  readonly platform: PlatformClient;
  readonly membership: Membership;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly rng: Rng;
};

const ASKED = 2;
const ASK_WAIT_MS = 300;
const OLDEST_MS = 1_500;

function aged(worker: Listed, ms: number): Listed {
  return worker.remainingMs === undefined ? worker : { ...worker, remainingMs: Math.max(0, worker.remainingMs - ms) };
}

class PlatformListSource implements WorkerListSource {
  private own: { readonly workers: readonly Listed[]; readonly at: number } | null = null;

  constructor(private readonly deps: WorkerListSourceDeps) {
    this.deps.peers.on('listAsk', () => this.onListRequest());
  }

  private onListRequest(): Message {
    const ageMs = this.own === null ? null : this.deps.clock.mono() - this.own.at;
    if (this.own === null || ageMs === null || ageMs > OLDEST_MS) return { kind: 'listTold', ageMs: null, workers: [] };
    return { kind: 'listTold', ageMs, workers: [...this.own.workers] };
  }

  async read(): Promise<Result<WorkerListReading, CloudError>> {
    const from = this.deps.clock.mono();
    const response = await this.deps.platform.workers();
    if (!response.ok) return this.queryPeers(response.error);
    this.own = { workers: response.value, at: from };
    return ok({ workers: response.value, ageMs: this.deps.clock.mono() - from, secondHand: false });
  }

  private async queryPeers(error: CloudError): Promise<Result<WorkerListReading, CloudError>> {
    const others: NodeInfo[] = [];
    for (const node of this.deps.membership.all())
      if (node.role === 'proxy' && node.status === 'alive' && node.name !== this.deps.name) others.push(node);
    let best: WorkerListReading | null = null;
    const requests: Promise<void>[] = [];

    const one = async (node: NodeInfo): Promise<void> => {
      const from = this.deps.clock.mono();
      const response = await this.deps.peers.call(node.address, { kind: 'listAsk' }, ASK_WAIT_MS);
      if (!response.ok || response.value.kind !== 'listTold' || response.value.ageMs === null) return;
      const ageMs = response.value.ageMs + (this.deps.clock.mono() - from);
      if (!best || ageMs < best.ageMs) best = { workers: response.value.workers, ageMs, secondHand: true };
    };
    for (const node of shuffled(this.deps.rng, others).slice(0, ASKED)) requests.push(one(node));
    await Promise.all(requests);
    const reading = best as WorkerListReading | null;
    if (!reading) return err(error);
    const workers: Listed[] = [];
    for (const worker of reading.workers) workers.push(aged(worker, reading.ageMs));
    return ok({ ...reading, workers });
  }
}

/** A source that also answers the requests of peers. */
export function createWorkerListSource(deps: WorkerListSourceDeps): WorkerListSource {
  return new PlatformListSource(deps);
}
