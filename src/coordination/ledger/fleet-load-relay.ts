import type { MessageOf } from '../../protocol/messages.js';
import { memberId } from '../../state/control-state.js';
import { createFleetLoad, sumOf } from '../../state/fleet-load.js';
import { every } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Peer, Peers } from '../members/peers.js';
import type { Ledger } from './ledger.js';

export type FleetLoadRelay = { readonly stop: () => void };

const RELAY_MS = 300;
const STALE_MS = 2_500;
const PROXIES_A_STEP = 12;

export function createFleetLoadRelay(ledger: Ledger, peers: Peers, clock: Clock, rng: Rng): FleetLoadRelay {
  const own = createFleetLoad(STALE_MS);
  const others = createFleetLoad(STALE_MS);
  const tellers = new Map<string, Peer>();
  const run = newId(rng, 'r');
  let count = 0;
  let lastOwn = '';
  let lastSums = '';
  let turns = 0;

  function onUsage(m: MessageOf<'usage'>, peer: Peer): null {
    if (!own.take(m.told, clock.mono())) return null;
    const { name } = m.told;
    const before = tellers.get(name);
    tellers.set(name, peer);
    function gone(): void {
      if (tellers.get(name) === peer) tellers.delete(name);
    }
    if (before !== peer) peer.onClosed(gone);
    return null;
  }
  function onUsages(m: MessageOf<'usages'>): null {
    others.take(m.told, clock.mono());
    return null;
  }
  peers.on('usage', onUsage);
  peers.on('usages', onUsages);

  function relay(): void {
    turns += 1;
    const slower = 1 + Math.floor(tellers.size / PROXIES_A_STEP);
    if (turns % slower !== 0) return;
    const now = clock.mono();
    const mine = own.sums(now);
    const text = JSON.stringify(mine);
    if (text !== lastOwn) {
      lastOwn = text;
      count += 1;
      const told = { name: ledger.self.name, run, count, rows: mine };
      for (const m of ledger.controlState().members)
        if (memberId(m) !== memberId(ledger.self)) void peers.tell(m.address, { kind: 'usages', told });
    }
    const rows = sumOf(mine, others.sums(now));
    const whole = JSON.stringify(rows);
    if (whole === lastSums) return;
    lastSums = whole;
    for (const peer of tellers.values()) peer.tell({ kind: 'fleetLoad', rows });
  }
  const relaying = every(clock, RELAY_MS, relay);
  return { stop: relaying.cancel };
}
