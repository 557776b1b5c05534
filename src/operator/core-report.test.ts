import { describe, expect, test } from '@jest/globals';
import { memberView } from '../sim/builders.js';
import { createSimCore } from '../sim/sim-core.js';
import type { SimCore } from '../sim/sim-core.js';
import { coreHealth } from '../state/membership/core-health.js';
import type { CoreHealth } from '../state/membership/core-health.js';
import { coreText } from '../programs/core-text.js';
import { createCoreClient } from './core.js';
import type { CoreClient } from './core.js';
import { requestCoreReport, groupReport } from './core-report.js';
import type { ControllerStatus } from './core-report.js';

const MEMBERS = ['h1', 'h2', 'h3'];

function health(self: string, names: readonly string[], unreachable: readonly string[] = []): CoreHealth {
  return coreHealth(
    `${self}#i`,
    names.map((n) => memberView(n, { inTouch: !unreachable.includes(n) })),
  );
}
function status(name: string, ledger: CoreHealth | null, slot = 9): ControllerStatus {
  return { address: name, member: `${name}#i`, name, slot, ledger, claims: null };
}
function reportFields(statuses: readonly ControllerStatus[]): unknown[] {
  const report = groupReport(statuses, 'ledger');
  return [report?.agreeing, report?.spareLosses, report?.warning];
}

describe('the report of a majority', () => {
  test('all controllers state the same', () => {
    expect(reportFields(MEMBERS.map((n) => status(n, health(n, MEMBERS))))).toEqual([3, 1, null]);
  });
  test('the smallest number of losses is reported', () => {
    expect(
      reportFields([
        status('h1', health('h1', MEMBERS)),
        status('h2', health('h2', MEMBERS, ['h3'])),
        status('h3', null),
      ]),
    ).toEqual([2, 0, 'noSpareLoss']);
  });
  test('a single controller is not enough, whatever it states', () => {
    expect(reportFields([status('h1', health('h1', MEMBERS)), status('h2', null), status('h3', null)])).toEqual([
      1,
      null,
      'noMajority',
    ]);
  });
  test('the same controller at two addresses counts once', () => {
    expect(
      reportFields([
        status('h1', health('h1', MEMBERS)),
        { ...status('h1', health('h1', MEMBERS)), address: 'elsewhere' },
      ]),
    ).toEqual([1, null, 'noMajority']);
  });
  test('controllers that are not in contact with a majority do not count', () => {
    expect(
      reportFields([
        status('h1', health('h1', MEMBERS)),
        status('h2', health('h2', MEMBERS, ['h1', 'h3'])),
        status('h3', health('h3', MEMBERS, ['h1', 'h2'])),
      ]),
    ).toEqual([1, null, 'noMajority']);
  });
  test('a status about other members does not count, nor that of a controller that is not a member', () => {
    const newMembers = ['h1', 'h3', 'h4'];
    expect(
      reportFields([
        status('h1', health('h1', newMembers)),
        status('h2', health('h2', MEMBERS), 4),
        status('h3', health('h3', MEMBERS), 4),
      ]),
    ).toEqual([1, null, 'noMajority']);
    expect(
      reportFields([
        status('h1', health('h1', newMembers)),
        { ...status('h2', health('h1', newMembers)), member: 'h2#i' },
      ]),
    ).toEqual([1, null, 'noMajority']);
  });
  test('a member is essential if its loss would stop the core according to any status', () => {
    const report = groupReport(
      [status('h1', health('h1', MEMBERS)), status('h2', health('h2', MEMBERS, ['h3']))],
      'ledger',
    );
    expect(report?.essential).toEqual(['h1#i', 'h2#i']);
  });
});

describe('the report of a simulated core', () => {
  async function bootstrapCore(
    seed: number,
  ): Promise<{ readonly sim: SimCore; readonly createClient: (names: readonly string[]) => CoreClient }> {
    const sim = createSimCore(seed, { controllers: 3, seeds: 3, regionMs: 35, operatorHttpServer: true });
    sim.startAll();
    expect(await sim.until(8_000, () => sim.whole(MEMBERS))).toBe(true);
    await sim.world.advance(4_000);
    const { httpClient } = sim.lab('operator');
    return {
      sim,
      createClient: (names) =>
        createCoreClient(
          names.map((n) => `${sim.node(n).wire}0`),
          httpClient,
        ),
    };
  }

  test('one address is enough to reach all controllers; the table shows members, losses and statuses', async () => {
    const { sim, createClient } = await bootstrapCore(1);
    const report = await sim.runUntilSettled(requestCoreReport(createClient(['h2'])), 20_000);
    expect(report?.ledger).toMatchObject({ members: 3, agreeing: 3, spareLosses: 1, warning: null });
    const lines = coreText(report as NonNullable<typeof report>).split('\n');
    expect(lines[0]).toBe('ledger  bears 1 further loss, by the word of 3 of 3 members (majority 2)');
    expect(lines.filter((l) => /^ {2}h[123] +yes .* no$/.test(l))).toHaveLength(3);
  });

  test('with one controller down, no further loss is tolerated; shows a warning and the essential members', async () => {
    const { sim, createClient } = await bootstrapCore(2);
    sim.kill('h3');
    await sim.world.advance(4_000);
    const report = await sim.runUntilSettled(requestCoreReport(createClient(MEMBERS)), 20_000);
    expect(report?.ledger).toMatchObject({ agreeing: 2, spareLosses: 0, warning: 'noSpareLoss' });
    const text = coreText(report as NonNullable<typeof report>);
    expect(text).toContain(
      'bears 0 further losses, by the word of 2 of 3 members (majority 2)  WARNING: the next loss may stop it',
    );
    expect(text).toMatch(/h3 +no .*silent .* no\n/);
    expect(text).toMatch(/h1 +yes .* yes\n/);
    expect(text).toContain('does not answer');
  });

  test('a partitioned controller, requested alone, leads to the others; with those unreachable the losses are unknown', async () => {
    const { sim, createClient } = await bootstrapCore(3);
    sim.isolate(['h1']);
    await sim.world.advance(4_000);
    expect((await sim.runUntilSettled(requestCoreReport(createClient(['h1'])), 20_000))?.ledger).toMatchObject({
      agreeing: 2,
      spareLosses: 0,
    });
    for (const name of ['h2', 'h3']) sim.world.cut(name, 'operator');
    const isolatedReport = await sim.runUntilSettled(requestCoreReport(createClient(['h1'])), 20_000);
    expect(isolatedReport?.ledger).toMatchObject({ agreeing: 0, spareLosses: null, warning: 'noMajority' });
    expect(coreText(isolatedReport as NonNullable<typeof isolatedReport>)).toContain('bears unknown further losses');
  });

  test('without any response, nothing is reported', async () => {
    const { sim, createClient } = await bootstrapCore(4);
    for (const name of MEMBERS) sim.kill(name);
    expect(await sim.runUntilSettled(requestCoreReport(createClient(MEMBERS)), 20_000)).toBeNull();
  });
});
