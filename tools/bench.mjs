#!/usr/bin/env node
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { createClient } from '../dist/client/client.js';
import { playScenario } from '../dist/sim/scenarios.js';
import { installShutdownHandlers, onShutdown, ROOT, runNodeScript, shutdown, stopFleet } from './children.mjs';
import { callerFigures, quantile, spread } from './figures.mjs';
import { SHAPES } from './shapes.mjs';

const FOLDER = join(ROOT, '.fleet-bench');
const [, , shapeName = 'kutfo', runsText = '3', secondsText = '15', rate = '8'] = process.argv;
if (!SHAPES[shapeName] || !(Number(runsText) > 0) || !(Number(secondsText) > 0)) {
  process.stderr.write(`use: npm run bench -- [${Object.keys(SHAPES).join('|')}] [runs] [seconds] [rate]\n`);
  process.exit(2);
}

async function fleet(args, extra = {}) {
  const env = { ...process.env, FLEET_FOLDER: FOLDER, FLEET_PORT: '23000', ...extra };
  const code = await runNodeScript(join(ROOT, 'tools/fleet.mjs'), args, {
    env,
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  if (code !== 0) throw new Error(`fleet ${args.join(' ')} left with ${code}`);
}

function journals() {
  const folder = join(FOLDER, 'journals');
  return readdirSync(folder).flatMap((f) =>
    readFileSync(join(folder, f), 'utf8')
      .split('\n')
      .filter(Boolean)
      .map((l) => JSON.parse(l)),
  );
}

async function claimCost(state, shape) {
  const client = createClient({ proxies: state.proxies.split(',') });
  const took = { once: [], again: [] };
  for (let i = 0; i < 40; i += 1) {
    for (const kind of i % 2 === 0 ? ['once', 'again'] : ['again', 'once']) {
      const from = performance.now();
      const got = await client.send({
        model: shape.fixed.model,
        parts: [{ hash: `p${i}${kind}`, tokens: 8 }],
        outputTokens: 8,
        repeatable: kind === 'again',
        key: `bench-${i}-${Date.now()}`,
      });
      if (got.ok) took[kind].push(performance.now() - from);
    }
  }
  return { once: quantile(took.once, 0.5), again: quantile(took.again, 0.5) };
}

async function inForce(state) {
  const core = state.core.split(',')[0];
  const took = [];
  for (let i = 0; i < 5; i += 1) {
    const { version } = await (await fetch(`http://${core}/v1/configuration`)).json();
    const from = performance.now();
    const res = await fetch(`http://${core}/v1/configuration/amend`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ base: version, changes: [{ path: ['deployment', 'lineLimit'], value: 64 + i }] }),
    });
    if (res.status === 200) took.push(performance.now() - from);
  }
  return quantile(took, 0.5);
}

async function one(without) {
  await fleet(['start', shapeName], without ? { FLEET_WITHOUT: without } : {});
  up = true;
  try {
    const state = JSON.parse(readFileSync(join(FOLDER, 'fleet.json'), 'utf8'));
    await fleet(['load', shapeName, secondsText, rate]);
    const figures = callerFigures(journals());
    const claim = await claimCost(state, SHAPES[shapeName]);
    return { ...figures, claimOnce: claim.once, claimAgain: claim.again, inForce: await inForce(state) };
  } finally {
    await fleet(['stop']);
    up = false;
  }
}

installShutdownHandlers();
let up = false;
onShutdown(() => (up ? stopFleet(FOLDER) : null));
const runs = { with: [], without: [] };
for (let i = 0; i < Number(runsText); i += 1) {
  for (const kind of i % 2 === 0 ? ['with', 'without'] : ['without', 'with'])
    runs[kind].push(await one(kind === 'with' ? null : 'prefix'));
}
function row(name, key, of = 'with') {
  process.stdout.write(`${name.padEnd(52)} ${spread(runs[of].map((r) => r[key]))}\n`);
}
process.stdout.write(
  `${shapeName}, ${runsText} runs of ${secondsText} s, ${rate}/s and zone; minimum / median / maximum\n`,
);
row('requests', 'asked');
row('success share', 'success');
row('shed share', 'shed');
row('retry share', 'retries');
row('time to first piece p50, ms', 'firstP50');
row('time to first piece p99, ms', 'firstP99');
row('whole stream p50, ms', 'wholeP50');
row('whole stream p99, ms', 'wholeP99');
row('run-once request p50, ms', 'onceP50');
row('run-once request p99, ms', 'onceP99');
row('prefix hit share', 'prefixHits');
row('prefix hit share without the prefix policy', 'prefixHits', 'without');
row('time to first piece p50 without it, ms', 'firstP50', 'without');
row('time to first piece p99 without it, ms', 'firstP99', 'without');
row('change in force (acknowledged), ms', 'inForce');
process.stdout.write(
  `${'run-once claim: p50 against the same, repeatable'.padEnd(52)} ${spread(runs.with.map((r) => r.claimOnce / r.claimAgain))}\n`,
);
process.stdout.write(
  `${'run-once claim: p50 more, ms'.padEnd(52)} ${spread(runs.with.map((r) => r.claimOnce - r.claimAgain))}\n`,
);
for (const name of ['allPowerLost', 'holderLost', 'diskLost', 'regionIsolated', 'reclaimedMidStream']) {
  const ends = [];
  for (let seed = 1; seed <= Number(runsText); seed += 1) ends.push(await playScenario(name, seed));
  process.stdout.write(`${`recovery, simulated: ${name}, ms`.padEnd(52)} ${spread(ends.map((e) => e.recoverMs))}\n`);
}
await shutdown(0);
