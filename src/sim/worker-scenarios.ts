/**
 * Scenarios of workers and machines: evacuations, reclaimed machines, spot shortages, missing prices and missing
 * counts.
 */
import { SMALL } from './shapes.js';
import { createInvariantChecker } from './invariant-checker.js';
import { readVersion, reclaimAllMachines, outcomeShare, statusOf } from './scenario-context.js';
import type { ScenarioContext } from './scenario-context.js';

/** A zone is evacuated under load, then restored. */
export async function evacuation(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  const checker = createInvariantChecker(fleet);
  const traffic = fleet.traffic({ zone: 'hu-1', seconds: 25 });
  await fleet.run(2_000);
  const from = fleet.world.now();
  const response = await fleet.operator(1, 'POST', '/v1/zones/hu-1/evacuate', {});
  context.expect('acknowledged', statusOf(response) === 200, `answered ${statusOf(response)}`);
  checker.evacuated('hu-1');
  await fleet.run(12_000);
  let lastArrivalAt = from;
  for (const record of fleet.records)
    if (record['who'] === 'worker' && record['event'] === 'arrived' && record['zone'] === 'hu-1')
      lastArrivalAt = Math.max(lastArrivalAt, record['at'] as number);
  context.told.recoverMs = Math.round(lastArrivalAt - from);
  checker.restored('hu-1');
  context.expect(
    'acknowledged',
    statusOf(await fleet.operator(0, 'POST', '/v1/zones/hu-1/restore', {})) === 200,
    'the zone was not restored',
  );
  const tally = await fleet.runUntilSettled(traffic, 60_000);
  context.told.facts['success share'] = outcomeShare(tally, 'success');
  context.expect('serves', outcomeShare(tally, 'success') > 0.98, JSON.stringify(tally));
  await fleet.runUntilSettled(fleet.traffic({ zone: 'hu-1', seconds: 4, runOnceShare: 1 }), 30_000);
  let arrivals = 0;
  for (const record of fleet.records)
    if (record['event'] === 'arrived' && record['zone'] === 'hu-1' && (record['at'] as number) > from + 13_000)
      arrivals += 1;
  context.expect('handedBack', arrivals > 0, 'no request reached the zone after it was restored');
  checker.checkRecords();
}

/**
 * All machines are reclaimed while streams run: the truncated streams are reported as such, and the machines replaced.
 */
export async function reclaimedMidStream(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  const traffic = fleet.traffic({ zone: 'hu-1', seconds: 10, runOnceShare: 0, perSecond: 12 });
  await fleet.run(3_000);
  const isReplaced = await reclaimAllMachines(fleet, 150);
  const from = fleet.world.now();
  context.expect('replaced', await fleet.until(30_000, isReplaced), 'the machines were not replaced');
  context.told.recoverMs = Math.round(fleet.world.now() - from);
  const tally = await fleet.runUntilSettled(traffic, 200_000);
  context.told.facts['streams cut, told as such'] =
    (tally?.['stream cut'] ?? 0) + (tally?.['stream workerFailed'] ?? 0);
  context.expect('fault', Number(context.told.facts['streams cut, told as such']) > 0, 'no stream was running');
}

/** No zone has spot capacity for a while: on-demand machines take over, and are released when spot capacity returns. */
export async function spotDrought(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  for (const zone of Object.keys(SMALL.zones))
    await fleet.call({ method: 'POST', address: fleet.cloudAddress, path: '/lab/zone', body: { zone, spot: false } });
  await reclaimAllMachines(fleet, 500);
  const from = fleet.world.now();
  function readyCount(kind: string): number {
    let count = 0;
    for (const order of Object.values(fleet.controllers[0]?.controller?.ledger.controlState().orders ?? {}))
      if (order.kind === kind && order.status === 'ready') count += 1;
    return count;
  }
  function isCovered(): boolean {
    return readyCount('onDemand') === 2;
  }
  context.expect('fallback', await fleet.until(20_000, isCovered), `${readyCount('onDemand')} fallback workers`);
  context.told.recoverMs = Math.round(fleet.world.now() - from);
  await fleet.run(500);
  const tally = await fleet.runUntilSettled(fleet.traffic({ zone: 'hu-1', seconds: 8, runOnceShare: 0 }), 60_000);
  context.told.facts['success share'] = outcomeShare(tally, 'success');
  context.expect('serves', outcomeShare(tally, 'success') > 0.98, JSON.stringify(tally));
  for (const zone of Object.keys(SMALL.zones))
    await fleet.call({ method: 'POST', address: fleet.cloudAddress, path: '/lab/zone', body: { zone, spot: true } });
  function isBackOnSpot(): boolean {
    return readyCount('spot') === 3 && readyCount('onDemand') === 0;
  }
  context.expect(
    'released',
    await fleet.until(150_000, isBackOnSpot),
    `${readyCount('spot')} spot, ${readyCount('onDemand')} fallback`,
  );
}

/**
 * The price service is down, and the next holder of the scaler lease has to replace machines without ever having read a
 * price.
 */
export async function pricesDown(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  await fleet.call({ method: 'POST', address: fleet.cloudAddress, path: '/lab/prices-down', body: { down: true } });
  await fleet.run(32_000);
  const holder = fleet.holder();
  fleet.kill(fleet.controllers[holder]?.name ?? '');
  const isReplaced = await reclaimAllMachines(fleet, 300);
  const from = fleet.world.now();
  context.expect('replaced', await fleet.until(60_000, isReplaced), 'a holder without any prices ordered no machines');
  context.told.recoverMs = Math.round(fleet.world.now() - from);
}

/** While the counts of one proxy are missing, the scaler does not scale in; once they are complete, it does. */
export async function countsMissing(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  const base = await readVersion(fleet, 0);
  const response = await fleet.operator(0, 'POST', '/v1/configuration/amend', {
    base,
    changes: [
      { path: ['deployment', 'holdS'], value: 5 },
      { path: ['deployment', 'windowS'], value: 5 },
      { path: ['regions', 'hungary', 'models', 'summary', 'minTarget'], value: 1 },
    ],
  });
  context.expect('acknowledged', statusOf(response) === 200, `answered ${statusOf(response)}`);
  function target(): number {
    return fleet.controllers[0]?.controller?.ledger.controlState().targets['summary'] ?? -1;
  }
  fleet.kill('proxy-ro-1-1');
  await fleet.run(25_000);
  context.expect(
    'noScaleIn',
    target() === 2,
    `with the counts of one proxy missing, the target changed to ${target()}`,
  );
  void fleet.startNode('proxy-ro-1-1');
  const from = fleet.world.now();
  function hasScaledIn(): boolean {
    return target() === 1;
  }
  context.expect('scaleIn', await fleet.until(40_000, hasScaledIn), 'it did not scale in after all counts had arrived');
  context.told.recoverMs = Math.round(fleet.world.now() - from);
}

/** One proxy cannot reach the platform; it has to learn from the controllers that a worker drains. */
export async function platformUnseen(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  const proxyName = fleet.proxies[0]?.name ?? '';
  fleet.world.cut(proxyName, 'platform');
  const traffic = fleet.traffic({
    zone: 'hu-1',
    seconds: 10,
    runOnceShare: 0,
    streamModels: ['card-gateway'],
    perSecond: 10,
    outputTokens: 16,
  });
  await fleet.run(1_500);
  const from = fleet.world.now();
  const response = await fleet.call({
    method: 'POST',
    address: fleet.platformAddress,
    path: '/lab/workers/gateway-hu-1-1/drain',
    body: { remainingMs: 9_000 },
  });
  context.expect('fault', statusOf(response) === 200, `answered ${statusOf(response)}`);
  const tally = await fleet.runUntilSettled(traffic, 60_000);
  let lastArrivalAt = from;
  for (const record of fleet.records)
    if (record['event'] === 'arrived' && record['worker'] === 'gateway-hu-1-1')
      lastArrivalAt = Math.max(lastArrivalAt, record['at'] as number);
  context.told.recoverMs = Math.round(lastArrivalAt - from);
  context.told.facts['success share'] = outcomeShare(tally, 'success');
  context.expect('serves', outcomeShare(tally, 'success') > 0.98, JSON.stringify(tally));
}
