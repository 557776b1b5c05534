/**
 * How the proxies of a day tell one another their loads: reports to a controller, sums between controllers,
 * and what changed back to the proxies, with the real tables and delays of the deployment.
 */

import { createFleetLoad, sumLoadRows } from '../../state/distribution/fleet-load.js';
import type { FleetLoad } from '../../state/distribution/fleet-load.js';
import { createLoadChanges } from '../../state/distribution/load-changes.js';
import type { LoadChanges } from '../../state/distribution/load-changes.js';
import { applyRowChanges } from '../../state/distribution/load-rows.js';
import type { LoadRows } from '../../state/distribution/load-rows.js';
import type { WorkerRegistry } from '../../state/discovery/worker-registry.js';
import type { Deployment } from './deployment.js';

/** A proxy that takes part. */
export type LoadSharer = { readonly name: string; readonly registry: WorkerRegistry };

/** The day's time: what is due after so many milliseconds, and whether the day is over. */
export type DayClock = {
  readonly now: () => number;
  readonly after: (ms: number, run: () => void) => void;
  readonly isOver: () => boolean;
};

/** Milliseconds between reports of a proxy, and between messages of a controller. */
export type LoadIntervals = { readonly loadMs: number; readonly relayMs: number };

const STALE_MS = 2_500;

type ControllerState = {
  readonly own: FleetLoad;
  readonly others: FleetLoad;
  readonly ownChanges: LoadChanges;
  readonly sumChanges: LoadChanges;
};
type SharerState = LoadSharer & { readonly controller: number; fleetLoad: LoadRows };

class SimulatedLoadExchange {
  private readonly controllers: ControllerState[] = [];
  private readonly sharers: SharerState[] = [];

  constructor(
    private readonly deployment: Deployment,
    private readonly clock: DayClock,
    private readonly intervals: LoadIntervals,
    sharers: readonly LoadSharer[],
  ) {
    for (let i = 0; i < deployment.controllers; i += 1)
      this.controllers.push({
        own: createFleetLoad(STALE_MS),
        others: createFleetLoad(STALE_MS),
        ownChanges: createLoadChanges(),
        sumChanges: createLoadChanges(),
      });
    sharers.forEach((sharer, index) =>
      this.sharers.push({ ...sharer, controller: index % deployment.controllers, fleetLoad: {} }),
    );
  }

  start(): void {
    this.sharers.forEach((sharer, index) => this.startReports(sharer, index));
    this.controllers.forEach((controller, index) => this.startRelay(controller, index));
  }

  private startReports(sharer: SharerState, index: number): void {
    const { now, after, isOver } = this.clock;
    const { loadMs } = this.intervals;
    let count = 0;
    const report = (): void => {
      count += 1;
      const told = { name: sharer.name, run: 'run', count, rows: sharer.registry.load(now()) };
      const controller = this.controllers[sharer.controller] as ControllerState;
      after(this.deployment.crossZoneMs, () => controller.own.record(told, now()));
      if (!isOver()) after(loadMs, report);
    };
    after((loadMs * index) / this.sharers.length, report);
  }

  private startRelay(controller: ControllerState, index: number): void {
    const { now, after, isOver } = this.clock;
    const { relayMs } = this.intervals;
    let count = 0;
    const relay = (): void => {
      count += 1;
      const mine = controller.own.sums(now());
      if (controller.ownChanges.next(mine, now())) this.tellControllers(controller, index, count);
      const changed = controller.sumChanges.next(sumLoadRows(mine, controller.others.sums(now())), now());
      if (changed) this.tellSharers(index, changed);
      if (!isOver()) after(relayMs, relay);
    };
    after((relayMs * index) / this.controllers.length, relay);
  }

  private tellControllers(controller: ControllerState, index: number, count: number): void {
    const told = { name: `c${index}`, run: 'run', count, rows: controller.ownChanges.told() };
    for (const other of this.controllers)
      if (other !== controller)
        this.clock.after(this.deployment.crossRegionMs, () => other.others.record(told, this.clock.now()));
  }

  private tellSharers(controller: number, changed: LoadRows): void {
    for (const sharer of this.sharers)
      if (sharer.controller === controller)
        this.clock.after(this.deployment.crossZoneMs, () => {
          sharer.fleetLoad = applyRowChanges(sharer.fleetLoad, changed);
          sharer.registry.applyFleetLoad(sharer.fleetLoad, this.clock.now());
        });
  }
}

/** Starts the exchange; it ends by itself when the day is over. */
export function startLoadExchange(
  deployment: Deployment,
  clock: DayClock,
  intervals: LoadIntervals,
  sharers: readonly LoadSharer[],
): void {
  new SimulatedLoadExchange(deployment, clock, intervals, sharers).start();
}
