import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { Message } from '../../protocol/messages.js';
import type { NodeInfo } from '../../state/node-info.js';
import type { Listed } from '../../state/listed.js';
import type { Clock } from '../../transport/clock.js';
import { shuffled } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { CloudFault, PlatformClient } from '../scaling/cloud-client.js';
import type { Membership } from '../members/membership.js';
import type { Peers } from '../members/peers.js';

export type WorkerListReading = {
  readonly workers: readonly Listed[];
  readonly ageMs: number;
  readonly secondHand: boolean;
};

export interface WorkerListSource {
  read(): Promise<Result<WorkerListReading, CloudFault>>;
}

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

function aged(w: Listed, ms: number): Listed {
  return w.remainingMs === undefined ? w : { ...w, remainingMs: Math.max(0, w.remainingMs - ms) };
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

  async read(): Promise<Result<WorkerListReading, CloudFault>> {
    const from = this.deps.clock.mono();
    const got = await this.deps.platform.workers();
    if (!got.ok) return this.queryPeers(got.fault);
    this.own = { workers: got.value, at: from };
    return ok({ workers: got.value, ageMs: this.deps.clock.mono() - from, secondHand: false });
  }

  private async queryPeers(fault: CloudFault): Promise<Result<WorkerListReading, CloudFault>> {
    const others: NodeInfo[] = [];
    for (const n of this.deps.membership.all())
      if (n.role === 'proxy' && n.status === 'alive' && n.name !== this.deps.name) others.push(n);
    let best: WorkerListReading | null = null;
    const requests: Promise<void>[] = [];

    const one = async (n: NodeInfo): Promise<void> => {
      const from = this.deps.clock.mono();
      const got = await this.deps.peers.call(n.address, { kind: 'listAsk' }, ASK_WAIT_MS);
      if (!got.ok || got.value.kind !== 'listTold' || got.value.ageMs === null) return;
      const ageMs = got.value.ageMs + (this.deps.clock.mono() - from);
      if (!best || ageMs < best.ageMs) best = { workers: got.value.workers, ageMs, secondHand: true };
    };
    for (const n of shuffled(this.deps.rng, others).slice(0, ASKED)) requests.push(one(n));
    await Promise.all(requests);
    const reading = best as WorkerListReading | null;
    if (!reading) return err(fault);
    const workers: Listed[] = [];
    for (const w of reading.workers) workers.push(aged(w, reading.ageMs));
    return ok({ ...reading, workers });
  }
}

export function createWorkerListSource(deps: WorkerListSourceDeps): WorkerListSource {
  return new PlatformListSource(deps);
}
