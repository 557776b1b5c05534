import { describe, expect, test } from '@jest/globals';
import { memberView } from '../sim/builders.js';
import { createSimCore } from '../sim/sim-core.js';
import type { SimCore } from '../sim/sim-core.js';
import { coreHealth } from '../state/membership/core-health.js';
import type { CoreHealth } from '../state/membership/core-health.js';
import { coreText } from '../programs/core-text.js';
import { createCore } from './core.js';
import type { Core } from './core.js';
import { requestCoreReport, groupReport } from './core-report.js';
import type { ControllerStatus } from './core-report.js';

const THREE = ['h1', 'h2', 'h3'];

function health(self: string, names: readonly string[], silent: readonly string[] = []): CoreHealth {
  return coreHealth(
    `${self}#i`,
    names.map((n) => memberView(n, { inTouch: !silent.includes(n) })),
  );
}
function status(name: string, ledger: CoreHealth | null, slot = 9): ControllerStatus {
  return { address: name, member: `${name}#i`, name, slot, ledger, claims: null };
}
function told(statuses: readonly ControllerStatus[]): unknown[] {
  const response = groupReport(statuses, 'ledger');
  return [response?.agreeing, response?.spareLosses, response?.warning];
}

describe("a majority's word", () => {
  test('all say the same', () => {
    expect(told(THREE.map((n) => status(n, health(n, THREE))))).toEqual([3, 1, null]);
  });
  test('the smallest figure stands', () => {
    expect(
      told([status('h1', health('h1', THREE)), status('h2', health('h2', THREE, ['h3'])), status('h3', null)]),
    ).toEqual([2, 0, 'noSpareLoss']);
  });
  test('one alone is not enough, whatever it says', () => {
    expect(told([status('h1', health('h1', THREE)), status('h2', null), status('h3', null)])).toEqual([
      1,
      null,
      'noMajority',
    ]);
  });
  test('the same controller at two addresses is one word', () => {
    expect(
      told([status('h1', health('h1', THREE)), { ...status('h1', health('h1', THREE)), address: 'elsewhere' }]),
    ).toEqual([1, null, 'noMajority']);
  });
  test('those that know nothing do not count', () => {
    expect(
      told([
        status('h1', health('h1', THREE)),
        status('h2', health('h2', THREE, ['h1', 'h3'])),
        status('h3', health('h3', THREE, ['h1', 'h2'])),
      ]),
    ).toEqual([1, null, 'noMajority']);
  });
  test('words about other members do not count, nor those of one that is no member', () => {
    const now = ['h1', 'h3', 'h4'];
    expect(
      told([
        status('h1', health('h1', now)),
        status('h2', health('h2', THREE), 4),
        status('h3', health('h3', THREE), 4),
      ]),
    ).toEqual([1, null, 'noMajority']);
    expect(told([status('h1', health('h1', now)), { ...status('h2', health('h1', now)), member: 'h2#i' }])).toEqual([
      1,
      null,
      'noMajority',
    ]);
  });
  test('a member whose loss would stop it by any word is essential', () => {
    const response = groupReport(
      [status('h1', health('h1', THREE)), status('h2', health('h2', THREE, ['h3']))],
      'ledger',
    );
    expect(response?.essential).toEqual(['h1#i', 'h2#i']);
  });
});

describe('asked of a simulated core', () => {
  async function bootstrapped(
    seed: number,
  ): Promise<{ readonly sim: SimCore; readonly at: (names: readonly string[]) => Core }> {
    const sim = createSimCore(seed, { controllers: 3, seeds: 3, regionMs: 35, operatorHttpServer: true });
    sim.startAll();
    expect(await sim.until(8_000, () => sim.whole(THREE))).toBe(true);
    await sim.world.advance(4_000);
    const { httpClient } = sim.lab('operator');
    return {
      sim,
      at: (names) =>
        createCore(
          names.map((n) => `${sim.node(n).wire}0`),
          httpClient,
        ),
    };
  }

  test('one address is enough to hear all; the table tells members, losses and words', async () => {
    const { sim, at } = await bootstrapped(1);
    const report = await sim.finish(requestCoreReport(at(['h2'])), 20_000);
    expect(report?.ledger).toMatchObject({ members: 3, agreeing: 3, spareLosses: 1, warning: null });
    const lines = coreText(report as NonNullable<typeof report>).split('\n');
    expect(lines[0]).toBe('ledger  bears 1 further loss, by the word of 3 of 3 members (majority 2)');
    expect(lines.filter((l) => /^ {2}h[123] +yes .* no$/.test(l))).toHaveLength(3);
  });

  test('one dead: none to spare, with a warning, and who would stop it', async () => {
    const { sim, at } = await bootstrapped(2);
    sim.kill('h3');
    await sim.world.advance(4_000);
    const report = await sim.finish(requestCoreReport(at(THREE)), 20_000);
    expect(report?.ledger).toMatchObject({ agreeing: 2, spareLosses: 0, warning: 'noSpareLoss' });
    const text = coreText(report as NonNullable<typeof report>);
    expect(text).toContain(
      'bears 0 further losses, by the word of 2 of 3 members (majority 2)  WARNING: the next loss may stop it',
    );
    expect(text).toMatch(/h3 +no .*silent .* no\n/);
    expect(text).toMatch(/h1 +yes .* yes\n/);
    expect(text).toContain('does not answer');
  });

  test('one that is cut off, asked alone, leads to the others; with those out of reach nothing is known', async () => {
    const { sim, at } = await bootstrapped(3);
    sim.cutOff(['h1']);
    await sim.world.advance(4_000);
    expect((await sim.finish(requestCoreReport(at(['h1'])), 20_000))?.ledger).toMatchObject({
      agreeing: 2,
      spareLosses: 0,
    });
    for (const name of ['h2', 'h3']) sim.world.cut(name, 'operator');
    const alone = await sim.finish(requestCoreReport(at(['h1'])), 20_000);
    expect(alone?.ledger).toMatchObject({ agreeing: 0, spareLosses: null, warning: 'noMajority' });
    expect(coreText(alone as NonNullable<typeof alone>)).toContain('bears unknown further losses');
  });

  test('nobody answers: nothing is reported', async () => {
    const { sim, at } = await bootstrapped(4);
    for (const name of THREE) sim.kill(name);
    expect(await sim.finish(requestCoreReport(at(THREE)), 20_000)).toBeNull();
  });
});
