#!/usr/bin/env node
/**
 * Measures latency, success, retries, prefix hits and the cost of claims on a fleet of real processes, in paired runs
 * with and without the prefix policy, and the recovery times of simulated scenarios.
 */
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
  process.stderr.write(`usage: npm run bench -- [${Object.keys(SHAPES).join('|')}] [runs] [seconds] [rate]\n`);
  process.exit(2);
}

async function runFleetCommand(args, extraEnv = {}) {
  const env = { ...process.env, FLEET_FOLDER: FOLDER, FLEET_PORT: '23000', ...extraEnv };
  const code = await runNodeScript(join(ROOT, 'tools/fleet.mjs'), args, {
    env,
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  if (code !== 0) throw new Error(`fleet ${args.join(' ')} exited with code ${code}`);
}

function readJournals() {
  const folder = join(FOLDER, 'journals');
  return readdirSync(folder).flatMap((fileName) =>
    readFileSync(join(folder, fileName), 'utf8')
      .split('\n')
      .filter(Boolean)
      .map((line) => JSON.parse(line)),
  );
}

async function measureClaimCost(state, shape) {
  const client = createClient({ proxies: state.proxies.split(',') });
  const durationsMs = { once: [], again: [] };
  for (let i = 0; i < 40; i += 1) {
    for (const kind of i % 2 === 0 ? ['once', 'again'] : ['again', 'once']) {
      const startedAt = performance.now();
      const result = await client.send({
        model: shape.fixed.model,
        parts: [{ hash: `p${i}${kind}`, tokens: 8 }],
        outputTokens: 8,
        repeatable: kind === 'again',
        key: `bench-${i}-${Date.now()}`,
      });
      if (result.ok) durationsMs[kind].push(performance.now() - startedAt);
    }
  }
  return { once: quantile(durationsMs.once, 0.5), again: quantile(durationsMs.again, 0.5) };
}

async function measureChangeInForce(state) {
  const controller = state.core.split(',')[0];
  const durationsMs = [];
  for (let i = 0; i < 5; i += 1) {
    const { version } = await (await fetch(`http://${controller}/v1/configuration`)).json();
    const startedAt = performance.now();
    const response = await fetch(`http://${controller}/v1/configuration/amend`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ base: version, changes: [{ path: ['deployment', 'lineLimit'], value: 64 + i }] }),
    });
    if (response.status === 200) durationsMs.push(performance.now() - startedAt);
  }
  return quantile(durationsMs, 0.5);
}

async function runOnce(withoutPolicy) {
  await runFleetCommand(['start', shapeName], withoutPolicy ? { FLEET_WITHOUT: withoutPolicy } : {});
  isFleetUp = true;
  try {
    const state = JSON.parse(readFileSync(join(FOLDER, 'fleet.json'), 'utf8'));
    await runFleetCommand(['load', shapeName, secondsText, rate]);
    const figures = callerFigures(readJournals());
    const claim = await measureClaimCost(state, SHAPES[shapeName]);
    return { ...figures, claimOnce: claim.once, claimAgain: claim.again, inForce: await measureChangeInForce(state) };
  } finally {
    await runFleetCommand(['stop']);
    isFleetUp = false;
  }
}

installShutdownHandlers();
let isFleetUp = false;
onShutdown(() => (isFleetUp ? stopFleet(FOLDER) : null));
const runs = { with: [], without: [] };
for (let i = 0; i < Number(runsText); i += 1) {
  for (const kind of i % 2 === 0 ? ['with', 'without'] : ['without', 'with'])
    runs[kind].push(await runOnce(kind === 'with' ? null : 'prefix'));
}
function printRow(name, key, kind = 'with') {
  process.stdout.write(`${name.padEnd(52)} ${spread(runs[kind].map((r) => r[key]))}\n`);
}
process.stdout.write(
  `${shapeName}, ${runsText} runs of ${secondsText} s, ${rate} requests per second and zone; minimum / median / maximum\n`,
);
printRow('requests', 'asked');
printRow('success share', 'success');
printRow('shed share', 'shed');
printRow('retry share', 'retries');
printRow('time to first piece p50, ms', 'firstP50');
printRow('time to first piece p99, ms', 'firstP99');
printRow('whole stream p50, ms', 'wholeP50');
printRow('whole stream p99, ms', 'wholeP99');
printRow('run-once request p50, ms', 'onceP50');
printRow('run-once request p99, ms', 'onceP99');
printRow('prefix hit share', 'prefixHits');
printRow('prefix hit share without the prefix policy', 'prefixHits', 'without');
printRow('time to first piece p50 without it, ms', 'firstP50', 'without');
printRow('time to first piece p99 without it, ms', 'firstP99', 'without');
printRow('change in force (acknowledged), ms', 'inForce');
process.stdout.write(
  `${'run-once claim: p50 against the same, repeatable'.padEnd(52)} ${spread(runs.with.map((r) => r.claimOnce / r.claimAgain))}\n`,
);
process.stdout.write(
  `${'run-once claim: p50 more, ms'.padEnd(52)} ${spread(runs.with.map((r) => r.claimOnce - r.claimAgain))}\n`,
);
for (const name of ['allPowerLost', 'holderLost', 'diskLost', 'regionIsolated', 'reclaimedMidStream']) {
  const results = [];
  for (let seed = 1; seed <= Number(runsText); seed += 1) results.push(await playScenario(name, seed));
  process.stdout.write(
    `${`recovery, simulated: ${name}, ms`.padEnd(52)} ${spread(results.map((result) => result.recoverMs))}\n`,
  );
}
await shutdown(0);
