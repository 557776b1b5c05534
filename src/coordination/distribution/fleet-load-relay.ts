/** Sums the loads that proxies report on workers, so that each proxy knows what the others run there. */
import type { MessageOf } from '../../protocol/messages.js';
import { createFleetLoad, sumOf } from '../../state/distribution/fleet-load.js';
import type { ReportedLoad } from '../../state/distribution/fleet-load.js';
import type { LoadRows } from '../../state/distribution/load-rows.js';
import { createLoadChanges } from '../../state/distribution/load-changes.js';
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

const RELAY_MS = 100;
const STALE_MS = 2_500;
/** Other controllers are told the whole table so often, and only what changed in between. */
const WHOLE_MS = 1_000;

class GossipingLoadRelay implements FleetLoadRelay {
  private readonly own = createFleetLoad(STALE_MS);
  private readonly others = createFleetLoad(STALE_MS);
  private readonly senders = new Map<string, Peer>();
  private readonly run: string;
  private readonly ownChanges = createLoadChanges();
  private readonly sumChanges = createLoadChanges();
  private readonly informed = new Set<Peer>();
  private count = 0;
  private wholeAt = -Infinity;
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
    const now = this.clock.mono();
    const mine = this.own.sums(now);
    this.tellControllers(mine, now);
    this.tellProxies(sumOf(mine, this.others.sums(now)), now);
  }

  private tellControllers(mine: LoadRows, now: number): void {
    const changed = this.ownChanges.next(mine, now);
    const isIdle = Object.keys(this.ownChanges.told()).length === 0;
    const whole = !isIdle && now - this.wholeAt >= WHOLE_MS;
    if (!whole && !changed) return;
    if (whole) this.wholeAt = now;
    this.count += 1;
    const told: ReportedLoad = {
      name: this.ledger.self.name,
      run: this.run,
      count: this.count,
      ...(whole || !changed ? { rows: this.ownChanges.told() } : { rows: changed, partial: true }),
    };
    for (const member of otherMembers(this.ledger.controlState().members, this.ledger.self))
      void this.peers.send(member.address, { kind: 'usages', told });
  }

  private tellProxies(sums: LoadRows, now: number): void {
    const changed = this.sumChanges.next(sums, now);
    const proxies = new Set(this.senders.values());
    for (const peer of this.informed) if (!proxies.has(peer)) this.informed.delete(peer);
    for (const peer of proxies) {
      if (!this.informed.has(peer)) {
        this.informed.add(peer);
        peer.send({ kind: 'fleetLoad', rows: this.sumChanges.told() });
      } else if (changed) peer.send({ kind: 'fleetLoad', rows: changed, partial: true });
    }
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
