/**
 * The load exchange among the proxies of a simulated day: proxies report to a controller, controllers exchange
 * sums, and changes are sent back to the proxies. Uses the real load tables and the delays of the deployment.
 */

import { createFleetLoad, sumLoadRows } from '../../state/distribution/fleet-load.js';
import type { FleetLoad } from '../../state/distribution/fleet-load.js';
import { createLoadChanges } from '../../state/distribution/load-changes.js';
import type { LoadChanges } from '../../state/distribution/load-changes.js';
import { applyRowChanges } from '../../state/distribution/load-rows.js';
import type { LoadRows } from '../../state/distribution/load-rows.js';
import type { WorkerRegistry } from '../../state/discovery/worker-registry.js';
import type { Deployment } from './deployment.js';

/** A proxy that takes part in the exchange. */
export type LoadParticipant = { readonly name: string; readonly registry: WorkerRegistry };

/** The simulated time of the day: schedules callbacks, and tells whether the day is over. */
export type DayClock = {
  readonly now: () => number;
  readonly after: (ms: number, run: () => void) => void;
  readonly isOver: () => boolean;
};

/** Intervals in milliseconds: `loadMs` between reports of a proxy, `relayMs` between messages of a controller. */
export type LoadIntervals = { readonly loadMs: number; readonly relayMs: number };

const STALE_AFTER_MS = 2_500;

type ControllerState = {
  readonly own: FleetLoad;
  readonly others: FleetLoad;
  readonly ownChanges: LoadChanges;
  readonly sumChanges: LoadChanges;
};
type ParticipantState = LoadParticipant & { readonly controller: number; fleetLoad: LoadRows };

class SimulatedLoadExchange {
  private readonly controllers: ControllerState[] = [];
  private readonly participants: ParticipantState[] = [];

  constructor(
    private readonly deployment: Deployment,
    private readonly clock: DayClock,
    private readonly intervals: LoadIntervals,
    participants: readonly LoadParticipant[],
  ) {
    for (let i = 0; i < deployment.controllers; i += 1)
      this.controllers.push({
        own: createFleetLoad(STALE_AFTER_MS),
        others: createFleetLoad(STALE_AFTER_MS),
        ownChanges: createLoadChanges(),
        sumChanges: createLoadChanges(),
      });
    participants.forEach((participant, index) =>
      this.participants.push({ ...participant, controller: index % deployment.controllers, fleetLoad: {} }),
    );
  }

  start(): void {
    this.participants.forEach((participant, index) => this.startReports(participant, index));
    this.controllers.forEach((controller, index) => this.startRelay(controller, index));
  }

  private startReports(participant: ParticipantState, index: number): void {
    const { now, after, isOver } = this.clock;
    const { loadMs } = this.intervals;
    let count = 0;
    const sendReport = (): void => {
      count += 1;
      const report = { name: participant.name, run: 'run', count, rows: participant.registry.load(now()) };
      const controller = this.controllers[participant.controller] as ControllerState;
      after(this.deployment.crossZoneMs, () => controller.own.record(report, now()));
      if (!isOver()) after(loadMs, sendReport);
    };
    after((loadMs * index) / this.participants.length, sendReport);
  }

  private startRelay(controller: ControllerState, index: number): void {
    const { now, after, isOver } = this.clock;
    const { relayMs } = this.intervals;
    let count = 0;
    const sendRelay = (): void => {
      count += 1;
      const ownSums = controller.own.sums(now());
      if (controller.ownChanges.next(ownSums, now())) this.sendToControllers(controller, index, count);
      const changed = controller.sumChanges.next(sumLoadRows(ownSums, controller.others.sums(now())), now());
      if (changed) this.sendToProxies(index, changed);
      if (!isOver()) after(relayMs, sendRelay);
    };
    after((relayMs * index) / this.controllers.length, sendRelay);
  }

  private sendToControllers(controller: ControllerState, index: number, count: number): void {
    const report = { name: `c${index}`, run: 'run', count, rows: controller.ownChanges.told() };
    for (const other of this.controllers)
      if (other !== controller)
        this.clock.after(this.deployment.crossRegionMs, () => other.others.record(report, this.clock.now()));
  }

  private sendToProxies(controller: number, changed: LoadRows): void {
    for (const participant of this.participants)
      if (participant.controller === controller)
        this.clock.after(this.deployment.crossZoneMs, () => {
          participant.fleetLoad = applyRowChanges(participant.fleetLoad, changed);
          participant.registry.applyFleetLoad(participant.fleetLoad, this.clock.now());
        });
  }
}

/** Starts the exchange, which ends when the day is over. */
export function startLoadExchange(
  deployment: Deployment,
  clock: DayClock,
  intervals: LoadIntervals,
  participants: readonly LoadParticipant[],
): void {
  new SimulatedLoadExchange(deployment, clock, intervals, participants).start();
}
