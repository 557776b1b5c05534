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

export type SeenList = { readonly workers: readonly Listed[]; readonly ageMs: number; readonly secondHand: boolean };

export type ListSource = { readonly read: () => Promise<Result<SeenList, CloudFault>> };

export type ListSourceDeps = {
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

export function createListSource(deps: ListSourceDeps): ListSource {
  const { name, platform, membership, peers, clock, rng } = deps;
  let own: { readonly workers: readonly Listed[]; readonly at: number } | null = null;

  function onAsk(): Message {
    const ageMs = own === null ? null : clock.mono() - own.at;
    if (own === null || ageMs === null || ageMs > OLDEST_MS) return { kind: 'listTold', ageMs: null, workers: [] };
    return { kind: 'listTold', ageMs, workers: [...own.workers] };
  }
  peers.on('listAsk', onAsk);

  async function read(): Promise<Result<SeenList, CloudFault>> {
    const from = clock.mono();
    const got = await platform.workers();
    if (!got.ok) return askOthers(got.fault);
    own = { workers: got.value, at: from };
    return ok({ workers: got.value, ageMs: clock.mono() - from, secondHand: false });
  }

  async function askOthers(fault: CloudFault): Promise<Result<SeenList, CloudFault>> {
    const others: NodeInfo[] = [];
    for (const n of membership.all()) if (n.role === 'proxy' && n.status === 'alive' && n.name !== name) others.push(n);
    let best: SeenList | null = null;
    async function one(n: NodeInfo): Promise<void> {
      const from = clock.mono();
      const got = await peers.call(n.address, { kind: 'listAsk' }, ASK_WAIT_MS);
      if (!got.ok || got.value.kind !== 'listTold' || got.value.ageMs === null) return;
      const ageMs = got.value.ageMs + (clock.mono() - from);
      if (!best || ageMs < best.ageMs) best = { workers: got.value.workers, ageMs, secondHand: true };
    }
    const asks: Promise<void>[] = [];
    for (const n of shuffled(rng, others).slice(0, ASKED)) asks.push(one(n));
    await Promise.all(asks);
    const told = best as SeenList | null;
    if (!told) return err(fault);
    const workers: Listed[] = [];
    for (const w of told.workers) workers.push(aged(w, told.ageMs));
    return ok({ ...told, workers });
  }
  return { read };
}
