/**
 * Scenarios of the controllers: lost leases, power losses, partitions, replaced disks, moved controllers and racing
 * operators.
 */
import { SMALL } from './shapes.js';
import { createInvariantChecker } from './invariant-checker.js';
import {
  amendLineLimit,
  readVersion,
  versionOf,
  hostNamesIn,
  expectServesAgain,
  outcomeShare,
  statusOf,
  unconfirmedProxies,
} from './scenario-context.js';
import type { ScenarioContext } from './scenario-context.js';

/** The controller that holds the scaler lease is killed. */
export async function holderLost(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  const holder = fleet.holder();
  const traffic = fleet.traffic({ zone: 'at-1', seconds: 15 });
  fleet.kill(fleet.controllers[holder]?.name ?? '');
  const from = fleet.world.now();
  function hasNewHolder(): boolean {
    return fleet.holder() >= 0;
  }
  const wasReplaced = await fleet.until(20_000, hasNewHolder);
  context.told.recoverMs = Math.round(fleet.world.now() - from);
  context.expect(
    'lease',
    wasReplaced && context.told.recoverMs < 12_000,
    `another holder after ${context.told.recoverMs} ms`,
  );
  const tally = await fleet.runUntilSettled(traffic, 60_000);
  context.told.facts['success share'] = outcomeShare(tally, 'success');
  context.expect('serves', outcomeShare(tally, 'success') === 1, JSON.stringify(tally));
}

/**
 * The holder of the scaler lease is frozen until the lease is taken over; after the thaw it must not write with its old
 * fence.
 */
export async function holderFrozen(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  const holder = fleet.holder();
  const oldHolder = fleet.controllers[holder];
  const oldFence = oldHolder?.controller?.ledger.controlState().leases['scaler']?.fence ?? -1;
  fleet.world.freeze(fleet.hostOf(oldHolder?.name ?? ''));
  await fleet.run(12_000);
  context.expect('lease', fleet.holder() >= 0, 'no other controller took over the scaler role');
  const before = fleet.controllers[(holder + 1) % 3]?.controller?.ledger.controlState().slot ?? 0;
  fleet.world.thaw(fleet.hostOf(oldHolder?.name ?? ''));
  await fleet.run(4_000);
  const batches = fleet.controllers[(holder + 1) % 3]?.controller?.ledger.since(before + 1) ?? [];
  let staleEntries = 0;
  for (const slotBatch of batches)
    for (const entry of slotBatch.batch.entries) if (entry.fence === oldFence) staleEntries += 1;
  context.told.facts['entries with the old fence'] = staleEntries;
  context.expect('fence', staleEntries === 0, `${staleEntries} entries have the old fence`);
  context.expect(
    'fence',
    oldHolder?.controller?.holdsScaler() === false,
    'the thawed controller still considers itself the holder',
  );
}

/** All controllers and proxies lose power at once. */
export async function allPowerLost(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  const traffic = fleet.traffic({ zone: 'hu-1', seconds: 6 });
  await fleet.run(3_000);
  const base = await readVersion(fleet, 0);
  const response = await amendLineLimit(fleet, 1, base, 77);
  const nodes = [...fleet.controllers, ...fleet.proxies];
  for (const node of nodes) fleet.powerLoss(node.name);
  await fleet.run(4_000);
  for (const node of nodes) void fleet.startNode(node.name);
  await expectServesAgain(context, 12_000, 'hu-1');
  await fleet.runUntilSettled(traffic, 200_000);
  for (let i = 0; i < 3; i += 1)
    context.expect(
      'readBack',
      (await readVersion(fleet, i)) === versionOf(response),
      `controller ${i + 1} reads another version`,
    );
}

/** One region loses power: the others serve, and a change waits only for its proxy. */
export async function regionLost(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  for (const name of hostNamesIn(fleet, 'ro-1')) if (!name.startsWith('caller')) fleet.powerLoss(name);
  await expectServesAgain(context, 12_000, 'at-1');
  const tally = await fleet.runUntilSettled(fleet.traffic({ zone: 'hu-1', seconds: 10 }), 60_000);
  context.told.facts['success share'] = outcomeShare(tally, 'success');
  context.expect('serves', outcomeShare(tally, 'success') > 0.99, JSON.stringify(tally));
  const base = await readVersion(fleet, 0);
  const response = await amendLineLimit(fleet, 0, base, 78);
  context.expect(
    'majority',
    statusOf(response) === 202 && unconfirmedProxies(response).join() === 'proxy-ro-1-1',
    `answered ${statusOf(response)} waiting for ${unconfirmedProxies(response).join()}`,
  );
  for (const name of hostNamesIn(fleet, 'ro-1')) if (!name.startsWith('caller')) void fleet.startNode(name);
  await fleet.run(8_000);
  context.expect(
    'noOlderVersion',
    fleet.proxies[2]?.proxy?.view().version === versionOf(response),
    'the region came back with an older version',
  );
}

/** One region is partitioned: it serves from its own workers, and only the majority can change the configuration. */
export async function regionIsolated(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  fleet.isolate([...hostNamesIn(fleet, 'hu-1'), 'caller-inside']);
  fleet.world.host('caller-inside', 'hu-1');
  await fleet.run(3_500);
  const insideTally = await fleet.runUntilSettled(
    fleet.traffic({ zone: 'hu-1', seconds: 8, runOnceShare: 0, name: 'caller-inside' }),
    60_000,
  );
  context.told.facts['success share inside'] = outcomeShare(insideTally, 'success');
  context.expect('partition', outcomeShare(insideTally, 'success') > 0.9, JSON.stringify(insideTally));
  context.expect(
    'partition',
    fleet.proxies[0]?.proxy?.view().partitioned === true,
    'the proxy does not know that it is partitioned',
  );
  const base = await readVersion(fleet, 1);
  const response = await amendLineLimit(fleet, 1, base, 79);
  context.expect('majority', statusOf(response) === 202, `the majority answered ${statusOf(response)}`);
  const isolatedResponse = await fleet.operator(0, 'GET', '/v1/configuration');
  context.expect(
    'majority',
    statusOf(isolatedResponse) === 503,
    `the controller alone answered ${statusOf(isolatedResponse)}`,
  );
  const from = fleet.world.now();
  fleet.world.healAll();
  function caughtUp(): boolean {
    return fleet.proxies[0]?.proxy?.view().version === versionOf(response);
  }
  context.expect('heals', await fleet.until(12_000, caughtUp), 'the proxy did not catch up');
  context.told.recoverMs = Math.round(fleet.world.now() - from);
}

/** Two links fail in one direction only. */
export async function oneWayLoss(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  fleet.world.cut('controller-1', 'controller-2');
  fleet.world.cut('proxy-hu-1-1', 'controller-3');
  const base = await readVersion(fleet, 1);
  const response = await amendLineLimit(fleet, 1, base, 80);
  context.expect(
    'majority',
    statusOf(response) === 200 || statusOf(response) === 202,
    `answered ${statusOf(response)}`,
  );
  const tally = await fleet.runUntilSettled(fleet.traffic({ zone: 'hu-1', seconds: 8 }), 60_000);
  context.told.facts['success share'] = outcomeShare(tally, 'success');
  context.expect('serves', outcomeShare(tally, 'success') > 0.95, JSON.stringify(tally));
}

/** A controller loses its disk: it rejoins with a new incarnation and counts towards the majority again. */
export async function diskLost(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  const simController = fleet.controllers[1];
  const oldIncarnation = simController?.controller?.ledger.self.incarnation;
  fleet.kill('controller-2');
  fleet.wipe('controller-2');
  await fleet.run(500);
  const from = fleet.world.now();
  void fleet.startNode('controller-2');
  function hasRejoined(): boolean {
    return simController?.controller?.ledger.isMember() === true && simController.controller.claimsReady();
  }
  context.expect('rejoin', await fleet.until(12_000, hasRejoined), 'it did not rejoin');
  context.told.recoverMs = Math.round(fleet.world.now() - from);
  context.expect(
    'incarnation',
    simController?.controller?.ledger.self.incarnation !== oldIncarnation,
    'it votes with its old incarnation',
  );
  fleet.kill('controller-3');
  const response = await amendLineLimit(fleet, 1, await readVersion(fleet, 1), 81);
  context.expect(
    'majority',
    statusOf(response) === 200,
    `with the repaired controller as half of the majority, answered ${statusOf(response)}`,
  );
}

/** All controllers move to new addresses, one after the other, and the seeds of later starts follow. */
export async function seedsSwapped(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  const traffic = fleet.traffic({ zone: 'ro-1', seconds: 24, perSecond: 4 });
  for (let i = 0; i < 3; i += 1) {
    const from = fleet.world.now();
    fleet.moveController(i);
    const simController = fleet.controllers[i];
    function hasMoved(): boolean {
      const controlState = simController?.controller?.ledger.controlState();
      if (!controlState) return false;
      for (const member of controlState.members)
        if (member.name === simController?.name) return member.address === simController.wire;
      return false;
    }
    context.expect(
      'moved',
      await fleet.until(12_000, hasMoved),
      `controller ${i + 1} did not come back at its new address`,
    );
    context.told.recoverMs = Math.max(context.told.recoverMs ?? 0, Math.round(fleet.world.now() - from));
    await fleet.run(2_500);
  }
  const tally = await fleet.runUntilSettled(traffic, 60_000);
  context.told.facts['success share'] = outcomeShare(tally, 'success');
  context.expect('serves', outcomeShare(tally, 'success') > 0.98, JSON.stringify(tally));
  const response = await amendLineLimit(fleet, 0, await readVersion(fleet, 0), 82);
  context.expect('majority', statusOf(response) === 200, `after all seeds moved, answered ${statusOf(response)}`);
}

/** Expects that each controller is a member again and knows the current address of every member. */
async function expectMembersAtCurrentAddresses(context: ScenarioContext, limitMs: number): Promise<void> {
  const { fleet } = context;
  const from = fleet.world.now();
  function areMembersAtCurrentAddresses(): boolean {
    for (const node of fleet.controllers) {
      const ledger = node.controller?.ledger;
      if (!ledger?.isMember() || !node.controller?.claimsReady()) return false;
      for (const member of ledger.controlState().members)
        for (const simController of fleet.controllers)
          if (simController.name === member.name && simController.wire !== member.address) return false;
    }
    return true;
  }
  context.expect(
    'rejoin',
    await fleet.until(limitMs, areMembersAtCurrentAddresses),
    'the controllers did not form one group',
  );
  context.told.recoverMs = Math.round(fleet.world.now() - from);
  const response = await amendLineLimit(fleet, 1, await readVersion(fleet, 1), 83);
  context.expect('majority', statusOf(response) === 200, `answered ${statusOf(response)}`);
}

/** A controller moves while another one is down and has lost its disk. */
export async function movedWhileOneLost(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  fleet.kill('controller-1');
  fleet.wipe('controller-1');
  await fleet.run(500);
  fleet.moveController(2);
  await fleet.run(3_000);
  void fleet.startNode('controller-1');
  await expectMembersAtCurrentAddresses(context, 12_000);
}

/** Two controllers move at once while the third is down. */
export async function twoMovedAtOnce(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  fleet.moveController(1);
  fleet.moveController(2);
  fleet.kill('controller-1');
  await fleet.run(4_000);
  void fleet.startNode('controller-1');
  await expectMembersAtCurrentAddresses(context, 12_000);
}

/** All nodes restart with seed addresses that no controller uses any more. */
export async function seedsStale(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  fleet.keepBootstrapSeeds();
  for (let i = 0; i < 3; i += 1) {
    fleet.moveController(i);
    await fleet.run(4_000);
  }
  const nodes = [...fleet.controllers, ...fleet.proxies];
  for (const node of nodes) fleet.kill(node.name);
  await fleet.run(1_000);
  for (const node of nodes) void fleet.startNode(node.name);
  const from = fleet.world.now();
  const recordCount = fleet.records.length;
  const tally = await fleet.runUntilSettled(
    fleet.traffic({ zone: 'ro-1', seconds: 12, runOnceShare: 1, maxRetries: 0 }),
    60_000,
  );
  let firstSuccessMs = -1;
  for (const record of fleet.records.slice(recordCount))
    if (firstSuccessMs < 0 && record['who'] === 'caller' && record['result'] === 'success')
      firstSuccessMs = (record['at'] as number) - from;
  context.told.recoverMs = Math.round(firstSuccessMs);
  context.expect(
    'serveAgain',
    firstSuccessMs >= 0 && firstSuccessMs < 12_000 && outcomeShare(tally, 'success') > 0.5,
    `card requests from ro-1: ${JSON.stringify(tally)}`,
  );
}

/** Three operators change the same base version at once: one wins, the others get a conflict. */
export async function operatorsRace(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  let totalWins = 0;
  for (let count = 0; count < 15; count += 1) {
    const base = await readVersion(fleet, 0);
    const results = await fleet.runUntilSettled(
      Promise.all([
        amendLineLimit(fleet, 0, base, 100 + count),
        amendLineLimit(fleet, 2, base, 200 + count),
        amendLineLimit(fleet, 1, base, 300 + count),
      ]),
      20_000,
    );
    const wonVersions: number[] = [];
    let conflictCount = 0;
    for (const result of results ?? []) {
      if (statusOf(result) === 200) wonVersions.push(versionOf(result));
      else if (statusOf(result) === 409) conflictCount += 1;
    }
    context.expect(
      'oneWinner',
      wonVersions.length === 1 && conflictCount === 2,
      `${wonVersions.length} won, ${conflictCount} got a conflict`,
    );
    totalWins += wonVersions.length;
    context.expect('oneWinner', (await readVersion(fleet, 1)) === wonVersions[0], 'the winner is not in force');
  }
  context.told.facts['races won'] = totalWins;
}

/** The acknowledgement of a change is lost: retries with the same operation id must not apply it again. */
export async function acknowledgementLost(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  const base = await readVersion(fleet, 0);
  const lostResponse = await fleet.call({
    method: 'POST',
    address: fleet.controllers[0]?.http ?? '',
    path: '/v1/configuration/amend',
    body: { base, changes: [{ path: ['deployment', 'lineLimit'], value: 90 }], operation: 'op-lost' },
    timeoutMs: 5,
  });
  context.expect('fault', !lostResponse.ok, 'the acknowledgement was not lost');
  await fleet.run(1_000);
  const retry = await amendLineLimit(fleet, 1, base, 90, 'op-lost');
  const secondRetry = await amendLineLimit(fleet, 2, base, 90, 'op-lost');
  context.expect(
    'sameApply',
    statusOf(retry) === 200 && versionOf(retry) === versionOf(secondRetry),
    `${statusOf(retry)} ${versionOf(retry)} and ${versionOf(secondRetry)}`,
  );
  context.expect('sameApply', (await readVersion(fleet, 0)) === versionOf(retry), 'applied twice');
}

/** A configuration with 5,000 mappings is replaced within 3 s, and a small change to it stays a small log entry. */
export async function largeConfiguration(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  const mappings: Record<string, unknown> = {};
  for (let i = 0; i < 5_000; i += 1) mappings[`route-${i}`] = { model: 'summary', kind: `kind-${i % 7}` };
  const newConfiguration = { ...(SMALL.configuration as object), mappings };
  const base = await readVersion(fleet, 0);
  const from = fleet.world.now();
  const response = await fleet.operator(0, 'POST', '/v1/configuration', { base, configuration: newConfiguration });
  context.expect(
    'inForce',
    statusOf(response) === 200 && fleet.world.now() - from < 3_000,
    `${statusOf(response)} after ${fleet.world.now() - from} ms`,
  );
  context.told.recoverMs = Math.round(fleet.world.now() - from);
  const secondResponse = await fleet.operator(1, 'POST', '/v1/configuration', {
    base: versionOf(response),
    configuration: { ...newConfiguration, mappings: { ...mappings, 'route-17': { model: 'summary' } } },
  });
  context.expect(
    'inForce',
    statusOf(secondResponse) === 200,
    `the second change was answered ${statusOf(secondResponse)}`,
  );
  const batches = fleet.controllers[0]?.controller?.ledger.since(versionOf(secondResponse)) ?? [];
  const bytes = JSON.stringify(batches[0] ?? '').length;
  context.told.facts['bytes of the difference'] = bytes;
  context.expect('difference', bytes < 2_000, `the log entry of the difference has ${bytes} bytes`);
}

/**
 * A change is agreed while one proxy is partitioned, frozen, killed or without power: the response names that proxy,
 * which applies the change within 8 s of its return.
 */
export async function acknowledgedInPart(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  const checker = createInvariantChecker(fleet);
  const simProxy = fleet.proxies[1];
  const name = simProxy?.name ?? '';
  const disturbances: readonly (readonly [string, () => void, () => void])[] = [
    ['partitioned', cut, fleet.world.healAll],
    ['frozen', freeze, thaw],
    ['killed', kill, start],
    ['without power', losePower, start],
  ];
  function cut(): void {
    fleet.isolate([name]);
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
  function losePower(): void {
    fleet.powerLoss(name);
  }
  function start(): void {
    void fleet.startNode(name);
  }
  const traffic = fleet.traffic({ zone: 'at-1', seconds: 70, perSecond: 6 });
  let value = 500;
  let slowestMs = 0;
  for (const [label, begin, end] of disturbances) {
    const base = await readVersion(fleet, 0);
    begin();
    value += 1;
    const response = await amendLineLimit(fleet, 0, base, value);
    context.expect(
      'inPart',
      statusOf(response) === 202 && unconfirmedProxies(response).join() === name,
      `${label}: answered ${statusOf(response)} waiting for ${unconfirmedProxies(response).join()}`,
    );
    checker.agreed(versionOf(response), value);
    await fleet.world.advance(6_000, checker.step);
    end();
    const from = fleet.world.now();
    function inForce(): boolean {
      const view = simProxy?.proxy?.view();
      return view !== undefined && view.serving && !view.partitioned && view.version >= versionOf(response);
    }
    context.expect(
      'inForce',
      await fleet.world.until(8_000, inForce, checker.step),
      `${label}: not in force 8 s after the proxy returned`,
    );
    slowestMs = Math.max(slowestMs, fleet.world.now() - from);
    const secondResponse = await amendLineLimit(fleet, 2, versionOf(response), value + 100);
    context.expect(
      'inForce',
      statusOf(secondResponse) === 200,
      `${label}: after the proxy returned, answered ${statusOf(secondResponse)}`,
    );
    checker.acknowledged(versionOf(secondResponse), value + 100);
    await fleet.world.advance(5_000, checker.step);
  }
  context.told.recoverMs = Math.round(slowestMs);
  await fleet.runUntilSettled(traffic, 200_000);
}
