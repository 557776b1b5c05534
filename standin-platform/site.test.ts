import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { afterEach, describe, expect, test } from '@jest/globals';
import { createClock } from '../src/transport/clock.js';
import { createRng } from '../src/transport/rng.js';
import { brokenRules } from './check.js';
import { BOUNDS } from './facts.js';
import { reportOf } from './report.js';
import { configurationOf, SMALL_SITE } from './shape.js';
import type { ModelRoute } from './document.js';
import { startSite } from './site.js';
import type { Site } from './site.js';

const ROOT = resolve('.');
const SHORT_BOUNDS = { ...BOUNDS, contactMs: 200, drainCutoffMs: 300, evacuateWithinMs: 300, applyWithinMs: 300 };
let site: Site | null = null;
let folder = '';

afterEach(async () => {
  await site?.stop();
  rmSync(folder, { recursive: true, force: true });
});

async function startToySite(defects: string): Promise<Site> {
  folder = mkdtempSync(join(tmpdir(), 'toy-'));
  const deployFile = join(folder, 'system.toml');
  const role = (name: string, on: string, serves: string): string =>
    `[roles.${name}]\nrun = "node standin-platform/toy.mjs ${name} ${defects}"\non = "${on}"\nshare = 1.0\nserves = ${serves}\n`;
  writeFileSync(
    deployFile,
    `build = "true"\n${role('edge', 'edge', '["edge"]')}${role('core', 'core', '["control_plane", "registry"]')}`,
  );
  site = await startSite({
    clock: createClock(),
    rng: createRng(11),
    root: ROOT,
    deployFile,
    shape: { ...SMALL_SITE, listLagMs: 50 },
  });
  if (!site) throw new Error('no loopback network is free');
  expect(await site.waitUntilReady()).toBe(true);
  return site;
}

/**
 * Resolves once workers have truncated this many responses to run-once requests. Counting sent requests is not enough:
 * a proxy that gets little CPU time may not have passed them on yet.
 */
function waitForTruncatedResponses(s: Site, count: number): Promise<unknown> {
  const visits = new Set<string>();
  let remaining = count;
  return s.records.until((rec) => {
    if (rec.what === 'arrived' && rec.path === '/book/2f') visits.add(rec.visit);
    if (rec.what === 'finished' && rec.end === 'brokenOff' && visits.has(rec.visit)) remaining -= 1;
    return remaining <= 0;
  });
}

async function playWithFaults(s: Site): Promise<ReturnType<typeof reportOf>> {
  const traffic = s.load({ perS: 60, forMs: 2_500 });
  const [llm, , web] = s.workers;
  if (!llm || !web) throw new Error('the site has too few workers');
  await s.records.until((r) => r.what === 'ran');
  for (const w of s.workers) w.worker.fault({ mode: 'lostAnswer', share: 0.6 });
  await s.asked(40);
  await Promise.race([waitForTruncatedResponses(s, 3), traffic]);
  for (const w of s.workers) w.worker.fault({ mode: 'breakOff', share: 0.5 });
  await s.asked(20);
  await Promise.race([waitForTruncatedResponses(s, 5), traffic]);
  for (const w of s.workers) w.worker.fault(null);
  s.drainWorker(llm, null);
  const rerouted = {
    ...SMALL_SITE,
    mappings: SMALL_SITE.mappings.map((m: ModelRoute) =>
      m.name === 'r-explain' ? { ...m, shares: [{ model: 'huvo11a', share: 1 }] } : m,
    ),
  };
  await s.operator.replace(configurationOf(rerouted, 5), 1);
  await s.operator.evacuate('wien-2', true);
  const counts = await traffic;
  await s.operator.read(1_000);
  return reportOf(s, counts, SHORT_BOUNDS);
}

describe('a site of real processes around a toy system', () => {
  test('no violation is reported for a correct system, even under faults', async () => {
    const s = await startToySite('');
    const report = await playWithFaults(s);
    expect(report.violations).toEqual([]);
    expect(report.served).toBeGreaterThan(report.asked * 0.5);
    expect(s.unexpectedExits()).toEqual([]);
  });

  test('each rule that a defective system violates is reported', async () => {
    const s = await startToySite('homes retry body drain evacuation news config end');
    const report = await playWithFaults(s);
    expect(brokenRules(report.violations)).toEqual(
      expect.arrayContaining(['CONFIG', 'DRAIN', 'EVAC', 'HOME', 'MIXED', 'ORDER', 'TWICE', 'UNASKED']),
    );
  });

  test('a 503 for a request that ran and a run on the wrong model are reported', async () => {
    const s = await startToySite('promise model');
    const report = await playWithFaults(s);
    expect(brokenRules(report.violations)).toEqual(expect.arrayContaining(['REFUSED', 'ROUTE']));
  });
});
