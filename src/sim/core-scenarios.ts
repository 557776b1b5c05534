import { SMALL } from './shapes.js';
import { createWatchers } from './watchers.js';
import { amend, versionAt, versionOf, namesIn, servesAgain, share, statusOf, waitingOf } from './stage.js';
import type { Stage } from './stage.js';

export async function holderLost(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const was = fleet.holder();
  const busy = fleet.traffic({ zone: 'at-1', seconds: 15 });
  fleet.kill(fleet.controllers[was]?.name ?? '');
  const from = fleet.world.now();
  function another(): boolean {
    return fleet.holder() >= 0;
  }
  const got = await fleet.until(20_000, another);
  stage.told.recoverMs = Math.round(fleet.world.now() - from);
  stage.expect('lease', got && stage.told.recoverMs < 12_000, `another holder after ${stage.told.recoverMs} ms`);
  const t = await fleet.finish(busy, 60_000);
  stage.told.facts['success share'] = share(t, 'success');
  stage.expect('serves', share(t, 'success') === 1, JSON.stringify(t));
}

export async function holderFrozen(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const was = fleet.holder();
  const old = fleet.controllers[was];
  const oldFence = old?.controller?.ledger.controlState().leases['scaler']?.fence ?? -1;
  fleet.world.freeze(fleet.hostOf(old?.name ?? ''));
  await fleet.run(12_000);
  stage.expect('lease', fleet.holder() >= 0, 'no other took the duty');
  const before = fleet.controllers[(was + 1) % 3]?.controller?.ledger.controlState().slot ?? 0;
  fleet.world.thaw(fleet.hostOf(old?.name ?? ''));
  await fleet.run(4_000);
  const batches = fleet.controllers[(was + 1) % 3]?.controller?.ledger.since(before + 1) ?? [];
  let late = 0;
  for (const second of batches) for (const event of second.batch.entries) if (event.fence === oldFence) late += 1;
  stage.told.facts['entries with the old fence'] = late;
  stage.expect('fence', late === 0, `${late} entries came with the old fence`);
  stage.expect('fence', old?.controller?.holdsScaler() === false, 'the woken one still believes');
}

export async function allPowerLost(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const busy = fleet.traffic({ zone: 'hu-1', seconds: 6 });
  await fleet.run(3_000);
  const base = await versionAt(fleet, 0);
  const done = await amend(fleet, 1, base, 77);
  const nodes = [...fleet.controllers, ...fleet.proxies];
  for (const n of nodes) fleet.powerLoss(n.name);
  await fleet.run(4_000);
  for (const n of nodes) void fleet.startNode(n.name);
  await servesAgain(stage, 12_000, 'hu-1');
  await fleet.finish(busy, 200_000);
  for (let i = 0; i < 3; i += 1)
    stage.expect(
      'readBack',
      (await versionAt(fleet, i)) === versionOf(done),
      `controller ${i + 1} reads another version`,
    );
}

export async function regionLost(stage: Stage): Promise<void> {
  const { fleet } = stage;
  for (const name of namesIn(fleet, 'ro-1')) if (!name.startsWith('caller')) fleet.powerLoss(name);
  await servesAgain(stage, 12_000, 'at-1');
  const t = await fleet.finish(fleet.traffic({ zone: 'hu-1', seconds: 10 }), 60_000);
  stage.told.facts['success share'] = share(t, 'success');
  stage.expect('serves', share(t, 'success') > 0.99, JSON.stringify(t));
  const base = await versionAt(fleet, 0);
  const got = await amend(fleet, 0, base, 78);
  stage.expect(
    'majority',
    statusOf(got) === 202 && waitingOf(got).join() === 'proxy-ro-1-1',
    `answered ${statusOf(got)} waiting for ${waitingOf(got).join()}`,
  );
  for (const name of namesIn(fleet, 'ro-1')) if (!name.startsWith('caller')) void fleet.startNode(name);
  await fleet.run(8_000);
  stage.expect(
    'noOlderVersion',
    fleet.proxies[2]?.proxy?.view().version === versionOf(got),
    'the region came back with an older version',
  );
}

export async function regionIsolated(stage: Stage): Promise<void> {
  const { fleet } = stage;
  fleet.cutOff([...namesIn(fleet, 'hu-1'), 'caller-inside']);
  fleet.world.host('caller-inside', 'hu-1');
  await fleet.run(3_500);
  const inside = await fleet.finish(
    fleet.traffic({ zone: 'hu-1', seconds: 8, runOnceShare: 0, name: 'caller-inside' }),
    60_000,
  );
  stage.told.facts['success share inside'] = share(inside, 'success');
  stage.expect('partition', share(inside, 'success') > 0.9, JSON.stringify(inside));
  stage.expect(
    'partition',
    fleet.proxies[0]?.proxy?.view().partitioned === true,
    'the proxy does not know that it is partitioned',
  );
  const base = await versionAt(fleet, 1);
  const got = await amend(fleet, 1, base, 79);
  stage.expect('majority', statusOf(got) === 202, `the majority answered ${statusOf(got)}`);
  const alone = await fleet.operator(0, 'GET', '/v1/configuration');
  stage.expect('majority', statusOf(alone) === 503, `the controller alone answered ${statusOf(alone)}`);
  const from = fleet.world.now();
  fleet.world.healAll();
  function caughtUp(): boolean {
    return fleet.proxies[0]?.proxy?.view().version === versionOf(got);
  }
  stage.expect('heals', await fleet.until(12_000, caughtUp), 'the proxy stayed behind');
  stage.told.recoverMs = Math.round(fleet.world.now() - from);
}

export async function oneWayLoss(stage: Stage): Promise<void> {
  const { fleet } = stage;
  fleet.world.cut('controller-1', 'controller-2');
  fleet.world.cut('proxy-hu-1-1', 'controller-3');
  const base = await versionAt(fleet, 1);
  const got = await amend(fleet, 1, base, 80);
  stage.expect('majority', statusOf(got) === 200 || statusOf(got) === 202, `answered ${statusOf(got)}`);
  const t = await fleet.finish(fleet.traffic({ zone: 'hu-1', seconds: 8 }), 60_000);
  stage.told.facts['success share'] = share(t, 'success');
  stage.expect('serves', share(t, 'success') > 0.95, JSON.stringify(t));
}

export async function diskLost(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const h = fleet.controllers[1];
  const was = h?.controller?.ledger.self.incarnation;
  fleet.kill('controller-2');
  fleet.wipe('controller-2');
  await fleet.run(500);
  const from = fleet.world.now();
  void fleet.startNode('controller-2');
  function whole(): boolean {
    return h?.controller?.ledger.isMember() === true && h.controller.claimsReady();
  }
  stage.expect('rejoin', await fleet.until(12_000, whole), 'it did not rejoin');
  stage.told.recoverMs = Math.round(fleet.world.now() - from);
  stage.expect('incarnation', h?.controller?.ledger.self.incarnation !== was, 'it votes as its old self');
  fleet.kill('controller-3');
  const got = await amend(fleet, 1, await versionAt(fleet, 1), 81);
  stage.expect('majority', statusOf(got) === 200, `with the repaired one as half of the majority: ${statusOf(got)}`);
}

export async function seedsSwapped(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const busy = fleet.traffic({ zone: 'ro-1', seconds: 24, perSecond: 4 });
  for (let i = 0; i < 3; i += 1) {
    const from = fleet.world.now();
    fleet.moveController(i);
    const h = fleet.controllers[i];
    function arrived(): boolean {
      const second = h?.controller?.ledger.controlState();
      if (!second) return false;
      for (const member of second.members) if (member.name === h?.name) return member.address === h.wire;
      return false;
    }
    stage.expect(
      'moved',
      await fleet.until(12_000, arrived),
      `controller ${i + 1} did not come back at its new address`,
    );
    stage.told.recoverMs = Math.max(stage.told.recoverMs ?? 0, Math.round(fleet.world.now() - from));
    await fleet.run(2_500);
  }
  const t = await fleet.finish(busy, 60_000);
  stage.told.facts['success share'] = share(t, 'success');
  stage.expect('serves', share(t, 'success') > 0.98, JSON.stringify(t));
  const got = await amend(fleet, 0, await versionAt(fleet, 0), 82);
  stage.expect('majority', statusOf(got) === 200, `after all seeds moved: ${statusOf(got)}`);
}

async function allMembersAtHome(stage: Stage, limitMs: number): Promise<void> {
  const { fleet } = stage;
  const from = fleet.world.now();
  function atHome(): boolean {
    for (const node of fleet.controllers) {
      const ledger = node.controller?.ledger;
      if (!ledger?.isMember() || !node.controller?.claimsReady()) return false;
      for (const member of ledger.controlState().members)
        for (const target of fleet.controllers)
          if (target.name === member.name && target.wire !== member.address) return false;
    }
    return true;
  }
  stage.expect('rejoin', await fleet.until(limitMs, atHome), 'the core did not come together');
  stage.told.recoverMs = Math.round(fleet.world.now() - from);
  const got = await amend(fleet, 1, await versionAt(fleet, 1), 83);
  stage.expect('majority', statusOf(got) === 200, `answered ${statusOf(got)}`);
}

export async function movedWhileOneLost(stage: Stage): Promise<void> {
  const { fleet } = stage;
  fleet.kill('controller-1');
  fleet.wipe('controller-1');
  await fleet.run(500);
  fleet.moveController(2);
  await fleet.run(3_000);
  void fleet.startNode('controller-1');
  await allMembersAtHome(stage, 12_000);
}

export async function twoMovedAtOnce(stage: Stage): Promise<void> {
  const { fleet } = stage;
  fleet.moveController(1);
  fleet.moveController(2);
  fleet.kill('controller-1');
  await fleet.run(4_000);
  void fleet.startNode('controller-1');
  await allMembersAtHome(stage, 12_000);
}

export async function seedsStale(stage: Stage): Promise<void> {
  const { fleet } = stage;
  fleet.keepOldSeeds();
  for (let i = 0; i < 3; i += 1) {
    fleet.moveController(i);
    await fleet.run(4_000);
  }
  const nodes = [...fleet.controllers, ...fleet.proxies];
  for (const n of nodes) fleet.kill(n.name);
  await fleet.run(1_000);
  for (const n of nodes) void fleet.startNode(n.name);
  const from = fleet.world.now();
  const mark = fleet.records.length;
  const t = await fleet.finish(fleet.traffic({ zone: 'ro-1', seconds: 12, runOnceShare: 1, maxRetries: 0 }), 60_000);
  let first = -1;
  for (const r of fleet.records.slice(mark))
    if (first < 0 && r['who'] === 'caller' && r['result'] === 'success') first = (r['at'] as number) - from;
  stage.told.recoverMs = Math.round(first);
  stage.expect(
    'serveAgain',
    first >= 0 && first < 12_000 && share(t, 'success') > 0.5,
    `card requests from ro-1: ${JSON.stringify(t)}`,
  );
}

export async function operatorsRace(stage: Stage): Promise<void> {
  const { fleet } = stage;
  let wins = 0;
  for (let count = 0; count < 15; count += 1) {
    const base = await versionAt(fleet, 0);
    const both = await fleet.finish(
      Promise.all([
        amend(fleet, 0, base, 100 + count),
        amend(fleet, 2, base, 200 + count),
        amend(fleet, 1, base, 300 + count),
      ]),
      20_000,
    );
    const won: number[] = [];
    let told = 0;
    for (const result of both ?? []) {
      if (statusOf(result) === 200) won.push(versionOf(result));
      else if (statusOf(result) === 409) told += 1;
    }
    stage.expect('oneWinner', won.length === 1 && told === 2, `${won.length} won, ${told} were told so`);
    wins += won.length;
    stage.expect('oneWinner', (await versionAt(fleet, 1)) === won[0], 'the winner is not in force');
  }
  stage.told.facts['races won'] = wins;
}

export async function acknowledgementLost(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const base = await versionAt(fleet, 0);
  const first = await fleet.call({
    method: 'POST',
    address: fleet.controllers[0]?.http ?? '',
    path: '/v1/configuration/amend',
    body: { base, changes: [{ path: ['deployment', 'lineLimit'], value: 90 }], operation: 'op-lost' },
    timeoutMs: 5,
  });
  stage.expect('fault', !first.ok, 'the acknowledgement was not lost');
  await fleet.run(1_000);
  const again = await amend(fleet, 1, base, 90, 'op-lost');
  const third = await amend(fleet, 2, base, 90, 'op-lost');
  stage.expect(
    'sameApply',
    statusOf(again) === 200 && versionOf(again) === versionOf(third),
    `${statusOf(again)} ${versionOf(again)} and ${versionOf(third)}`,
  );
  stage.expect('sameApply', (await versionAt(fleet, 0)) === versionOf(again), 'applied twice');
}

export async function largeConfiguration(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const mappings: Record<string, unknown> = {};
  for (let i = 0; i < 5_000; i += 1) mappings[`route-${i}`] = { model: 'summary', kind: `kind-${i % 7}` };
  const whole = { ...(SMALL.configuration as object), mappings };
  const base = await versionAt(fleet, 0);
  const from = fleet.world.now();
  const got = await fleet.operator(0, 'POST', '/v1/configuration', { base, configuration: whole });
  stage.expect(
    'inForce',
    statusOf(got) === 200 && fleet.world.now() - from < 3_000,
    `${statusOf(got)} after ${fleet.world.now() - from} ms`,
  );
  stage.told.recoverMs = Math.round(fleet.world.now() - from);
  const again = await fleet.operator(1, 'POST', '/v1/configuration', {
    base: versionOf(got),
    configuration: { ...whole, mappings: { ...mappings, 'route-17': { model: 'summary' } } },
  });
  stage.expect('inForce', statusOf(again) === 200, `the second answered ${statusOf(again)}`);
  const batches = fleet.controllers[0]?.controller?.ledger.since(versionOf(again)) ?? [];
  const size = JSON.stringify(batches[0] ?? '').length;
  stage.told.facts['bytes of the difference'] = size;
  stage.expect('difference', size < 2_000, `the difference takes ${size} bytes`);
}

export async function acknowledgedInPart(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const watchers = createWatchers(fleet);
  const edge = fleet.proxies[1];
  const name = edge?.name ?? '';
  const states: readonly (readonly [string, () => void, () => void])[] = [
    ['cut off', cut, fleet.world.healAll],
    ['frozen', freeze, thaw],
    ['killed', kill, start],
    ['powerless', power, start],
  ];
  function cut(): void {
    fleet.cutOff([name]);
  }
  function freeze(): void {
    fleet.world.freeze(fleet.hostOf(name));
  }
  function thaw(): void {
    fleet.world.thaw(fleet.hostOf(name));
  }
  function kill(): void {
    fleet.kill(name);
  }
  function power(): void {
    fleet.powerLoss(name);
  }
  function start(): void {
    void fleet.startNode(name);
  }
  const busy = fleet.traffic({ zone: 'at-1', seconds: 70, perSecond: 6 });
  let value = 500;
  let slowest = 0;
  for (const [what, begin, end] of states) {
    const base = await versionAt(fleet, 0);
    begin();
    value += 1;
    const got = await amend(fleet, 0, base, value);
    stage.expect(
      'inPart',
      statusOf(got) === 202 && waitingOf(got).join() === name,
      `${what}: answered ${statusOf(got)} waiting for ${waitingOf(got).join()}`,
    );
    watchers.agreed(versionOf(got), value);
    await fleet.world.advance(6_000, watchers.step);
    end();
    const from = fleet.world.now();
    function inForce(): boolean {
      const value = edge?.proxy?.view();
      return value !== undefined && value.serving && !value.partitioned && value.version >= versionOf(got);
    }
    stage.expect(
      'inForce',
      await fleet.world.until(8_000, inForce, watchers.step),
      `${what}: not in force 8 s after it was back`,
    );
    slowest = Math.max(slowest, fleet.world.now() - from);
    const whole = await amend(fleet, 2, versionOf(got), value + 100);
    stage.expect('inForce', statusOf(whole) === 200, `${what}: once it is back, answered ${statusOf(whole)}`);
    watchers.acknowledged(versionOf(whole), value + 100);
    await fleet.world.advance(5_000, watchers.step);
  }
  stage.told.recoverMs = Math.round(slowest);
  await fleet.finish(busy, 200_000);
}
