/** Sums the load on workers that proxies report, so that each proxy knows the load the others put on them. */
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

/** A running relay. */
export interface FleetLoadRelay {
  stop(): void;
}

const RELAY_INTERVAL_MS = 100;
/** The relay interval of a controller while there is no load. */
const IDLE_INTERVAL_MS = 300;
const STALE_AFTER_MS = 2_500;
/** The complete table is sent to the other controllers this often, and only changed rows in between. */
const FULL_REPORT_INTERVAL_MS = 1_000;

class PeriodicFleetLoadRelay implements FleetLoadRelay {
  private readonly proxyLoads = createFleetLoad(STALE_AFTER_MS);
  private readonly controllerLoads = createFleetLoad(STALE_AFTER_MS);
  private readonly proxyPeers = new Map<string, Peer>();
  private readonly run: string;
  private readonly ownSumChanges = createLoadChanges();
  private readonly fleetSumChanges = createLoadChanges();
  /** Connections to proxies over which the complete table has been sent. */
  private readonly initializedPeers = new WeakSet<Peer>();
  private count = 0;
  private lastFullReportAt = -Infinity;
  private relayTimer: Timer;
  private isIdle = true;
  private stopped = false;

  constructor(
    private readonly ledger: Ledger,
    private readonly peers: Peers,
    private readonly clock: Clock,
    rng: Rng,
  ) {
    this.run = newId(rng, 'r');

    this.peers.on('usage', (message, peer) => this.onProxyLoad(message, peer));

    this.peers.on('usages', (message) => this.onControllerLoads(message));
    this.relayTimer = this.clock.timer(IDLE_INTERVAL_MS, () => this.tick());
  }

  private onProxyLoad(message: MessageOf<'usage'>, peer: Peer): null {
    if (!this.proxyLoads.record(message.told, this.clock.mono())) return null;
    const { name, rows } = message.told;
    if (Object.keys(rows).length > 0) this.leaveIdle();
    const previous = this.proxyPeers.get(name);
    this.proxyPeers.set(name, peer);

    const onClosed = (): void => {
      if (this.proxyPeers.get(name) === peer) this.proxyPeers.delete(name);
    };
    if (previous !== peer) peer.onClosed(onClosed);
    return null;
  }

  private onControllerLoads(message: MessageOf<'usages'>): null {
    if (this.controllerLoads.record(message.told, this.clock.mono()) && Object.keys(message.told.rows).length > 0)
      this.leaveIdle();
    return null;
  }

  private tick(): void {
    if (this.stopped) return;
    this.relayTimer = this.clock.timer(this.isIdle ? IDLE_INTERVAL_MS : RELAY_INTERVAL_MS, () => this.tick());
    this.relay();
  }

  /** Leaves idle mode, so that the first load is relayed without waiting for the idle interval to end. */
  private leaveIdle(): void {
    if (!this.isIdle || this.stopped) return;
    this.isIdle = false;
    this.relayTimer.cancel();
    this.relayTimer = this.clock.timer(RELAY_INTERVAL_MS, () => this.tick());
  }

  private relay(): void {
    const now = this.clock.mono();
    const ownSums = this.proxyLoads.sums(now);
    this.reportToControllers(ownSums, now);
    const sums = sumOf(ownSums, this.controllerLoads.sums(now));
    this.sendToProxies(sums, now);
    this.isIdle = Object.keys(sums).length === 0 && this.fleetSumChanges.isEmpty();
  }

  private reportToControllers(ownSums: LoadRows, now: number): void {
    const changed = this.ownSumChanges.next(ownSums, now);
    // The first report of a run is sent even if it is empty: it makes the others drop the reports of the run before.
    const isFullReportDue =
      this.count === 0 || (!this.ownSumChanges.isEmpty() && now - this.lastFullReportAt >= FULL_REPORT_INTERVAL_MS);
    if (isFullReportDue) {
      this.lastFullReportAt = now;
      this.sendToControllers({ rows: this.ownSumChanges.told() });
    } else if (changed) this.sendToControllers({ rows: changed, partial: true });
  }

  private sendToControllers(contents: Pick<ReportedLoad, 'rows' | 'partial'>): void {
    this.count += 1;
    const report: ReportedLoad = { name: this.ledger.self.name, run: this.run, count: this.count, ...contents };
    for (const member of otherMembers(this.ledger.controlState().members, this.ledger.self))
      void this.peers.send(member.address, { kind: 'usages', told: report });
  }

  private sendToProxies(sums: LoadRows, now: number): void {
    const changed = this.fleetSumChanges.next(sums, now);
    for (const peer of this.proxyPeers.values()) {
      if (!this.initializedPeers.has(peer)) {
        this.initializedPeers.add(peer);
        peer.send({ kind: 'fleetLoad', rows: this.fleetSumChanges.told() });
      } else if (changed) peer.send({ kind: 'fleetLoad', rows: changed, partial: true });
    }
  }

  stop(): void {
    this.stopped = true;
    this.relayTimer.cancel();
  }
}

/** Collects load reports of connected proxies, exchanges sums with the other controllers, and sends totals back. */
export function createFleetLoadRelay(ledger: Ledger, peers: Peers, clock: Clock, rng: Rng): FleetLoadRelay {
  return new PeriodicFleetLoadRelay(ledger, peers, clock, rng);
}
