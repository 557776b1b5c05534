/** Plays one soak run and checks it; a failed run gets a timeline for debugging. */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { createClock } from '../../src/transport/clock.js';
import { createRng } from '../../src/transport/rng.js';
import { reportOf } from '../report.js';
import { SMALL_SITE } from '../shape.js';
import { startSite } from '../site.js';
import type { Site } from '../site.js';
import { drawPlan } from './plan.js';
import type { Series } from './plan.js';
import { SoakRun } from './run.js';
import { timelineOf } from './timeline.js';

/** Options of a run; `perS` is the rate of requests, `only` the series that are played. */
export type SoakOptions = {
  readonly seed: number;
  readonly forMs: number;
  readonly perS: number;
  readonly edgesPerZone: number;
  readonly only: readonly Series[];
  readonly root: string;
  readonly deployFile: string;
  readonly onSite: (site: Site) => void;
};

/** The result of a run; `held`: no rule was violated and no process exited unexpectedly. `timeline` is empty then. */
export type SoakResult = {
  readonly held: boolean;
  readonly rules: readonly string[];
  readonly text: string;
  readonly timeline: string;
};

function failedStart(text: string, logs: ReadonlyMap<string, string> = new Map()): SoakResult {
  const parts = [text];
  for (const [name, log] of logs) parts.push(`== ${name}`, log);
  return { held: false, rules: [], text, timeline: parts.join('\n') };
}

/** The log of each process, by name. */
function logsByProcess(site: Site): ReadonlyMap<string, string> {
  const folder = join(site.folder, 'logs');
  return new Map(readdirSync(folder).map((name) => [name, readFileSync(join(folder, name), 'utf8')]));
}

/** Plays the run of one seed. */
export async function playSoak(options: SoakOptions): Promise<SoakResult> {
  const clock = createClock();
  const shape = { ...SMALL_SITE, edgesPerZone: options.edgesPerZone };
  const { root, deployFile } = options;
  const site = await startSite({ clock, rng: createRng(options.seed), root, deployFile, shape, ignoreRemovals: true });
  if (!site) return failedStart('No loopback network is free.');
  options.onSite(site);
  if (!(await site.waitUntilReady())) {
    const logs = logsByProcess(site);
    await site.stop();
    return failedStart('The site did not become ready.', logs);
  }
  const traffic = site.load({ perS: options.perS, forMs: options.forMs });
  await new SoakRun(site, clock, drawPlan(options.seed, options.forMs, options.only)).play();
  const report = reportOf(site, await traffic);
  const rules = [...new Set(report.violations.map((violation) => violation.rule))].sort();
  const held = rules.length === 0 && site.unexpectedExits().length === 0;
  const timeline = held ? '' : timelineOf(site.records.all(), report, logsByProcess(site));
  await site.stop();
  return { held, rules, text: report.text, timeline };
}
