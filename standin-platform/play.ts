import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import type { Clock } from '../src/transport/clock.js';
import type { Rng } from '../src/transport/rng.js';
import { BOUNDS } from './facts.js';
import { reportOf } from './report.js';
import type { SiteReport } from './report.js';
import type { Scenario } from './scenarios.js';
import { SMALL } from './shape.js';
import { startSite } from './site.js';
import type { Site } from './site.js';

export type PlayDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly root: string;
  readonly deployFile: string;
  readonly perS: number;
  readonly onSite: (site: Site) => void;
};

export type Played = { readonly report: SiteReport | null; readonly text: string; readonly good: boolean };

export async function playScenario(scenario: Scenario, deps: PlayDeps): Promise<Played> {
  const site = await startSite({ ...deps, shape: SMALL });
  if (!site) return { report: null, text: 'No loopback net is free.', good: false };
  deps.onSite(site);
  if (!(await site.up())) {
    const text = `The site did not come up.\n${lastLogs(site)}`;
    await site.stop();
    return { report: null, text, good: false };
  }
  const loading = site.load({ perS: deps.perS * (scenario.haste ?? 1), forMs: scenario.forMs });
  await scenario.play(site);
  const counts = await loading;
  await site.operator.read(BOUNDS.contactMs);
  const report = reportOf(site, counts);
  const good =
    report.verdicts.length === 0 && report.served >= report.asked * scenario.leastServed && site.ownEnds().length === 0;
  const text = `${scenario.name}: ${scenario.fault}; never ${scenario.never}\n${report.text}\n${report.served} of ${report.asked} served, ${Math.ceil(report.asked * scenario.leastServed)} due.${good ? '' : `\n${lastLogs(site)}`}`;
  await site.stop();
  return { report, text, good };
}

function lastLogs(site: Site): string {
  const folder = join(site.folder, 'logs');
  const out: string[] = [];
  for (const name of readdirSync(folder)) {
    const lines = readFileSync(join(folder, name), 'utf8').trimEnd().split('\n');
    out.push(`-- ${name}`, ...lines.slice(-8));
  }
  return out.join('\n');
}
