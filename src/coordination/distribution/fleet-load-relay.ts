/** Sums the loads that proxies report on workers, so that each proxy knows what the others run there. */
import type { MessageOf } from '../../protocol/messages.js';
import { createFleetLoad, sumOf } from '../../state/distribution/fleet-load.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Peer, Peers } from '../messaging/peers.js';
import type { Ledger } from '../consensus/ledger.js';
import { otherMembers } from '../../state/consensus/fold-members.js';

/** Relays until it is stopped. */
export interface FleetLoadRelay {
  stop(): void;
}

const RELAY_MS = 300;
const STALE_MS = 2_500;
const PROXIES_A_STEP = 12;

class GossipingLoadRelay implements FleetLoadRelay {
  private readonly own = createFleetLoad(STALE_MS);
  private readonly others = createFleetLoad(STALE_MS);
  private readonly senders = new Map<string, Peer>();
  private readonly run: string;
  private count = 0;
  private lastOwn = '';
  private lastSums = '';
  private turnCount = 0;
  private readonly relaying: Timer;

  constructor(
    private readonly ledger: Ledger,
    private readonly peers: Peers,
    private readonly clock: Clock,
    rng: Rng,
  ) {
    this.run = newId(rng, 'r');

    this.peers.on('usage', (message, peer) => this.onLoad(message, peer));

    this.peers.on('usages', (message) => this.onLoads(message));
    this.relaying = every(this.clock, RELAY_MS, () => this.relay());
  }

  private onLoad(message: MessageOf<'usage'>, peer: Peer): null {
    if (!this.own.record(message.told, this.clock.mono())) return null;
    const { name } = message.told;
    const before = this.senders.get(name);
    this.senders.set(name, peer);

    const gone = (): void => {
      if (this.senders.get(name) === peer) this.senders.delete(name);
    };
    if (before !== peer) peer.onClosed(gone);
    return null;
  }

  private onLoads(message: MessageOf<'usages'>): null {
    this.others.record(message.told, this.clock.mono());
    return null;
  }

  private relay(): void {
    this.turnCount += 1;
    const slower = 1 + Math.floor(this.senders.size / PROXIES_A_STEP);
    if (this.turnCount % slower !== 0) return;
    const now = this.clock.mono();
    const mine = this.own.sums(now);
    const text = JSON.stringify(mine);
    if (text !== this.lastOwn) {
      this.lastOwn = text;
      this.count += 1;
      const report = { name: this.ledger.self.name, run: this.run, count: this.count, rows: mine };
      for (const member of otherMembers(this.ledger.controlState().members, this.ledger.self))
        void this.peers.send(member.address, { kind: 'usages', told: report });
    }
    const rows = sumOf(mine, this.others.sums(now));
    const sumsText = JSON.stringify(rows);
    if (sumsText === this.lastSums) return;
    this.lastSums = sumsText;
    for (const peer of this.senders.values()) peer.send({ kind: 'fleetLoad', rows });
  }

  stop(): void {
    this.relaying.cancel();
  }
}

/**
 * Collects loads of the proxies connected here, exchanges sums with the other controllers, and sends the total back.
 */
export function createFleetLoadRelay(ledger: Ledger, peers: Peers, clock: Clock, rng: Rng): FleetLoadRelay {
  return new GossipingLoadRelay(ledger, peers, clock, rng);
}
