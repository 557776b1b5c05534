import { SMALL } from './shapes.js';
import { createWatchers } from './watchers.js';
import { versionAt, reclaimAll, share, statusOf } from './stage.js';
import type { Stage } from './stage.js';

export async function evacuation(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const watchers = createWatchers(fleet);
  const busy = fleet.traffic({ zone: 'hu-1', seconds: 25 });
  await fleet.run(2_000);
  const from = fleet.world.now();
  const got = await fleet.operator(1, 'POST', '/v1/zones/hu-1/evacuate', {});
  stage.expect('acknowledged', statusOf(got) === 200, `answered ${statusOf(got)}`);
  watchers.evacuated('hu-1');
  await fleet.run(12_000);
  let last = from;
  for (const r of fleet.records)
    if (r['who'] === 'worker' && r['event'] === 'arrived' && r['zone'] === 'hu-1')
      last = Math.max(last, r['at'] as number);
  stage.told.recoverMs = Math.round(last - from);
  watchers.restored('hu-1');
  stage.expect(
    'acknowledged',
    statusOf(await fleet.operator(0, 'POST', '/v1/zones/hu-1/restore', {})) === 200,
    'not handed back',
  );
  const t = await fleet.finish(busy, 60_000);
  stage.told.facts['success share'] = share(t, 'success');
  stage.expect('serves', share(t, 'success') > 0.98, JSON.stringify(t));
  await fleet.finish(fleet.traffic({ zone: 'hu-1', seconds: 4, runOnceShare: 1 }), 30_000);
  let back = 0;
  for (const r of fleet.records)
    if (r['event'] === 'arrived' && r['zone'] === 'hu-1' && (r['at'] as number) > from + 13_000) back += 1;
  stage.expect('handedBack', back > 0, 'nothing came back to the zone');
  watchers.end();
}

export async function reclaimedMidStream(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const busy = fleet.traffic({ zone: 'hu-1', seconds: 10, runOnceShare: 0, perSecond: 12 });
  await fleet.run(3_000);
  const replaced = await reclaimAll(fleet, 150);
  const from = fleet.world.now();
  stage.expect('replaced', await fleet.until(30_000, replaced), 'no workers came back');
  stage.told.recoverMs = Math.round(fleet.world.now() - from);
  const t = await fleet.finish(busy, 200_000);
  stage.told.facts['streams cut, told as such'] = (t?.['stream cut'] ?? 0) + (t?.['stream workerFailed'] ?? 0);
  stage.expect('fault', Number(stage.told.facts['streams cut, told as such']) > 0, 'no stream was running');
}

export async function spotDrought(stage: Stage): Promise<void> {
  const { fleet } = stage;
  for (const zone of Object.keys(SMALL.zones))
    await fleet.call({ method: 'POST', address: fleet.cloudAddress, path: '/lab/zone', body: { zone, spot: false } });
  await reclaimAll(fleet, 500);
  const from = fleet.world.now();
  function ready(kind: string): number {
    let count = 0;
    for (const order of Object.values(fleet.controllers[0]?.controller?.ledger.controlState().orders ?? {}))
      if (order.kind === kind && order.status === 'ready') count += 1;
    return count;
  }
  function covered(): boolean {
    return ready('onDemand') === 2;
  }
  stage.expect('fallback', await fleet.until(20_000, covered), `${ready('onDemand')} fallback workers`);
  stage.told.recoverMs = Math.round(fleet.world.now() - from);
  await fleet.run(500);
  const t = await fleet.finish(fleet.traffic({ zone: 'hu-1', seconds: 8, runOnceShare: 0 }), 60_000);
  stage.told.facts['success share'] = share(t, 'success');
  stage.expect('serves', share(t, 'success') > 0.98, JSON.stringify(t));
  for (const zone of Object.keys(SMALL.zones))
    await fleet.call({ method: 'POST', address: fleet.cloudAddress, path: '/lab/zone', body: { zone, spot: true } });
  function back(): boolean {
    return ready('spot') === 3 && ready('onDemand') === 0;
  }
  stage.expect('released', await fleet.until(150_000, back), `${ready('spot')} spot, ${ready('onDemand')} fallback`);
}

export async function pricesDown(stage: Stage): Promise<void> {
  const { fleet } = stage;
  await fleet.call({ method: 'POST', address: fleet.cloudAddress, path: '/lab/prices-down', body: { down: true } });
  await fleet.run(32_000);
  const was = fleet.holder();
  fleet.kill(fleet.controllers[was]?.name ?? '');
  const replaced = await reclaimAll(fleet, 300);
  const from = fleet.world.now();
  stage.expect('replaced', await fleet.until(60_000, replaced), 'a holder that never saw a price ordered nothing');
  stage.told.recoverMs = Math.round(fleet.world.now() - from);
}

export async function countsMissing(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const base = await versionAt(fleet, 0);
  const set = await fleet.operator(0, 'POST', '/v1/configuration/amend', {
    base,
    changes: [
      { path: ['deployment', 'holdS'], value: 5 },
      { path: ['deployment', 'windowS'], value: 5 },
      { path: ['regions', 'hungary', 'models', 'summary', 'minTarget'], value: 1 },
    ],
  });
  stage.expect('acknowledged', statusOf(set) === 200, `answered ${statusOf(set)}`);
  function target(): number {
    return fleet.controllers[0]?.controller?.ledger.controlState().targets['summary'] ?? -1;
  }
  fleet.kill('proxy-ro-1-1');
  await fleet.run(25_000);
  stage.expect('noScaleIn', target() === 2, `with a proxy unheard the target went to ${target()}`);
  void fleet.startNode('proxy-ro-1-1');
  const from = fleet.world.now();
  function scaledIn(): boolean {
    return target() === 1;
  }
  stage.expect('scaleIn', await fleet.until(40_000, scaledIn), 'with all counts heard it never scaled in');
  stage.told.recoverMs = Math.round(fleet.world.now() - from);
}

export async function platformUnseen(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const blind = fleet.proxies[0]?.name ?? '';
  fleet.world.cut(blind, 'platform');
  const busy = fleet.traffic({
    zone: 'hu-1',
    seconds: 10,
    runOnceShare: 0,
    streamModels: ['card-gateway'],
    perSecond: 10,
    outputTokens: 16,
  });
  await fleet.run(1_500);
  const from = fleet.world.now();
  const drained = await fleet.call({
    method: 'POST',
    address: fleet.platformAddress,
    path: '/lab/workers/gateway-hu-1-1/drain',
    body: { remainingMs: 9_000 },
  });
  stage.expect('fault', statusOf(drained) === 200, `answered ${statusOf(drained)}`);
  const t = await fleet.finish(busy, 60_000);
  let last = from;
  for (const r of fleet.records)
    if (r['event'] === 'arrived' && r['worker'] === 'gateway-hu-1-1') last = Math.max(last, r['at'] as number);
  stage.told.recoverMs = Math.round(last - from);
  stage.told.facts['success share'] = share(t, 'success');
  stage.expect('serves', share(t, 'success') > 0.98, JSON.stringify(t));
}
