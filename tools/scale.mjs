#!/usr/bin/env node
import { performance } from 'node:perf_hooks';
import { SMALL } from '../dist/sim/shapes.js';
import { createSimFleet } from '../dist/sim/sim-fleet.js';

const sizes = (process.argv[2] ?? '10,100,300').split(',').map(Number);
if (sizes.some((n) => !Number.isInteger(n) || n < 6)) {
  process.stderr.write('use: node tools/scale.mjs [10,100,300]\n');
  process.exit(2);
}
process.stdout.write(
  '| nodes | workers | frames a node and second | bytes a node and second | HTTP calls a node and second | change in force, ms | place, µs | real s for one simulated |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n',
);
for (const nodes of sizes) {
  const each = Math.floor((nodes - 3) / 3);
  const machines = Math.max(3, Math.ceil(nodes / 6));
  const spread = { 'hu-1': each, 'at-1': each, 'ro-1': each };
  const configuration = structuredClone(SMALL.configuration);
  configuration.regions.hungary.models.summary.minTarget = machines;
  configuration.regions.hungary.models.summary.maxTarget = 1000;
  const fleet = createSimFleet(1, {
    ...SMALL,
    proxies: spread,
    machines: { 'hu-1': machines, 'at-1': machines, 'ro-1': machines },
    configuration,
    ringFileBytes: 1048576,
  });
  if (!(await fleet.start())) throw new Error(`a fleet of ${nodes} did not start`);
  await fleet.run(5_000);
  const before = fleet.load();
  const real = performance.now();
  await fleet.run(10_000);
  const took = (performance.now() - real) / 10_000;
  const after = fleet.load();
  const { version } = (await fleet.operator(0, 'GET', '/v1/configuration')).value.body;
  const from = fleet.world.now();
  const got = await fleet.operator(0, 'POST', '/v1/configuration/amend', {
    base: version,
    changes: [{ path: ['deployment', 'lineLimit'], value: 65 }],
  });
  const inForce =
    got.ok && got.value.status === 200
      ? (fleet.world.now() - from).toFixed(0)
      : `not within 2800 (${got.ok ? got.value.status : got.error.tag})`;
  const placer = fleet.proxies[0].proxy;
  const ask = { model: 'summary', inputTokens: 100, outputTokens: 10, parts: ['a', 'b', 'c'], repeatable: true };
  const start = performance.now();
  let n = 0;
  for (; n < 500; n += 1) placer.place({ ...ask, parts: ['a', `b${n % 20}`, `c${n}`] });
  const placeUs = ((performance.now() - start) * 1000) / n;
  const per = (key) => ((after[key] - before[key]) / 10 / (3 * each + 3)).toFixed(key === 'bytes' ? 0 : 1);
  process.stdout.write(
    `| ${3 * each + 3} | ${3 * machines + 3} | ${per('frames')} | ${per('bytes')} | ${per('calls')} | ${inForce} | ${placeUs.toFixed(0)} | ${took.toFixed(3)} |\n`,
  );
}
process.exit(0);
