/**
 * The status of a controller and of the deployment for operators: the body of `GET /v1/status` and the gauges of
 * `GET /metrics`. Both come from the local state of this controller, without a request to any other node. While the
 * controller is not in contact with a majority, `quorate` is false and the figures of the core are unknown.
 */
import { memberId } from '../state/consensus/control-state.js';
import type { ControlState } from '../state/consensus/control-state.js';
import type { CoreHealth } from '../state/membership/core-health.js';
import type { Clock } from '../transport/clock.js';
import type { Meters } from '../transport/meters.js';
import type { Claims } from './idempotency/claims.js';
import type { CoreHealthWatch } from './membership/core-health-watch.js';
import type { Ledger } from './consensus/ledger.js';
import type { ChangeDistribution } from './distribution/change-distribution.js';
import type { Membership } from './membership/failure-detector.js';
import { ownValue, setOwnValue } from '../base/own-value.js';

/** The components that the status is read from. */
export type ControllerStatusDeps = {
  readonly name: string;
  readonly ledger: Ledger;
  readonly claims: Claims;
  readonly distribution: ChangeDistribution;
  readonly coreHealth: CoreHealthWatch;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly holdsScaler: () => boolean;
};

/** The status response and the gauges of one controller. */
export interface ControllerStatus {
  /** Returns the body of the status response. */
  body(): unknown;
  /** Sets the gauges to their current values. */
  setGauges(meters: Meters): void;
}

type WorkerVerdicts = { fit: number; unfit: number };

class LocalControllerStatus implements ControllerStatus {
  constructor(private readonly deps: ControllerStatusDeps) {}

  private proxyRows(): Record<string, unknown> {
    const rows: Record<string, unknown> = {};
    for (const name of Object.keys(this.deps.ledger.controlState().proxies)) {
      const report = this.deps.distribution.reports().get(name);
      const lastContactAt = this.deps.distribution.lastContactAt(name);
      setOwnValue(rows, name, {
        slot: this.deps.distribution.confirmedSlot(name),
        heardMs: lastContactAt === null ? null : Math.round(this.deps.clock.mono() - lastContactAt),
        shed: report?.shed ?? null,
        attempted: report?.attempted ?? null,
        retried: report?.retried ?? null,
      });
    }
    return rows;
  }

  private workerRows(): Record<string, WorkerVerdicts> {
    const rows: Record<string, WorkerVerdicts> = {};
    for (const report of this.deps.distribution.reports().values()) {
      for (const [worker, verdict] of Object.entries(report.health)) {
        const counts = ownValue(rows, worker) ?? { fit: 0, unfit: 0 };
        counts[verdict] += 1;
        setOwnValue(rows, worker, counts);
      }
    }
    return rows;
  }

  body(): unknown {
    const state = this.deps.ledger.controlState();
    return {
      name: this.deps.name,
      role: 'controller',
      member: memberId(this.deps.ledger.self),
      isMember: this.deps.ledger.isMember(),
      ledger: state.ledger,
      slot: state.slot,
      version: state.version,
      writable: this.deps.ledger.writable(),
      quorate: this.deps.distribution.quorate(),
      core: this.deps.coreHealth.current(),
      claimsReady: this.deps.claims.ready(),
      claimsHeld: this.deps.claims.size(),
      members: state.members,
      nodes: this.deps.membership.all(),
      leases: state.leases,
      holdsScaler: this.deps.holdsScaler(),
      evacuated: state.evacuated,
      zoneSets: state.zoneSets,
      targets: state.targets,
      proxies: this.proxyRows(),
      workers: this.workerRows(),
      ordersInFlight: ordersInFlight(state),
    };
  }

  setGauges(meters: Meters): void {
    const state = this.deps.ledger.controlState();
    meters.set('millfield_slot', 'Newest ledger slot', state.slot);
    meters.set('millfield_version', 'Configuration in force', state.version);
    meters.set('millfield_quorate', '1 while a majority is heard', this.deps.distribution.quorate() ? 1 : 0);
    meters.set('millfield_writable', '1 while the ring takes writes', this.deps.ledger.writable() ? 1 : 0);
    meters.set('millfield_holds_scaler', '1 on the holder of the scaler duty', this.deps.holdsScaler() ? 1 : 0);
    meters.set('millfield_claims_held', 'Run-once keys remembered', this.deps.claims.size());
    meters.set('millfield_claims_ready', '1 once claims are whole', this.deps.claims.ready() ? 1 : 0);
    meters.set(
      'millfield_proxies_behind',
      'Proxies that have not confirmed the newest slot',
      this.deps.distribution.unconfirmedProxies(state.slot).length,
    );
    const health = this.deps.coreHealth.current();
    setCoreGauges(meters, 'ledger', health.ledger);
    if (health.claims) setCoreGauges(meters, 'claims', health.claims);
    for (const [model, target] of Object.entries(state.targets))
      meters.set('millfield_target', 'Workers wanted', target, { model });
    setOrderGauges(meters, state);
    for (const [model, zones] of Object.entries(state.zoneSets))
      meters.set('millfield_zones_preemptive', 'Zones avoided for spot', zones.preemptive.length, { model });
  }
}

/** Creates a status that reads all values at the time of the call and caches none. */
export function createControllerStatus(deps: ControllerStatusDeps): ControllerStatus {
  return new LocalControllerStatus(deps);
}

function ordersInFlight(state: ControlState): unknown[] {
  const rows: unknown[] = [];
  for (const order of Object.values(state.orders)) {
    if (order.status === 'ready') continue;
    rows.push({
      id: order.id,
      model: order.model,
      zone: order.zone,
      kind: order.kind,
      status: order.status,
      machine: order.machine,
    });
  }
  return rows;
}

/** All gauges have a label, so that a gauge without a known value is left out of the response instead of being 0. */
function setCoreGauges(meters: Meters, group: string, health: CoreHealth): void {
  const labels = { group };
  meters.set(
    'millfield_core_known',
    '1 while this controller hears a majority of the core',
    health.spareLosses === null ? 0 : 1,
    labels,
  );
  meters.set('millfield_core_members', 'Members of the core', health.members, labels);
  meters.set('millfield_core_quorum_size', 'Members that make a majority', health.quorumSize, labels);
  meters.set('millfield_core_in_touch', 'Members in touch, this one included', health.inTouch, labels);
  if (health.holdingAll !== null)
    meters.set('millfield_core_holding_all', 'Members in touch that hold everything', health.holdingAll, labels);
  if (health.spareLosses !== null)
    meters.set('millfield_core_spare_losses', 'Further losses that the core bears', health.spareLosses, labels);
}

function setOrderGauges(meters: Meters, state: ControlState): void {
  const counts = new Map<string, number>();
  for (const order of Object.values(state.orders)) {
    const key = `${order.model} ${order.kind} ${order.status}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  for (const [key, count] of counts) {
    const [model, kind, orderState] = key.split(' ') as [string, string, string];
    meters.set('millfield_orders', 'Open orders', count, { model, kind, state: orderState });
  }
}
