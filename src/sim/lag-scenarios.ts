import type { ScalerStep } from '../state/consensus/entry.js';
import { createFollower } from '../coordination/distribution/follower.js';
import type { Follower } from '../coordination/distribution/follower.js';
import { createPeers } from '../coordination/messaging/peers.js';
import { createQuietLog } from '../transport/log.js';
import { createSimCore } from './sim-core.js';
import type { SimCore } from './sim-core.js';

/**
 * Measures how long nodes that lag by many changes and orders take to catch up over narrow links. Used by the tests of
 * catching up, and by `tools/catch-up.mjs`, which prints the table of docs/measurements.md.
 */
export type Lag = { readonly orders: number; readonly changes: number };

/**
 * Links of a lagging node: one-way delay between regions, window per round trip, and the link rate of a proxy at the
 * edge.
 */
export type Links = { readonly regionMs: number; readonly windowBytes: number; readonly edgeBitsPerSecond: number };

/** Links with a 64 KiB window and 7 Mbit/s at the edge. */
export const NARROW_LINKS: Links = { regionMs: 35, windowBytes: 65_536, edgeBitsPerSecond: 7_000_000 };

/**
 * Milliseconds until caught up (null: not within the limit), the bytes sent on all links meanwhile, and the size of the
 * state.
 */
export type CatchUpResult = { readonly ms: number | null; readonly bytes: number; readonly stateBytes: number };

const CONTROLLERS = ['h1', 'h2', 'h3'];
const CATCH_UP_LIMIT_MS = 60_000;
const ORDERS_AT_ONCE = 20;
const EDGE_ZONE = 'zone-edge';
const DISK_BYTES = 512 * 1_048_576;

/** Starts three controllers on the given links and waits until they have formed a group. */
export async function bootstrapped(seed: number, links: Links): Promise<SimCore> {
  const core = createSimCore(seed, { controllers: 3, seeds: 3, regionMs: links.regionMs, diskBytes: DISK_BYTES });
  core.rates.limitWindow(links.windowBytes);
  core.startAll();
  function isComplete(): boolean {
    return core.whole(CONTROLLERS);
  }
  await core.until(20_000, isComplete);
  await core.world.advance(1_000);
  return core;
}

function slotAt(core: SimCore, name: string): number {
  return core.node(name).controller?.ledger.controlState().slot ?? -1;
}

async function propose(
  core: SimCore,
  cause: string,
  command: Parameters<NonNullable<ReturnType<SimCore['node']>['controller']>['ledger']['propose']>[0]['act'],
): Promise<void> {
  const ledger = core.node('h1').controller?.ledger;
  if (ledger) await core.runUntilSettled(ledger.propose({ cause, act: command }, 5_000), 30_000);
}

type OrderStage = 'intended' | 'placed' | 'ready' | 'lost';

const ORDER_STAGES: readonly OrderStage[] = ['intended', 'placed', 'ready', 'lost'];

/** One status change of an order, with a cause as the scaler writes it. */
function stepOf(index: number, series: string, stage: OrderStage): ScalerStep {
  const order = `${series}-${index}-7f3a9c`;
  switch (stage) {
    case 'intended':
      return {
        cause: `Spot ${index % 7} of 9 (target 8 + extra 1).`,
        act: {
          tag: 'orderIntended',
          order,
          model: 'model-a',
          zone: `zone-${index % 6}`,
          kind: 'spot',
          accelerator: 'any',
        },
      };
    case 'placed':
      return {
        cause: `machine-${index} appeared in zone-${index % 6}.`,
        act: { tag: 'orderPlaced', order, machine: `machine-${series}-${index}` },
      };
    case 'ready':
      return { cause: 'The worker is listed as serving, and warm.', act: { tag: 'orderReady', order } };
    case 'lost':
      return { cause: 'The machine was taken back by the cloud.', act: { tag: 'orderLost', order, preempted: true } };
  }
}

async function proposeSteps(core: SimCore, series: string, from: number, to: number, stage: OrderStage): Promise<void> {
  const steps: ScalerStep[] = [];
  for (let index = from; index < to; index += 1) steps.push(stepOf(index, series, stage));
  await propose(core, 'The scaler decided.', { tag: 'decided', steps });
}

/** Takes this many orders through all stages until they are closed, 20 at a time. */
export async function addOrders(core: SimCore, count: number): Promise<void> {
  const series = `order-${slotAt(core, 'h1')}`;
  for (let from = 0; from < count; from += ORDERS_AT_ONCE) {
    for (const stage of ORDER_STAGES)
      await proposeSteps(core, series, from, Math.min(count, from + ORDERS_AT_ONCE), stage);
  }
}

/** Takes a separate series of orders through the given stages. */
export async function advanceOrders(core: SimCore, count: number, stages: readonly OrderStage[]): Promise<void> {
  for (const stage of stages) await proposeSteps(core, 'stepped', 0, count, stage);
}

/** Agrees on this many configuration changes, one after the other. */
export async function addChanges(core: SimCore, count: number): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    const base = core.node('h1').controller?.ledger.controlState().version ?? 0;
    await propose(core, `The operator changed 1 settings on version ${base}.`, {
      tag: 'configured',
      base,
      changes: [{ path: ['deployment', `setting${index % 50}`], value: index }],
    });
  }
}

async function measureCatchUp(core: SimCore, isCaughtUp: () => boolean): Promise<CatchUpResult> {
  const from = core.world.now();
  const sentBefore = core.sent().bytes;
  const reached = await core.until(CATCH_UP_LIMIT_MS, isCaughtUp);
  const stateBytes = JSON.stringify(core.node('h1').controller?.ledger.controlState()).length;
  return {
    ms: reached ? Math.round(core.world.now() - from) : null,
    bytes: core.sent().bytes - sentBefore,
    stateBytes,
  };
}

/** Stops a controller while the others agree; measures from its restart until it has applied the whole log. */
export async function controllerBehind(seed: number, lag: Lag, links = NARROW_LINKS): Promise<CatchUpResult> {
  const core = await bootstrapped(seed, links);
  core.kill('h3');
  await addOrders(core, lag.orders);
  await addChanges(core, lag.changes);
  core.start('h3');
  function isCaughtUp(): boolean {
    return slotAt(core, 'h3') >= slotAt(core, 'h1');
  }
  return measureCatchUp(core, isCaughtUp);
}

/**
 * Runs a proxy at the edge without a disk, which starts blank or is partitioned while the core agrees; measures until
 * it has caught up and is in contact again.
 */
export async function proxyBehind(
  seed: number,
  lag: Lag,
  startsBlank: boolean,
  links = NARROW_LINKS,
): Promise<CatchUpResult> {
  const core = await bootstrapped(seed, links);
  const names = ['edge'];
  core.world.host('edge', EDGE_ZONE);
  core.rates.limitHost('edge', links.edgeBitsPerSecond);
  for (const node of core.nodes) core.world.setDelay(node.host.zone, EDGE_ZONE, links.regionMs);
  function startFollower(): Promise<Follower> {
    const log = createQuietLog().component('edge');
    const { wire, clock } = core.labIn('edge', EDGE_ZONE);
    const seeds = core.nodes.map(wireOf);
    return createFollower(
      { name: 'edge', zone: EDGE_ZONE, region: EDGE_ZONE },
      seeds,
      createPeers(wire, clock, log),
      clock,
      null,
      log,
    );
  }
  function wireOf(node: { readonly wire: string }): string {
    return node.wire;
  }
  let follower = await startFollower();
  await core.world.advance(5_000);
  if (startsBlank) core.world.kill(core.world.host('edge', EDGE_ZONE));
  else for (const node of CONTROLLERS) cutBothWays(core, node, names);
  await addOrders(core, lag.orders);
  await addChanges(core, lag.changes);
  const target = slotAt(core, 'h1');
  core.world.healAll();
  if (startsBlank) follower = await startFollower();
  function isCaughtUp(): boolean {
    return follower.controlState().slot >= target && follower.fresh() && !follower.partitioned();
  }
  return measureCatchUp(core, isCaughtUp);
}

function cutBothWays(core: SimCore, node: string, others: readonly string[]): void {
  for (const other of others) {
    core.world.cut(node, other);
    core.world.cut(other, node);
  }
}
