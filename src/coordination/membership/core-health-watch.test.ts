import { describe, expect, test } from '@jest/globals';
import type { CoreHealthReport } from './core-health-watch.js';
import { createSimCore } from '../../sim/sim-core.js';
import type { SimCoreOptions, SimCore } from '../../sim/sim-core.js';
import { createQuietLog } from '../../transport/log.js';
import { createEvents } from '../../base/events.js';
import { createWorld } from '../../sim/world.js';
import type { World } from '../../sim/world.js';
import { emptyControlState, memberId } from '../../state/consensus/control-state.js';
import type { Member } from '../../state/consensus/entry.js';
import type { Peers } from '../messaging/peers.js';
import { createCoreHealthWatch } from './core-health-watch.js';
import type { CoreHealthWatch } from './core-health-watch.js';
import type { LedgerEvents } from '../consensus/ledger.js';
import { createSimFleet } from '../../sim/sim-fleet.js';
import type { SimFleet } from '../../sim/sim-fleet.js';
import { formatFields } from '../../transport/log-line.js';
import type { Log, LogRoot } from '../../transport/log.js';
import type { HttpClient } from '../../transport/http.js';

const SEEDS = [1, 2, 3, 4];
const THREE = ['h1', 'h2', 'h3'];
const FIVE = ['h1', 'h2', 'h3', 'h4', 'h5'];
/** Time after which every controller reports a change: the maximum age of a response, and a check interval. */
const EVALUATION_MS = 2_200;

type TestSetup = { readonly core: SimCore; readonly httpClient: HttpClient; readonly lines: string[] };

function createCollectingLog(lines: string[]): LogRoot {
  function createComponentLog(name: string): Log {
    const collect =
      (level: string): Log['info'] =>
      (event, fields) =>
        void (name === 'core' && lines.push(`${level} ${event} ${formatFields(fields ?? {})}`));
    return { info: collect('info'), warn: collect('warn'), error: collect('error') };
  }
  return { component: createComponentLog };
}

async function createBootstrappedCore(
  seed: number,
  names: readonly string[],
  shape: Partial<SimCoreOptions> = {},
): Promise<TestSetup> {
  const lines: string[] = [];
  const core = createSimCore(
    seed,
    { controllers: names.length, seeds: 3, regionMs: 35, operatorHttpServer: true, ...shape },
    createCollectingLog(lines),
  );
  core.startAll();
  expect(await core.until(8_000, () => core.whole(names))).toBe(true);
  await core.world.advance(4_000);
  return { core, httpClient: core.lab('operator').httpClient, lines };
}

async function get(
  setup: TestSetup,
  name: string,
  path: string,
): Promise<{ readonly status: number; readonly body: unknown }> {
  const response = await setup.core.runUntilSettled(
    setup.httpClient.call({ method: 'GET', address: `${setup.core.node(name).wire}0`, path, timeoutMs: 3_000 }),
    4_000,
  );
  if (!response?.ok) throw new Error(`${name} does not respond to GET ${path}`);
  return response.value;
}
async function readHealth(setup: TestSetup, name: string): Promise<CoreHealthReport> {
  return ((await get(setup, name, '/v1/status')).body as { readonly core: CoreHealthReport }).core;
}
async function readFigures(setup: TestSetup, name: string): Promise<unknown[]> {
  const { ledger } = await readHealth(setup, name);
  return [ledger.members, ledger.inTouch, ledger.holdingAll, ledger.spareLosses, ledger.warning];
}
async function expectFigures(setup: TestSetup, names: readonly string[], expected: readonly unknown[]): Promise<void> {
  for (const name of names) expect([name, await readFigures(setup, name)]).toEqual([name, expected]);
}

describe('the number of tolerated losses that each controller reports', () => {
  test.each(SEEDS)(
    'three healthy: one; one dead: none, with a warning; restarted: one again (seed %i)',
    async (seed) => {
      const setup = await createBootstrappedCore(seed, THREE);
      await expectFigures(setup, THREE, [3, 3, 3, 1, null]);
      setup.core.kill('h2');
      await setup.core.world.advance(EVALUATION_MS);
      await expectFigures(setup, ['h1', 'h3'], [3, 2, 2, 0, 'noSpareLoss']);
      expect((await readHealth(setup, 'h1')).ledger.details.map((d) => [d.name, d.lack, d.essential])).toEqual([
        ['h1', null, true],
        ['h2', 'silent', false],
        ['h3', null, true],
      ]);
      setup.core.start('h2');
      await setup.core.world.advance(6_000);
      await expectFigures(setup, THREE, [3, 3, 3, 1, null]);
    },
  );

  test.each(SEEDS)(
    'the report is right: with one spare loss any member may be lost, with none the next loss stops the core (seed %i)',
    async (seed) => {
      const setup = await createBootstrappedCore(seed, THREE);
      const lost = THREE[seed % 3] as string;
      const [first, second] = THREE.filter((n) => n !== lost) as [string, string];
      setup.core.powerLoss(lost);
      expect((await setup.core.order(first, 'a')).result?.ok).toBe(true);
      await setup.core.world.advance(EVALUATION_MS);
      expect((await readHealth(setup, first)).ledger.spareLosses).toBe(0);
      setup.core.powerLoss(second);
      expect((await setup.core.order(first, 'b')).result?.ok).toBe(false);
    },
  );

  test.each(SEEDS)(
    'five: two; one dead: one; two dead: none; the reported number never exceeds the real one (seed %i)',
    async (seed) => {
      const setup = await createBootstrappedCore(seed, FIVE);
      await expectFigures(setup, FIVE, [5, 5, 5, 2, null]);
      setup.core.kill('h4');
      await setup.core.world.advance(EVALUATION_MS);
      await expectFigures(setup, ['h1', 'h2', 'h3', 'h5'], [5, 4, 4, 1, null]);
      setup.core.kill('h5');
      await setup.core.world.advance(EVALUATION_MS);
      await expectFigures(setup, THREE, [5, 3, 3, 0, 'noSpareLoss']);
    },
  );

  test.each(SEEDS)(
    'a member that does not keep up with the ledger is in contact but does not count (seed %i)',
    async (seed) => {
      const setup = await createBootstrappedCore(seed, THREE);
      const platter = setup.core.node('h3').platter;
      platter.failing = true;
      for (let n = 0; n < 6; n += 1) {
        expect((await setup.core.order('h1', `z${n}`)).result?.ok).toBe(true);
        await setup.core.world.advance(1_000);
      }
      await expectFigures(setup, ['h1', 'h2'], [3, 3, 2, 0, 'noSpareLoss']);
      expect((await readHealth(setup, 'h1')).ledger.details[2]?.lack).toBe('cannotWrite');
    },
  );

  test.each(SEEDS)(
    'a fourth member joined: still one; one dead: none; the dead one removed: one again (seed %i)',
    async (seed) => {
      const setup = await createBootstrappedCore(seed, THREE);
      setup.core.addNode('h4');
      setup.core.start('h4');
      expect(await setup.core.until(6_000, () => setup.core.whole([...THREE, 'h4']))).toBe(true);
      await setup.core.world.advance(4_000);
      await expectFigures(setup, [...THREE, 'h4'], [4, 4, 4, 1, null]);
      setup.core.powerLoss('h2');
      await setup.core.world.advance(EVALUATION_MS);
      await expectFigures(setup, ['h1', 'h3', 'h4'], [4, 3, 3, 0, 'noSpareLoss']);
      expect(await setup.core.until(6_000, () => setup.core.whole(['h1', 'h3', 'h4']))).toBe(true);
      await setup.core.world.advance(EVALUATION_MS);
      await expectFigures(setup, ['h1', 'h3', 'h4'], [3, 3, 3, 1, null]);
    },
  );

  test.each(SEEDS)('one dead and replaced by a new machine: one again (seed %i)', async (seed) => {
    const setup = await createBootstrappedCore(seed, THREE);
    setup.core.powerLoss('h2');
    await setup.core.world.advance(4_000);
    setup.core.addNode('h4');
    setup.core.start('h4');
    expect(await setup.core.until(6_000, () => setup.core.whole(['h1', 'h3', 'h4']))).toBe(true);
    await setup.core.world.advance(4_000);
    await expectFigures(setup, ['h1', 'h3', 'h4'], [3, 3, 3, 1, null]);
  });

  test.each(SEEDS)(
    'a member that has joined counts only from the time at which it is complete (seed %i)',
    async (seed) => {
      const setup = await createBootstrappedCore(seed, THREE);
      setup.core.addNode('h4');
      setup.core.start('h4');
      let prematureCount = 0;
      for (let n = 0; n < 300; n += 1) {
        await setup.core.world.advance(10);
        const member = (await readHealth(setup, 'h1')).ledger.details.find((d) => d.name === 'h4');
        if (!member) continue;
        const newestSlot = setup.core.node('h1').controller?.ledger.controlState().slot ?? 0;
        if (member.learned < newestSlot - 1 && member.lack === null) prematureCount += 1;
      }
      expect(prematureCount).toBe(0);
      await expectFigures(setup, [...THREE, 'h4'], [4, 4, 4, 1, null]);
    },
  );
});

describe('a member that is in contact and behind', () => {
  const members: Member[] = THREE.map((name) => ({ name, incarnation: 'i', address: name }));

  type WatchFixture = {
    readonly world: World;
    readonly controlState: { slot: number };
    readonly receiveStatus: (name: string, learned: number) => void;
    readonly watch: CoreHealthWatch;
  };
  function createWatchFixture(slot: number): WatchFixture {
    const world = createWorld(1);
    const clock = world.clockOf(world.startProcess(world.host('h1', 'z')));
    const events = createEvents<LedgerEvents>();
    const controlState = { ...emptyControlState(), members, slot };
    const ledger = {
      controlState: () => controlState,
      self: members[0] as Member,
      top: () => controlState.slot,
      writable: () => true,
      events,
    };
    const peers = { on: () => undefined } as unknown as Peers;
    const watch = createCoreHealthWatch({
      ledger,
      claims: null,
      peers,
      clock,
      log: createQuietLog().component('core'),
    });
    function receiveStatus(name: string, learned: number): void {
      const member = members.find((m) => m.name === name) as Member;
      events.emit('heard', {
        member,
        requestedAt: clock.mono(),
        memberStatus: {
          kind: 'memberStatus',
          ledger: 'l',
          voter: memberId(member),
          address: name,
          learned,
          top: learned,
        },
      });
    }
    return { world, controlState, receiveStatus, watch };
  }
  function currentFigures(fixture: WatchFixture): unknown[] {
    const { ledger } = fixture.watch.current();
    return [ledger.inTouch, ledger.holdingAll, ledger.spareLosses];
  }

  test('does not count, however often it responds, until it has learned what was known 2.6 s ago', async () => {
    const fixture = createWatchFixture(100);
    for (let n = 0; n < 20; n += 1) {
      fixture.receiveStatus('h2', 100);
      fixture.receiveStatus('h3', 40 + n);
      expect(currentFigures(fixture)).toEqual([3, 2, 0]);
      await fixture.world.advance(500);
    }
    fixture.receiveStatus('h2', 100);
    fixture.receiveStatus('h3', 100);
    expect(currentFigures(fixture)).toEqual([3, 3, 1]);
  });

  test('is not inferred from responses that are half a second old under steady changes', async () => {
    const fixture = createWatchFixture(100);
    for (let n = 0; n < 40; n += 1) {
      fixture.receiveStatus('h2', fixture.controlState.slot);
      fixture.receiveStatus('h3', fixture.controlState.slot);
      for (let step = 0; step < 5; step += 1) {
        await fixture.world.advance(100);
        fixture.controlState.slot += 4;
        if (n > 8) expect(currentFigures(fixture)).toEqual([3, 3, 1]);
      }
    }
  });

  test('is the observing controller itself if the others have learned more, from the first response on', () => {
    const fixture = createWatchFixture(10);
    fixture.receiveStatus('h2', 100);
    fixture.receiveStatus('h3', 100);
    expect(currentFigures(fixture)).toEqual([3, 2, 0]);
  });

  test('is not judged by slots known before a process pause', async () => {
    const fixture = createWatchFixture(100);
    await fixture.world.advance(5_000);
    fixture.world.freeze(fixture.world.host('h1', 'z'));
    await fixture.world.advance(20_000);
    fixture.world.thaw(fixture.world.host('h1', 'z'));
    for (const ms of [0, 10, 600]) {
      await fixture.world.advance(ms);
      fixture.receiveStatus('h2', 200);
      fixture.receiveStatus('h3', 200);
      expect(currentFigures(fixture)).toEqual([3, 2, 0]);
    }
  });

  test('responses count as contact for 1.6 s, no longer', async () => {
    const fixture = createWatchFixture(100);
    fixture.receiveStatus('h2', 100);
    fixture.receiveStatus('h3', 100);
    await fixture.world.advance(1_590);
    expect(currentFigures(fixture)).toEqual([3, 3, 1]);
    await fixture.world.advance(20);
    expect(currentFigures(fixture)).toEqual([1, null, null]);
  });
});

describe('a partitioned controller reports the health as unknown', () => {
  const unknownFigures = [3, 1, null, null, 'noMajority'];

  test.each(SEEDS)(
    'both directions cut: within 2.2 s, while the others still know it; after healing it knows it again (seed %i)',
    async (seed) => {
      const setup = await createBootstrappedCore(seed, THREE);
      setup.core.isolate(['h1']);
      await setup.core.world.advance(EVALUATION_MS);
      await expectFigures(setup, ['h1'], unknownFigures);
      await expectFigures(setup, ['h2', 'h3'], [3, 2, 2, 0, 'noSpareLoss']);
      await setup.core.world.advance(20_000);
      await expectFigures(setup, ['h1'], unknownFigures);
      setup.core.world.healAll();
      await setup.core.world.advance(6_000);
      await expectFigures(setup, THREE, [3, 3, 3, 1, null]);
    },
  );

  test.each(SEEDS)('one direction cut, either one (seed %i)', async (seed) => {
    const setup = await createBootstrappedCore(seed, THREE);
    for (const other of ['h2', 'h3']) {
      if (seed % 2 === 0) setup.core.world.cut('h1', other);
      else setup.core.world.cut(other, 'h1');
    }
    await setup.core.world.advance(EVALUATION_MS);
    await expectFigures(setup, ['h1'], unknownFigures);
  });

  test.each(SEEDS)('restarted while it is partitioned (seed %i)', async (seed) => {
    const setup = await createBootstrappedCore(seed, THREE);
    setup.core.isolate(['h1']);
    await setup.core.world.advance(500);
    setup.core.kill('h1');
    setup.core.start('h1');
    await setup.core.until(2_000, () => setup.core.node('h1').controller !== null);
    for (let n = 0; n < 12; n += 1) {
      await expectFigures(setup, ['h1'], unknownFigures);
      await setup.core.world.advance(500);
    }
  });

  test.each(SEEDS)(
    'resumed after a pause of 20 s in which the others made changes: nothing outdated is reported (seed %i)',
    async (seed) => {
      const setup = await createBootstrappedCore(seed, THREE);
      setup.core.world.freeze(setup.core.node('h1').host);
      await setup.core.world.advance(1_000);
      for (let n = 0; n < 8; n += 1) expect((await setup.core.order('h2', `z${n}`)).result?.ok).toBe(true);
      await setup.core.world.advance(19_000);
      setup.core.world.thaw(setup.core.node('h1').host);
      const overstated: unknown[] = [];
      for (let n = 0; n < 40; n += 1) {
        const { ledger } = await readHealth(setup, 'h1');
        const learned = setup.core.node('h1').controller?.ledger.controlState().slot ?? -1;
        const newest = setup.core.node('h2').controller?.ledger.controlState().slot ?? -1;
        if (learned < newest && ledger.spareLosses !== null && ledger.spareLosses > 0) overstated.push(ledger);
      }
      expect(overstated).toEqual([]);
      await setup.core.world.advance(6_000);
      await expectFigures(setup, THREE, [3, 3, 3, 1, null]);
    },
  );
});

describe('log and metrics', () => {
  test('one line per group when no loss is tolerated any more, one on recovery, none in between or at a healthy start', async () => {
    const setup = await createBootstrappedCore(5, THREE);
    expect(setup.lines).toEqual([]);
    setup.core.kill('h3');
    await setup.core.world.advance(30_000);
    const noneFields = 'group=ledger members=3 inTouch=2 holdingAll=2 quorumSize=2 spareLosses=0 lacking=h3:silent';
    expect(setup.lines).toEqual([
      `warn controllers tolerate no further loss ${noneFields}`,
      `warn controllers tolerate no further loss ${noneFields}`,
    ]);
    setup.lines.length = 0;
    setup.core.start('h3');
    await setup.core.world.advance(30_000);
    const recoveredLine =
      'info controllers tolerate a further loss again group=ledger members=3 inTouch=3 holdingAll=3 quorumSize=2 spareLosses=1 lacking=none';
    expect(setup.lines).toEqual([recoveredLine, recoveredLine]);
  });

  test('a partitioned controller logs once that the number is unknown', async () => {
    const setup = await createBootstrappedCore(6, THREE);
    setup.core.isolate(['h1']);
    await setup.core.world.advance(30_000);
    expect(setup.lines.filter((l) => l.includes('no majority'))).toEqual([
      'warn no majority of controllers reachable, tolerated losses unknown group=ledger members=3 inTouch=1 holdingAll=unknown quorumSize=2 spareLosses=unknown lacking=h2:silent,h3:silent',
    ]);
  });

  async function gauges(setup: TestSetup, name: string): Promise<Record<string, string>> {
    const text = String((await get(setup, name, '/metrics')).body);
    const out: Record<string, string> = {};
    for (const line of text.split('\n')) {
      const found = /^millfield_core_(\w+)\{group="ledger"\} (\S+)$/.exec(line);
      if (found) out[found[1] as string] = found[2] as string;
    }
    return out;
  }
  test('the gauges report the same; unknown values are missing, not 0, also when read again', async () => {
    const setup = await createBootstrappedCore(7, THREE);
    const healthyGauges = {
      known: '1',
      members: '3',
      quorum_size: '2',
      in_touch: '3',
      holding_all: '3',
      spare_losses: '1',
    };
    expect(await gauges(setup, 'h1')).toEqual(healthyGauges);
    setup.core.isolate(['h1']);
    await setup.core.world.advance(EVALUATION_MS);
    for (let n = 0; n < 2; n += 1)
      expect(await gauges(setup, 'h1')).toEqual({ known: '0', members: '3', quorum_size: '2', in_touch: '1' });
    setup.core.world.healAll();
    await setup.core.world.advance(6_000);
    expect(await gauges(setup, 'h1')).toEqual(healthyGauges);
  });
});

describe('run-once claims have a separate health', () => {
  async function startFleet(seed: number): Promise<SimFleet> {
    const fleet = createSimFleet(seed);
    expect(await fleet.start()).toBe(true);
    await fleet.run(4_000);
    return fleet;
  }
  async function readFleetHealth(fleet: SimFleet): Promise<CoreHealthReport> {
    const response = await fleet.operator(0, 'GET', '/v1/status');
    if (!response.ok) throw new Error(response.error.tag);
    return (response.value.body as { readonly core: CoreHealthReport }).core;
  }

  test('a lost disk costs one tolerated loss until the claims are rebuilt', async () => {
    const fleet = await startFleet(8);
    expect((await readFleetHealth(fleet)).claims).toMatchObject({ holdingAll: 3, spareLosses: 1, warning: null });
    fleet.kill('controller-2');
    fleet.wipe('controller-2');
    await fleet.run(3_000);
    expect((await readFleetHealth(fleet)).claims).toMatchObject({
      inTouch: 2,
      holdingAll: 2,
      spareLosses: 0,
      warning: 'noSpareLoss',
    });
    void fleet.startNode('controller-2');
    await fleet.run(15_000);
    expect((await readFleetHealth(fleet)).claims).toMatchObject({
      inTouch: 3,
      holdingAll: 3,
      spareLosses: 1,
      warning: null,
    });
  });

  test('a member that cannot rebuild its claims counts for the ledger only', async () => {
    const fleet = await startFleet(9);
    const before = fleet.controllers[1]?.controller?.ledger.self.incarnation;
    fleet.kill('controller-2');
    fleet.wipe('controller-2');
    await fleet.run(500);
    void fleet.startNode('controller-2');
    const members = () => fleet.controllers[0]?.controller?.ledger.controlState().members ?? [];
    expect(
      await fleet.until(8_000, () => members().some((m) => m.name === 'controller-2' && m.incarnation !== before)),
    ).toBe(true);
    fleet.kill('controller-3');
    await fleet.run(5_000);
    const core = await readFleetHealth(fleet);
    expect(core.ledger).toMatchObject({ inTouch: 2, holdingAll: 2, spareLosses: 0, warning: 'noSpareLoss' });
    expect(core.claims).toMatchObject({ inTouch: 2, holdingAll: 1, spareLosses: 0, warning: 'noWholeQuorum' });
  });
});
