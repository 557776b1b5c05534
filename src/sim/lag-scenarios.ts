import type { ScalerStep } from '../state/consensus/entry.js';
import { createFollower } from '../coordination/distribution/follower.js';
import type { Follower } from '../coordination/distribution/follower.js';
import { createPeers } from '../coordination/messaging/peers.js';
import { createQuietLog } from '../transport/log.js';
import { createSimCore } from './sim-core.js';
import type { SimCore } from './sim-core.js';

/**
 * Nodes that lag by many changes and orders, on narrow links: how long until they are whole. The tests
 * of catching up use it, and `tools/catch-up.mjs`, which prints the table of docs/measurements.md.
 */
export type Lag = { readonly orders: number; readonly changes: number };

/** The links of a lagging node: one way between regions, bytes per round trip, and the line of an edge node. */
export type Links = { readonly regionMs: number; readonly windowBytes: number; readonly edgeBitsPerSecond: number };

export const NARROW: Links = { regionMs: 35, windowBytes: 65_536, edgeBitsPerSecond: 7_000_000 };

/** Milliseconds until whole (null: not within the limit), and the bytes that all links carried in that time. */
export type Caught = { readonly ms: number | null; readonly bytes: number; readonly stateBytes: number };

const THREE = ['h1', 'h2', 'h3'];
const LIMIT_MS = 60_000;
const ORDERS_AT_ONCE = 20;
const EDGE_ZONE = 'zone-edge';
const DISK_BYTES = 512 * 1_048_576;

export async function bootstrapped(seed: number, links: Links): Promise<SimCore> {
  const core = createSimCore(seed, { controllers: 3, seeds: 3, regionMs: links.regionMs, diskBytes: DISK_BYTES });
  core.rates.limitWindow(links.windowBytes);
  core.startAll();
  function whole(): boolean {
    return core.whole(THREE);
  }
  await core.until(20_000, whole);
  await core.world.advance(1_000);
  return core;
}

function slotAt(core: SimCore, name: string): number {
  return core.node(name).controller?.ledger.controlState().slot ?? -1;
}

async function agree(
  core: SimCore,
  cause: string,
  command: Parameters<NonNullable<ReturnType<SimCore['node']>['controller']>['ledger']['propose']>[0]['act'],
): Promise<void> {
  const ledger = core.node('h1').controller?.ledger;
  if (ledger) await core.finish(ledger.propose({ cause, act: command }, 5_000), 30_000);
}

type OrderStage = 'intended' | 'placed' | 'ready' | 'lost';

const WHOLE_LIFE: readonly OrderStage[] = ['intended', 'placed', 'ready', 'lost'];

/** One step in the life of an order, with a cause as the scaler names it. */
function stepOf(count: number, series: string, stage: OrderStage): ScalerStep {
  const order = `${series}-${count}-7f3a9c`;
  switch (stage) {
    case 'intended':
      return {
        cause: `Spot ${count % 7} of 9 (target 8 + extra 1).`,
        act: {
          tag: 'orderIntended',
          order,
          model: 'model-a',
          zone: `zone-${count % 6}`,
          kind: 'spot',
          accelerator: 'any',
        },
      };
    case 'placed':
      return {
        cause: `machine-${count} appeared in zone-${count % 6}.`,
        act: { tag: 'orderPlaced', order, machine: `machine-${series}-${count}` },
      };
    case 'ready':
      return { cause: 'The worker is listed as serving, and warm.', act: { tag: 'orderReady', order } };
    case 'lost':
      return { cause: 'The machine was taken back by the cloud.', act: { tag: 'orderLost', order, preempted: true } };
  }
}

async function decide(core: SimCore, series: string, from: number, to: number, stage: OrderStage): Promise<void> {
  const steps: ScalerStep[] = [];
  for (let count = from; count < to; count += 1) steps.push(stepOf(count, series, stage));
  await agree(core, 'The scaler decided.', { tag: 'decided', steps });
}

/** Orders that live and are closed, some at a time. */
export async function addOrders(core: SimCore, count: number): Promise<void> {
  const series = `order-${slotAt(core, 'h1')}`;
  for (let from = 0; from < count; from += ORDERS_AT_ONCE) {
    for (const stage of WHOLE_LIFE) await decide(core, series, from, Math.min(count, from + ORDERS_AT_ONCE), stage);
  }
}

/** Takes a series of orders of its own through these stages. */
export async function stepOrders(core: SimCore, count: number, stages: readonly OrderStage[]): Promise<void> {
  for (const stage of stages) await decide(core, 'stepped', 0, count, stage);
}

export async function addChanges(core: SimCore, count: number): Promise<void> {
  for (let total = 0; total < count; total += 1) {
    const base = core.node('h1').controller?.ledger.controlState().version ?? 0;
    await agree(core, `The operator changed 1 settings on version ${base}.`, {
      tag: 'configured',
      base,
      changes: [{ path: ['deployment', `setting${total % 50}`], value: total }],
    });
  }
}

async function timed(core: SimCore, isWhole: () => boolean): Promise<Caught> {
  const from = core.world.now();
  const sentBefore = core.sent().bytes;
  const reached = await core.until(LIMIT_MS, isWhole);
  const stateBytes = JSON.stringify(core.node('h1').controller?.ledger.controlState()).length;
  return {
    ms: reached ? Math.round(core.world.now() - from) : null,
    bytes: core.sent().bytes - sentBefore,
    stateBytes,
  };
}

/** A controller that is stopped while the others agree; timed from its start until it holds all. */
export async function controllerBehind(seed: number, lag: Lag, links = NARROW): Promise<Caught> {
  const core = await bootstrapped(seed, links);
  core.kill('h3');
  await addOrders(core, lag.orders);
  await addChanges(core, lag.changes);
  core.start('h3');
  function isWhole(): boolean {
    return slotAt(core, 'h3') >= slotAt(core, 'h1');
  }
  return timed(core, isWhole);
}

/** A proxy at the edge without a disk, told of nothing yet or cut off while the core agrees; timed until it serves with all of it. */
export async function proxyBehind(seed: number, lag: Lag, blank: boolean, links = NARROW): Promise<Caught> {
  const core = await bootstrapped(seed, links);
  const names = ['edge'];
  core.world.host('edge', EDGE_ZONE);
  core.rates.limitHost('edge', links.edgeBitsPerSecond);
  for (const node of core.nodes) core.world.setDelay(node.host.zone, EDGE_ZONE, links.regionMs);
  function begin(): Promise<Follower> {
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
  let follower = await begin();
  await core.world.advance(5_000);
  if (blank) core.world.kill(core.world.host('edge', EDGE_ZONE));
  else for (const node of THREE) cutBoth(core, node, names);
  await addOrders(core, lag.orders);
  await addChanges(core, lag.changes);
  const target = slotAt(core, 'h1');
  core.world.healAll();
  if (blank) follower = await begin();
  function isWhole(): boolean {
    return follower.controlState().slot >= target && follower.fresh() && !follower.partitioned();
  }
  return timed(core, isWhole);
}

function cutBoth(core: SimCore, node: string, others: readonly string[]): void {
  for (const other of others) {
    core.world.cut(node, other);
    core.world.cut(other, node);
  }
}
