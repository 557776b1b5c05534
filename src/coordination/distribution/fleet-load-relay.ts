/** Sums the loads that proxies report on workers, so that each proxy knows what the others run there. */
import type { MessageOf } from '../../protocol/messages.js';
import { createFleetLoad, sumOf } from '../../state/distribution/fleet-load.js';
import type { ReportedLoad } from '../../state/distribution/fleet-load.js';
import type { LoadRows } from '../../state/distribution/load-rows.js';
import { createLoadChanges } from '../../state/distribution/load-changes.js';
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
/** A controller without any loads looks so often. */
const IDLE_MS = 300;
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
  /** Proxies that have been told the whole table on their connection. */
  private readonly informed = new WeakSet<Peer>();
  private count = 0;
  private wholeAt = -Infinity;
  private relaying: Timer;
  private isIdle = true;
  private stopped = false;

  constructor(
    private readonly ledger: Ledger,
    private readonly peers: Peers,
    private readonly clock: Clock,
    rng: Rng,
  ) {
    this.run = newId(rng, 'r');

    this.peers.on('usage', (message, peer) => this.onLoad(message, peer));

    this.peers.on('usages', (message) => this.onLoads(message));
    this.relaying = this.clock.timer(IDLE_MS, () => this.tick());
  }

  private onLoad(message: MessageOf<'usage'>, peer: Peer): null {
    if (!this.own.record(message.told, this.clock.mono())) return null;
    const { name, rows } = message.told;
    if (Object.keys(rows).length > 0) this.wake();
    const before = this.senders.get(name);
    this.senders.set(name, peer);

    const gone = (): void => {
      if (this.senders.get(name) === peer) this.senders.delete(name);
    };
    if (before !== peer) peer.onClosed(gone);
    return null;
  }

  private onLoads(message: MessageOf<'usages'>): null {
    if (this.others.record(message.told, this.clock.mono()) && Object.keys(message.told.rows).length > 0) this.wake();
    return null;
  }

  private tick(): void {
    if (this.stopped) return;
    this.relaying = this.clock.timer(this.isIdle ? IDLE_MS : RELAY_MS, () => this.tick());
    this.relay();
  }

  /** The first load after a rest does not wait for the next look. */
  private wake(): void {
    if (!this.isIdle || this.stopped) return;
    this.isIdle = false;
    this.relaying.cancel();
    this.relaying = this.clock.timer(RELAY_MS, () => this.tick());
  }

  private relay(): void {
    const now = this.clock.mono();
    const mine = this.own.sums(now);
    this.tellControllers(mine, now);
    const sums = sumOf(mine, this.others.sums(now));
    this.tellProxies(sums, now);
    this.isIdle = Object.keys(sums).length === 0 && this.sumChanges.isEmpty();
  }

  private tellControllers(mine: LoadRows, now: number): void {
    const changed = this.ownChanges.next(mine, now);
    // The first word of a run is told even if it is empty: others drop what the run before told.
    const whole = this.count === 0 || (!this.ownChanges.isEmpty() && now - this.wholeAt >= WHOLE_MS);
    if (whole) {
      this.wholeAt = now;
      this.sendToControllers({ rows: this.ownChanges.told() });
    } else if (changed) this.sendToControllers({ rows: changed, partial: true });
  }

  private sendToControllers(report: Pick<ReportedLoad, 'rows' | 'partial'>): void {
    this.count += 1;
    const told: ReportedLoad = { name: this.ledger.self.name, run: this.run, count: this.count, ...report };
    for (const member of otherMembers(this.ledger.controlState().members, this.ledger.self))
      void this.peers.send(member.address, { kind: 'usages', told });
  }

  private tellProxies(sums: LoadRows, now: number): void {
    const changed = this.sumChanges.next(sums, now);
    for (const peer of this.senders.values()) {
      if (!this.informed.has(peer)) {
        this.informed.add(peer);
        peer.send({ kind: 'fleetLoad', rows: this.sumChanges.told() });
      } else if (changed) peer.send({ kind: 'fleetLoad', rows: changed, partial: true });
    }
  }

  stop(): void {
    this.stopped = true;
    this.relaying.cancel();
  }
}

/**
 * Collects loads of the proxies connected here, exchanges sums with the other controllers, and sends the total back.
 */
export function createFleetLoadRelay(ledger: Ledger, peers: Peers, clock: Clock, rng: Rng): FleetLoadRelay {
  return new GossipingLoadRelay(ledger, peers, clock, rng);
}
