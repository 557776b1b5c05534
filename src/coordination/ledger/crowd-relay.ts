import type { MessageOf } from '../../protocol/messages.js';
import { memberId } from '../../state/belief.js';
import { createCrowd } from '../../state/crowd.js';
import type { ToldUsage } from '../../state/crowd.js';
import { every } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Peer, Peers } from '../members/peers.js';
import type { Ledger } from './ledger.js';

export type CrowdRelay = { readonly stop: () => void };

const RELAY_MS = 300;
const STALE_MS = 1_500;

export function createCrowdRelay(ledger: Ledger, peers: Peers, clock: Clock): CrowdRelay {
  const crowd = createCrowd(STALE_MS);
  const tellers = new Map<string, Peer>();
  let fresh = new Map<string, ToldUsage>();
  let lastSums = '';

  function onUsage(m: MessageOf<'usage'>, peer: Peer): null {
    if (!crowd.take(m.told, clock.mono())) return null;
    fresh.set(m.told.name, m.told);
    const before = tellers.get(m.told.name);
    tellers.set(m.told.name, peer);
    function gone(): void {
      if (tellers.get(m.told.name) === peer) tellers.delete(m.told.name);
    }
    if (before !== peer) peer.onClosed(gone);
    return null;
  }
  function onUsages(m: MessageOf<'usages'>): null {
    for (const told of m.all) crowd.take(told, clock.mono());
    return null;
  }
  peers.on('usage', onUsage);
  peers.on('usages', onUsages);

  function relay(): void {
    const all = [...fresh.values()];
    fresh = new Map();
    if (all.length > 0) for (const m of ledger.belief().members) if (memberId(m) !== memberId(ledger.self)) void peers.tell(m.address, { kind: 'usages', all });
    const rows = crowd.sums(clock.mono());
    const text = JSON.stringify(rows);
    if (text === lastSums) return;
    lastSums = text;
    for (const peer of tellers.values()) peer.tell({ kind: 'crowd', rows });
  }
  const relaying = every(clock, RELAY_MS, relay);
  return { stop: relaying.cancel };
}
