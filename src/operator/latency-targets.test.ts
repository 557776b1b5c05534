import { describe, expect, test } from '@jest/globals';
import { readLatencyTargets } from '../protocol/latency-targets.js';
import { createSimFleet } from '../sim/sim-fleet.js';
import type { SimFleet } from '../sim/sim-fleet.js';
import type { Configuration } from '../state/configuration/settings-tree.js';
import type { LatencyTargetRow } from '../state/configuration/latency-target-report.js';
import { reportLatencyTargets } from './latency-targets.js';
import type { CoreClient } from './core.js';

const configuration: Configuration = {
  zones: {},
  deployment: {},
  regions: { hungary: { models: { summary: {}, 'card-gateway': {} } } },
  mappings: { review: { model: 'summary' } },
};
const targetDocument = {
  aims: [
    { name: 'summaries succeed', measure: 'success', model: 'summary', objective: 0.99, window: '2m' },
    { name: 'few are shed', measure: 'shed', model: 'summary', objective: 0.9, window: '2m' },
    { name: 'first piece', measure: 'firstPiece', model: 'summary', withinMs: 1_000, objective: 0.9, window: '2m' },
    { name: 'cards whole', measure: 'whole', model: 'card-gateway', withinMs: 500, objective: 0.99, window: '2m' },
    { name: 'changes', measure: 'changeInForce', withinMs: 3_000, objective: 0.99, window: '2m' },
  ],
};

function errorsIn(document: unknown): string[] {
  const read = readLatencyTargets(document, configuration);
  return read.ok ? [] : read.error.map((f) => `${f.path}: ${f.expected}; ${f.found}`);
}

describe('a document of latency targets', () => {
  test('is read, and each error is reported with its path', () => {
    expect(errorsIn(targetDocument)).toEqual([]);
    expect(
      errorsIn({ aims: [{ name: 'a', measure: 'success', mapping: 'review', objective: 1, window: '24h' }] }),
    ).toEqual([]);
    expect(errorsIn({ aim: [] })).toEqual(['/aim: aims; "aim"', '/aims: a list of aims; nothing']);
    expect(errorsIn(null)).toEqual(['/aims: a list of aims; nothing']);
    expect(
      errorsIn({
        aims: [
          { name: 'a', measure: 'luck', model: 'ghost', objective: 2, window: '3 days', colour: 1 },
          {
            name: 'a',
            measure: 'firstPiece',
            model: 'summary',
            mapping: 'review',
            objective: 0.9,
            withinMs: 77,
            window: '25h',
          },
          7,
        ],
      }),
    ).toEqual([
      '/aims/0/colour: one of name, measure, model, mapping, objective, withinMs, window; "colour"',
      '/aims/0/measure: one of success, firstPiece, whole, changeInForce, shed; "luck"',
      '/aims/0/model: one of card-gateway, summary; "ghost"',
      '/aims/0/objective: a share above 0, up to 1; 2',
      '/aims/0/window: minutes or hours up to 24h, such as 30m; "3 days"',
      '/aims/1/name: a name that no other aim bears; "a"',
      expect.stringContaining('/aims/1: either a model or a mapping'),
      '/aims/1/withinMs: one of 25, 50, 100, 200, 300, 500, 1000, 2000, 3000, 5000, 10000, 30000, 60000; 77',
      '/aims/1/window: minutes or hours up to 24h, such as 30m; "25h"',
      '/aims/2: an aim; 7',
    ]);
  });
});

describe('a report on latency targets', () => {
  function coreClientOf(fleet: SimFleet): CoreClient {
    const controllerIndex = (address: string): number => fleet.controllers.findIndex((h) => h.http === address);
    async function requestAt(
      address: string,
      message: { method: 'GET' | 'POST' | 'DELETE'; path: string },
    ): Promise<{ status: number; body: unknown } | null> {
      const response = await fleet.operator(controllerIndex(address), message.method, message.path);
      return response.ok ? { status: response.value.status, body: response.value.body } : null;
    }
    return {
      addresses: [],
      requestAt,
      request: (a) => requestAt(fleet.controllers[0]?.http ?? '', a),
      version: () => Promise.resolve(null),
    };
  }
  async function fetchReport(fleet: SimFleet): Promise<Record<string, LatencyTargetRow> | null> {
    const latencyTargets = readLatencyTargets(targetDocument, configuration);
    const rows = latencyTargets.ok
      ? await reportLatencyTargets(
          coreClientOf(fleet),
          fleet.controllers.map((h) => h.http),
          latencyTargets.value,
        )
      : null;
    return rows && Object.fromEntries(rows.map((r) => [r.name, r]));
  }
  async function runTraffic(fleet: SimFleet, seconds: number, perSecond: number): Promise<void> {
    await fleet.runUntilSettled(
      Promise.all(
        fleet.zones.map((zone) =>
          fleet.traffic({ zone, seconds, perSecond, name: `aims-${zone}-${fleet.world.now()}` }),
        ),
      ),
      300_000,
    );
  }

  test('distinguishes met from missed targets, and never counts unknown minutes as good', async () => {
    const fleet = createSimFleet(31);
    expect(await fleet.start()).toBe(true);
    await fleet.run(61_000);
    expect((await fetchReport(fleet))?.['summaries succeed']).toMatchObject({ state: 'unknown', attained: null });
    await runTraffic(fleet, 130, 3);
    const base = ((await fleet.operator(1, 'GET', '/v1/configuration')) as { value: { body: { version: number } } })
      .value.body.version;
    await fleet.operator(1, 'POST', '/v1/configuration/amend', {
      base,
      changes: [{ path: ['deployment', 'lineLimit'], value: 9 }],
    });
    await fleet.run(120_000 - (fleet.world.now() % 60_000));
    const underLightLoad = await fetchReport(fleet);
    expect(underLightLoad?.['summaries succeed']).toMatchObject({
      state: 'met',
      attained: 1,
      bad: 0,
      burnRate: 0,
      budgetLeft: 1,
      unknownMinutes: 0,
    });
    expect(underLightLoad?.['summaries succeed']?.events).toBeGreaterThan(100);
    expect([
      underLightLoad?.['first piece']?.state,
      underLightLoad?.['cards whole']?.state,
      underLightLoad?.['changes']?.state,
      underLightLoad?.['changes']?.events,
    ]).toEqual(['met', 'met', 'met', 1]);

    await runTraffic(fleet, 20, 60);
    await fleet.run(120_000 - (fleet.world.now() % 60_000));
    const underOverload = await fetchReport(fleet);
    expect(underOverload?.['summaries succeed']).toMatchObject({ state: 'missed', unknownMinutes: 0 });
    expect(underOverload?.['summaries succeed']?.burnRate).toBeGreaterThan(1);
    expect(underOverload?.['few are shed']?.state).toBe('missed');
    expect(underOverload?.['summaries succeed']?.budgetLeft).toBeLessThan(0);

    await fleet.run(180_000);
    await runTraffic(fleet, 60, 2);
    fleet.kill('proxy-hu-1-1');
    void fleet.startNode('proxy-hu-1-1');
    await fleet.run(70_000);
    const afterRestart = await fetchReport(fleet);
    expect(afterRestart?.['summaries succeed']).toMatchObject({ state: 'unknown', unknownOf: ['proxy-hu-1-1'] });
    expect(afterRestart?.['summaries succeed']?.unknownMinutes).toBeGreaterThan(0);
  });

  test('is null without a majority', async () => {
    const fleet = createSimFleet(32);
    expect(await fleet.start()).toBe(true);
    fleet.kill('controller-2');
    fleet.kill('controller-3');
    await fleet.run(5_000);
    expect(await fetchReport(fleet)).toBeNull();
  });
});
