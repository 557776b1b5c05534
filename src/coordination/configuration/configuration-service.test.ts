import { describe, expect, test } from '@jest/globals';
import { err, ok } from '../../base/result.js';
import { DEFAULT_LIMITS } from '../../state/configuration/serving.js';
import { MAX_APPLIED_CHANGES } from '../../state/consensus/operator-history.js';
import type { RouteSettings, Serving } from '../../state/configuration/serving.js';
import { withChanges } from '../../state/configuration/settings-tree.js';
import { createSimLedger } from '../../sim/sim-ledger.js';
import { routeSettings } from '../../sim/builders.js';
import type { SimLedger } from '../../sim/sim-ledger.js';
import { delay } from '../../transport/clock.js';
import { CALLER_TIMEOUT_MS, createConfigurationService } from './configuration-service.js';
import { watchProcessPauses } from './recent-process-pause.js';
import type { Caller, ConfigurationService } from './configuration-service.js';
import { createQuietLog } from '../../transport/log.js';

function createServing(number: number, routeCount = 1): Serving {
  const routes: Record<string, RouteSettings> = {};
  for (let i = 0; i < routeCount; i += 1) routes[`r-${i}`] = routeSettings({ at: i, prefix: `/p${i}/` });
  return {
    number,
    mappings: routes,
    models: { m: { at: 0, probePath: '/h', maxConns: 9, coldS: 0, coldRateS: 0, engine: null } },
    limits: DEFAULT_LIMITS,
  };
}

function extraRoutes(count: number): Record<string, RouteSettings> {
  const routes: Record<string, RouteSettings> = {};
  for (let i = 0; i < count; i += 1) routes[`x-${i}`] = routeSettings({ at: 100 + i, prefix: `/x${i}/` });
  return routes;
}

const COMMON_DEPS = { log: createQuietLog().component('operator'), processPause: { isRecent: () => false } };
const WAITING_CALLER: Caller = { gone: () => false };

function createSharedLedger() {
  const sim = createSimLedger(5);
  const serviceAfter = (ms: number): ConfigurationService =>
    createConfigurationService({ ledger: sim.ledgerWithDelay(ms), clock: sim.clock, ...COMMON_DEPS });
  const currentServing = (): Serving => sim.controlState.configuration.serving as Serving;
  return { ...sim, serviceAfter, currentServing };
}

function addOrdinaryEntries(ledger: Pick<SimLedger, 'fold'>, count: number): void {
  for (let n = 0; n < count; n += 1) ledger.fold(`ordinary-${n}`, { tag: 'targetChanged', model: 'm', target: n });
}

function summaryOf(serving: Serving | undefined): unknown {
  return [serving?.number, Object.keys(serving?.mappings ?? {}), Object.keys(serving?.models ?? {})];
}

const TAKEN = (number: number) => ok({ tag: 'taken', number });
const STALE = (number: number) => err({ tag: 'stale', number });

describe('configurations by the operator’s own number', () => {
  test('numbers increase in uneven steps, each change based on the number before', async () => {
    const sim = createSharedLedger();
    const service = sim.serviceAfter(5);
    expect(await sim.run(service.replace(0, createServing(7), 'a'))).toEqual(TAKEN(7));
    expect(await sim.run(service.replace(7, createServing(12, 2), 'b'))).toEqual(TAKEN(12));
    expect(await sim.run(service.replace(7, createServing(20), 'c'))).toEqual(STALE(12));
    const read = await sim.run(service.read());
    expect(read?.ok && read.value.number).toBe(12);
    expect(read?.ok && Object.keys(read.value.mappings)).toEqual(['r-0', 'r-1']);
  });

  // Guards against endless retries: a configuration that does not fit into a log record was answered with 503 each time
  // it was sent.
  test('one that is too large to be stored is rejected at once, and the one in force stays unchanged', async () => {
    const sim = createSharedLedger();
    const most = { configuration: JSON.stringify(createServing(8, 40)).length + 200, change: Infinity };
    const service = createConfigurationService({
      ledger: sim.ledgerWithDelay(5),
      clock: sim.clock,
      ...COMMON_DEPS,
      most,
    });
    expect(await sim.run(service.replace(0, createServing(7, 3), 'a'))).toEqual(TAKEN(7));
    const refused = await sim.run(service.replace(7, createServing(8, 42), 'b'));
    expect(refused).toMatchObject(err({ tag: 'tooLarge', what: 'configuration', most: most.configuration }));
    expect(summaryOf(sim.currentServing())).toEqual(summaryOf(createServing(7, 3)));
    const growingEdit = (serving: Serving): ReturnType<typeof ok> =>
      ok({ ...serving, number: 9, mappings: { ...serving.mappings, ...extraRoutes(50) } });
    expect(await sim.run(service.amend(7, growingEdit, 'c'))).toMatchObject({ ok: false, error: { tag: 'tooLarge' } });
    expect(await sim.run(service.replace(7, createServing(8, 20), 'd'))).toEqual(TAKEN(8));
  });

  test('a change too large for a log record is rejected at once; a smaller one on the same number is accepted', async () => {
    const sim = createSharedLedger();
    const most = { configuration: Infinity, change: 10_000 };
    const service = createConfigurationService({
      ledger: sim.ledgerWithDelay(5),
      clock: sim.clock,
      ...COMMON_DEPS,
      most,
    });
    expect(await sim.run(service.replace(0, createServing(7, 3), 'a'))).toEqual(TAKEN(7));
    const refused = await sim.run(service.replace(7, createServing(8, 200), 'b'));
    expect(refused).toMatchObject(err({ tag: 'tooLarge', what: 'change', most: most.change }));
    expect(await sim.run(service.replace(7, createServing(8, 10), 'd'))).toEqual(TAKEN(8));
  });

  test.each([
    ['the number in force', { number: 7 }, '/number'],
    ['a lower number', { number: 3 }, '/number'],
    ['an unknown model', { models: {} }, '/mappings/r-0/shares/0/model'],
    ['a truncated document', null, '/'],
  ])('%s is invalid and changes nothing', async (_name, overrides, path) => {
    const sim = createSharedLedger();
    const service = sim.serviceAfter(5);
    await sim.run(service.replace(0, createServing(7), 'a'));
    const response = await sim.run(
      service.replace(7, overrides === null ? null : { ...createServing(9), ...overrides }, 'b'),
    );
    expect(
      !response || response.ok || response.error.tag !== 'invalid'
        ? response
        : response.error.faults.map((error) => error.path),
    ).toEqual([path]);
    expect(sim.controlState.slot).toBe(0);
    expect(sim.currentServing().number).toBe(7);
  });

  test('of two operators on the same base exactly one wins, whichever node each calls', async () => {
    for (const [first, second] of [
      [5, 40],
      [40, 5],
      [5, 5],
    ] as const) {
      const sim = createSharedLedger();
      await sim.run(sim.serviceAfter(5).replace(0, createServing(7), 'a'));
      const both = [
        sim.serviceAfter(first).replace(7, createServing(8, 2), 'x'),
        sim.serviceAfter(second).replace(7, createServing(9, 3), 'y'),
      ];
      const response = await sim.run(Promise.all(both));
      const confirmed = (response ?? []).filter((result) => result.ok);
      const rejected = (response ?? []).filter((result) => !result.ok && result.error.tag === 'stale');
      expect([confirmed.length, rejected.length]).toEqual([1, 1]);
      expect(confirmed).toEqual([TAKEN(sim.currentServing().number)]);
    }
  });

  test('a submission resent to any node, also after newer ones, is the same success; another on that base is stale', async () => {
    const sim = createSharedLedger();
    await sim.run(sim.serviceAfter(5).replace(0, createServing(7), 'a'));
    await sim.run(sim.serviceAfter(5).replace(7, createServing(8, 2), 'b'));
    const again = await sim.run(sim.serviceAfter(40).replace(0, createServing(7), 'a'));
    expect(again?.ok && again.value.tag).toBe('taken');
    expect(await sim.run(sim.serviceAfter(40).replace(0, createServing(7), 'other'))).toEqual(STALE(8));
    expect(sim.currentServing().number).toBe(8);
    const duplicates = [
      sim.serviceAfter(5).replace(8, createServing(11), 'c'),
      sim.serviceAfter(40).replace(8, createServing(11), 'c'),
    ];
    expect((await sim.run(Promise.all(duplicates)))?.map((result) => result.ok)).toEqual([true, true]);
  });

  test('a change keeps its identity after any number of ordinary entries', async () => {
    const sim = createSharedLedger();
    await sim.run(sim.serviceAfter(5).replace(0, createServing(7), 'a'));
    await sim.run(sim.serviceAfter(5).replace(7, createServing(8, 2), 'b'));
    addOrdinaryEntries(sim, 1_100);
    expect(await sim.run(sim.serviceAfter(40).replace(7, createServing(8, 2), 'b'))).toEqual(TAKEN(8));
    expect(await sim.run(sim.serviceAfter(40).replace(0, createServing(7), 'a'))).toEqual(TAKEN(7));
    expect(await sim.run(sim.serviceAfter(40).replace(7, createServing(8, 3), 'other'))).toEqual(STALE(8));
    expect(Object.keys(sim.currentServing().mappings)).toEqual(['r-0', 'r-1']);
  });

  test('two operators use the same number for different contents: one is accepted, the other stays stale', async () => {
    for (const [first, second] of [
      [5, 40],
      [40, 5],
      [5, 5],
    ] as const) {
      const sim = createSharedLedger();
      await sim.run(sim.serviceAfter(5).replace(0, createServing(7), 'a'));
      const sent = [createServing(8, 2), createServing(8, 3)];
      const response = await sim.run(
        Promise.all([
          sim.serviceAfter(first).replace(7, sent[0], 'x'),
          sim.serviceAfter(second).replace(7, sent[1], 'y'),
        ]),
      );
      const winner = (response ?? []).findIndex((result) => result.ok);
      expect((response ?? []).filter((result) => result.ok).length).toBe(1);
      expect(summaryOf(sim.currentServing())).toEqual(summaryOf(sent[winner]));
      const again = await sim.run(
        Promise.all([
          sim.serviceAfter(second).replace(7, sent[0], 'x'),
          sim.serviceAfter(first).replace(7, sent[1], 'y'),
        ]),
      );
      expect(again?.[winner]).toEqual(TAKEN(8));
      expect(again?.[1 - winner]).toEqual(STALE(8));
    }
  });

  test('an amendment and a complete configuration with the same number, base and result are one change', async () => {
    const sim = createSharedLedger();
    const service = sim.serviceAfter(5);
    const edit = (before: Serving): ReturnType<typeof ok<unknown>> =>
      ok({
        ...before,
        number: 8,
        mappings: { ...before.mappings, extra: { ...routeSettings(), at: 9_999, prefix: '/extra/' } },
      });
    const result = {
      ...createServing(8),
      mappings: { ...createServing(8).mappings, extra: { ...routeSettings(), at: 1, prefix: '/extra/' } },
    };
    await sim.run(service.replace(0, createServing(7), 'a'));
    expect(await sim.run(service.replace(7, result, 'whole'))).toEqual(TAKEN(8));
    expect(await sim.run(sim.serviceAfter(40).amend(7, edit, 'change'))).toEqual(TAKEN(8));
    expect(await sim.run(sim.serviceAfter(40).amend(0, edit, 'on another base'))).toEqual(STALE(8));
    const smallerEdit = (before: Serving): ReturnType<typeof ok<unknown>> => ok({ ...before, number: 8 });
    expect(await sim.run(sim.serviceAfter(40).amend(7, smallerEdit, 'less'))).toEqual(STALE(8));
    expect(await sim.run(service.replace(8, createServing(9), 'b'))).toEqual(TAKEN(9));
    expect(await sim.run(sim.serviceAfter(40).amend(7, edit, 'another'))).toEqual(STALE(9));
    expect(sim.controlState.history.changes.filter((change) => change.revision?.number === 8).length).toBe(2);
  });

  test('a submission confirmed as the same change as another is still confirmed once a newer one is in force', async () => {
    const sim = createSharedLedger();
    const service = sim.serviceAfter(5);
    await sim.run(service.replace(0, createServing(7), 'a'));
    expect(await sim.run(service.replace(7, createServing(8), 'first'))).toEqual(TAKEN(8));
    expect(await sim.run(service.replace(7, createServing(8), 'second'))).toEqual(TAKEN(8));
    expect(await sim.run(service.replace(8, createServing(9), 'b'))).toEqual(TAKEN(9));
    expect(await sim.run(sim.serviceAfter(40).replace(7, createServing(8), 'second'))).toEqual(TAKEN(8));
    expect(await sim.run(sim.serviceAfter(40).replace(7, createServing(8), 'third'))).toEqual(STALE(9));
    expect(sim.controlState.version).toBe(3);
  });

  test('an amendment is not the same change if its result on its base differs, though it would not alter what is in force', async () => {
    const sim = createSharedLedger();
    const service = sim.serviceAfter(5);
    await sim.run(service.replace(0, createServing(7, 3), 'a'));
    expect(await sim.run(service.replace(7, createServing(8, 1), 'b'))).toEqual(TAKEN(8));
    const withoutRoute =
      (name: string) =>
      (before: Serving): ReturnType<typeof ok<unknown>> => {
        const mappings = Object.fromEntries(Object.entries(before.mappings).filter(([key]) => key !== name));
        return ok({ ...before, number: 8, mappings });
      };
    expect(await sim.run(sim.serviceAfter(40).amend(7, withoutRoute('r-2'), 'c'))).toEqual(STALE(8));
    expect(Object.keys(sim.currentServing().mappings)).toEqual(['r-0']);
  });

  test('eight concurrent changes on one base, each sent to two nodes: one is accepted, at both nodes', async () => {
    const sim = createSharedLedger();
    await sim.run(sim.serviceAfter(5).replace(0, createServing(7), 'a'));
    const sends = Array.from({ length: 16 }, (_, i) =>
      sim.serviceAfter(1 + ((i * 37) % 60)).replace(7, createServing(8 + (i % 8)), `change-${i % 8}`),
    );
    const response = (await sim.run(Promise.all(sends))) ?? [];
    const winners = response.map((result, i) => (result.ok ? i % 8 : -1)).filter((i) => i >= 0);
    expect(winners.length).toBe(2);
    expect(new Set(winners).size).toBe(1);
    expect(response.filter((result) => !result.ok && result.error.tag === 'stale').length).toBe(14);
    expect(sim.currentServing().number).toBe(8 + (winners[0] ?? -1));
  });

  test('a change resent while its first attempt is in progress at another node is applied once and confirmed at both', async () => {
    for (const [first, second] of [
      [300, 5],
      [5, 300],
      [60, 60],
    ] as const) {
      const sim = createSharedLedger();
      await sim.run(sim.serviceAfter(5).replace(0, createServing(7), 'a'));
      const slow = sim.serviceAfter(first).replace(7, createServing(8, 2), 'b');
      await sim.world.advance(100);
      const response = await sim.run(
        Promise.all([slow, sim.serviceAfter(second).replace(7, createServing(8, 2), 'b')]),
      );
      expect(response).toEqual([TAKEN(8), TAKEN(8)]);
      const { changes } = sim.controlState.history;
      expect(changes.map((change) => change.revision?.number)).toEqual([7, 8]);
    }
  });

  test('an abandoned change agreed later takes effect under its own number, or not at all once another was accepted', async () => {
    for (const other of [false, true]) {
      const sim = createSharedLedger();
      await sim.run(sim.serviceAfter(5).replace(0, createServing(7), 'a'));
      const slowService = createConfigurationService({
        ledger: sim.ledgerWithDelay(700),
        clock: sim.clock,
        ...COMMON_DEPS,
        agreementTimeoutMs: 300,
      });
      const abandonedCall = slowService.replace(7, createServing(8, 2), 'late');
      await sim.world.advance(400);
      if (other) expect(await sim.run(sim.serviceAfter(5).replace(7, createServing(9, 3), 'other'))).toEqual(TAKEN(9));
      await sim.world.advance(2_000);
      void abandonedCall;
      expect(summaryOf(sim.currentServing())).toEqual(summaryOf(other ? createServing(9, 3) : createServing(8, 2)));
      expect(await sim.run(sim.serviceAfter(5).replace(7, createServing(8, 2), 'late'))).toEqual(
        other ? STALE(9) : TAKEN(8),
      );
    }
  });

  test('one that is both invalid and stale changes nothing', async () => {
    const sim = createSharedLedger();
    await sim.run(sim.serviceAfter(5).replace(0, createServing(7), 'a'));
    for (const draft of [null, { ...createServing(9), models: {} }, createServing(3)]) {
      const response = await sim.run(sim.serviceAfter(5).replace(3, draft, 'b'));
      expect(response?.ok === false && ['stale', 'invalid'].includes(response.error.tag)).toBe(true);
    }
    expect(summaryOf(sim.currentServing())).toEqual(summaryOf(createServing(7)));
  });

  test('one based on a number older than the history gets outcomeUnknown, and is not applied again', async () => {
    const sim = createSharedLedger();
    const service = sim.serviceAfter(1);
    for (let n = 0; n <= MAX_APPLIED_CHANGES; n += 1)
      expect(await sim.run(service.replace(n, createServing(n + 1), `change-${n}`))).toEqual(TAKEN(n + 1));
    const newest = MAX_APPLIED_CHANGES + 1;
    expect(await sim.run(service.replace(0, createServing(1), 'change-0'))).toEqual(err({ tag: 'outcomeUnknown' }));
    expect(await sim.run(service.replace(1, createServing(2), 'change-1'))).toEqual(TAKEN(2));
    expect(await sim.run(service.replace(1, createServing(2, 2), 'another'))).toEqual(STALE(newest));
    expect(sim.currentServing().number).toBe(newest);
  });

  test('a change is retried, not rejected as stale, if another entry moved the version but not the number', async () => {
    const sim = createSharedLedger();
    const service = sim.serviceAfter(50);
    await sim.run(service.replace(0, createServing(7), 'a'));
    const call = service.replace(7, createServing(8), 'b');
    await sim.world.advance(30);
    sim.fold('other', {
      tag: 'configured',
      base: sim.controlState.version,
      changes: [{ path: ['deployment', 'nExtra'], value: 3 }],
    });
    expect(await sim.run(call)).toEqual(TAKEN(8));
    expect(sim.currentServing().number).toBe(8);
    expect(sim.controlState.configuration.deployment).toEqual({ nExtra: 3 });
  });

  test('without a majority calls fail soon; a change agreed without the caller seeing it is found at the next attempt', async () => {
    const sim = createSharedLedger();
    const service = sim.serviceAfter(5);
    sim.cut(true);
    expect(await sim.run(service.replace(0, createServing(7), 'a'), 1_000)).toEqual(err({ tag: 'noMajority' }));
    expect(await sim.run(service.read(), 1_000)).toEqual(err({ tag: 'noMajority' }));
    expect(await sim.run(service.evacuate('z', true, WAITING_CALLER), 1_000)).toEqual(err({ tag: 'noMajority' }));
    sim.cut(false);
    sim.dropReplies(true);
    expect(await sim.run(service.replace(0, createServing(7), 'a'))).toEqual(err({ tag: 'noMajority' }));
    sim.dropReplies(false);
    expect(await sim.run(service.replace(0, createServing(7), 'a'))).toEqual(TAKEN(7));
    expect(sim.controlState.slot).toBe(0);
  });

  test('a change of two routes among a thousand puts only these two into the log entry', async () => {
    const sim = createSharedLedger();
    const service = sim.serviceAfter(1);
    await sim.run(service.replace(0, createServing(7, 1_000), 'a'));
    const next = withChanges(createServing(9, 1_000), [
      { path: ['mappings', 'r-500', 'deadlineMs'], value: 77 },
      { path: ['mappings', 'r-0'] },
    ]) as Serving;
    for (const [at, m] of Object.values(next.mappings).entries()) (m as { at: number }).at = at;
    await sim.run(service.replace(7, next, 'b'));
    expect(sim.currentServing().mappings['r-500']?.deadlineMs).toBe(77);
    expect(Object.keys(sim.currentServing().mappings).length).toBe(999);
    expect(sim.entryBytes[1]).toBeLessThan(600);
  });
});

describe('evacuations', () => {
  test('each order succeeds however often it is sent', async () => {
    const sim = createSharedLedger();
    const service = sim.serviceAfter(5);
    for (const begun of [false, true, true, false, false, true]) {
      expect(await sim.run(service.evacuate('z', begun, WAITING_CALLER))).toEqual(ok({ tag: 'taken' }));
      expect(sim.controlState.evacuated['z'] !== undefined).toBe(begun);
    }
  });

  test('an order that is agreed late, after the one that reverts it, has no effect', async () => {
    const sim = createSharedLedger();
    const slow = sim.serviceAfter(400).evacuate('z', true, WAITING_CALLER);
    expect(await sim.run(sim.serviceAfter(5).evacuate('z', true, WAITING_CALLER))).toEqual(ok({ tag: 'taken' }));
    expect(await sim.run(sim.serviceAfter(5).evacuate('z', false, WAITING_CALLER))).toEqual(ok({ tag: 'taken' }));
    await sim.world.advance(4_000);
    expect(sim.controlState.evacuated).toEqual({});
    void slow;
  });

  test('an order is not proposed by a process that was paused while it read from a majority', async () => {
    const sim = createSharedLedger();
    const pausedHost = sim.world.host('frozen', 'a');
    const clock = sim.world.clockOf(sim.world.startProcess(pausedHost));
    const ledgerWithDelay = { ...sim.ledgerWithDelay(5), linearizableRead: () => delay(clock, 10).then(() => true) };
    const call = createConfigurationService({ ledger: ledgerWithDelay, clock, ...COMMON_DEPS }).evacuate(
      'z',
      true,
      WAITING_CALLER,
    );
    sim.world.freeze(pausedHost);
    expect(await sim.run(sim.serviceAfter(5).evacuate('z', true, WAITING_CALLER))).toEqual(ok({ tag: 'taken' }));
    expect(await sim.run(sim.serviceAfter(5).evacuate('z', false, WAITING_CALLER))).toEqual(ok({ tag: 'taken' }));
    await sim.world.advance(5_000);
    sim.world.thaw(pausedHost);
    expect(await sim.run(call)).toEqual(err({ tag: 'noMajority' }));
    expect(sim.controlState.evacuated).toEqual({});
  });

  // Guards against a restore order that lies unread in a paused controller, and then undoes an evacuation that another
  // controller acknowledged in the meantime.
  test('an order that may have been waiting unread during a process pause is rejected; one sent a second later is accepted', async () => {
    const sim = createSharedLedger();
    const frozen = sim.world.host('frozen', 'a');
    const clock = sim.world.clockOf(sim.world.startProcess(frozen));
    const processPause = watchProcessPauses(clock, CALLER_TIMEOUT_MS);
    const resumedService = createConfigurationService({
      ledger: sim.ledgerWithDelay(5),
      clock,
      ...COMMON_DEPS,
      processPause,
    });
    expect(await sim.run(resumedService.evacuate('z', true, WAITING_CALLER))).toEqual(ok({ tag: 'taken' }));
    sim.world.freeze(frozen);
    await sim.world.advance(4_000);
    sim.world.thaw(frozen);
    expect(await sim.run(resumedService.evacuate('z', false, WAITING_CALLER))).toEqual(err({ tag: 'mayBeAbandoned' }));
    expect(Object.keys(sim.controlState.evacuated)).toEqual(['z']);
    await sim.world.advance(CALLER_TIMEOUT_MS);
    expect(await sim.run(resumedService.evacuate('z', false, WAITING_CALLER))).toEqual(ok({ tag: 'taken' }));
    processPause.stop();
  });

  test('an order whose caller closed its connection during the read from a majority is rejected', async () => {
    const sim = createSharedLedger();
    let gone = false;
    const abandonedCall = sim.serviceAfter(50).evacuate('z', true, { gone: () => gone });
    gone = true;
    expect(await sim.run(abandonedCall)).toEqual(err({ tag: 'mayBeAbandoned' }));
    expect(sim.controlState.evacuated).toEqual({});
  });

  test('an order that is agreed late has no effect, however many ordinary entries came in between', async () => {
    const sim = createSharedLedger();
    const slow = sim.serviceAfter(400).evacuate('z', true, WAITING_CALLER);
    expect(await sim.run(sim.serviceAfter(5).evacuate('z', true, WAITING_CALLER))).toEqual(ok({ tag: 'taken' }));
    expect(await sim.run(sim.serviceAfter(5).evacuate('z', false, WAITING_CALLER))).toEqual(ok({ tag: 'taken' }));
    addOrdinaryEntries(sim, 1_100);
    await sim.world.advance(4_000);
    expect(sim.controlState.evacuated).toEqual({});
    expect((await slow).ok).toBe(false);
  });
});
