import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { afterEach, describe, expect, test } from '@jest/globals';
import { createClock } from '../src/transport/clock.js';
import { createRng } from '../src/transport/rng.js';
import { brokenRules } from './check.js';
import { BOUNDS } from './facts.js';
import { reportOf } from './report.js';
import { documentOf, SMALL } from './shape.js';
import type { ModelRoute } from './document.js';
import { startSite } from './site.js';
import type { Site } from './site.js';

const ROOT = resolve('.');
const HASTY = { ...BOUNDS, contactMs: 200, drainCutoffMs: 300, evacuateWithinMs: 300, applyWithinMs: 300 };
let site: Site | null = null;
let folder = '';

afterEach(async () => {
  await site?.stop();
  rmSync(folder, { recursive: true, force: true });
});

async function started(careless: string): Promise<Site> {
  folder = mkdtempSync(join(tmpdir(), 'toy-'));
  const deployFile = join(folder, 'system.toml');
  const role = (name: string, on: string, serves: string): string =>
    `[roles.${name}]\nrun = "node standin-platform/toy.mjs ${name} ${careless}"\non = "${on}"\nshare = 1.0\nserves = ${serves}\n`;
  writeFileSync(
    deployFile,
    `build = "true"\n${role('edge', 'edge', '["edge"]')}${role('core', 'core', '["control_plane", "registry"]')}`,
  );
  site = await startSite({
    clock: createClock(),
    rng: createRng(11),
    root: ROOT,
    deployFile,
    shape: { ...SMALL, listLagMs: 50 },
  });
  if (!site) throw new Error('no site');
  expect(await site.up()).toBe(true);
  return site;
}

/** Once workers have broken off so many answers to run-once requests: those asked may still wait at a starved edge. */
function brokenOff(s: Site, count: number): Promise<unknown> {
  const visits = new Set<string>();
  let left = count;
  return s.records.until((rec) => {
    if (rec.what === 'arrived' && rec.path === '/book/2f') visits.add(rec.visit);
    if (rec.what === 'finished' && rec.end === 'brokenOff' && visits.has(rec.visit)) left -= 1;
    return left <= 0;
  });
}

async function troubled(s: Site): Promise<ReturnType<typeof reportOf>> {
  const loading = s.load({ perS: 60, forMs: 2_500 });
  const [llm, , web] = s.workers;
  if (!llm || !web) throw new Error('no workers');
  await s.records.until((r) => r.what === 'ran');
  for (const w of s.workers) w.worker.fault({ mode: 'lostAnswer', share: 0.6 });
  await s.asked(40);
  await Promise.race([brokenOff(s, 3), loading]);
  for (const w of s.workers) w.worker.fault({ mode: 'breakOff', share: 0.5 });
  await s.asked(20);
  await Promise.race([brokenOff(s, 5), loading]);
  for (const w of s.workers) w.worker.fault(null);
  s.drainWorker(llm, null);
  const moved = {
    ...SMALL,
    mappings: SMALL.mappings.map((m: ModelRoute) =>
      m.name === 'r-explain' ? { ...m, shares: [{ model: 'huvo11a', share: 1 }] } : m,
    ),
  };
  await s.operator.replace(documentOf(moved, 5), 1);
  await s.operator.evacuate('wien-2', true);
  const counts = await loading;
  await s.operator.read(1_000);
  return reportOf(s, counts, HASTY);
}

describe('a whole site of real processes, a toy system in the middle', () => {
  test('the judge holds its peace over a careful system, through faults', async () => {
    const s = await started('');
    const report = await troubled(s);
    expect(report.verdicts).toEqual([]);
    expect(report.served).toBeGreaterThan(report.asked * 0.5);
    expect(s.ownEnds()).toEqual([]);
  });

  test('the judge names each rule that a careless system breaks', async () => {
    const s = await started('homes retry body drain evacuation news config end');
    const report = await troubled(s);
    expect(brokenRules(report.verdicts)).toEqual(
      expect.arrayContaining(['CONFIG', 'DRAIN', 'EVAC', 'HOME', 'MIXED', 'ORDER', 'TWICE', 'UNASKED']),
    );
  });

  test('the judge names a false promise and a foreign model', async () => {
    const s = await started('promise model');
    const report = await troubled(s);
    expect(brokenRules(report.verdicts)).toEqual(expect.arrayContaining(['REFUSED', 'ROUTE']));
  });
});
