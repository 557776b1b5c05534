#!/usr/bin/env node
/** Measures the control traffic of simulated fleets of several sizes, and the delay of a configuration change. */
import { performance } from 'node:perf_hooks';
import { SMALL } from '../dist/sim/shapes.js';
import { createSimFleet } from '../dist/sim/sim-fleet.js';

const sizes = (process.argv[2] ?? '10,100,300').split(',').map(Number);
if (sizes.some((size) => !Number.isInteger(size) || size < 6)) {
  process.stderr.write('usage: node tools/scale.mjs [10,100,300]\n');
  process.exit(2);
}
process.stdout.write(
  '| nodes | workers | frames a node and second | bytes a node and second | HTTP calls a node and second | change in force, ms | place, µs | real s for one simulated |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n',
);
for (const nodes of sizes) {
  const proxiesPerZone = Math.floor((nodes - 3) / 3);
  const machinesPerZone = Math.max(3, Math.ceil(nodes / 6));
  const proxiesByZone = { 'hu-1': proxiesPerZone, 'at-1': proxiesPerZone, 'ro-1': proxiesPerZone };
  const configuration = structuredClone(SMALL.configuration);
  configuration.regions.hungary.models.summary.minTarget = machinesPerZone;
  configuration.regions.hungary.models.summary.maxTarget = 1000;
  const fleet = createSimFleet(1, {
    ...SMALL,
    proxies: proxiesByZone,
    machines: { 'hu-1': machinesPerZone, 'at-1': machinesPerZone, 'ro-1': machinesPerZone },
    configuration,
    ringFileBytes: 1048576,
  });
  if (!(await fleet.start())) throw new Error(`a fleet of ${nodes} nodes did not start`);
  await fleet.run(5_000);
  const loadBefore = fleet.load();
  const realStartMs = performance.now();
  await fleet.run(10_000);
  const realSPerSimulatedS = (performance.now() - realStartMs) / 10_000;
  const loadAfter = fleet.load();
  const { version } = (await fleet.operator(0, 'GET', '/v1/configuration')).value.body;
  const simulatedStartMs = fleet.world.now();
  const response = await fleet.operator(0, 'POST', '/v1/configuration/amend', {
    base: version,
    changes: [{ path: ['deployment', 'lineLimit'], value: 65 }],
  });
  const inForce =
    response.ok && response.value.status === 200
      ? (fleet.world.now() - simulatedStartMs).toFixed(0)
      : `not within 2800 (${response.ok ? response.value.status : response.error.tag})`;
  const placer = fleet.proxies[0].proxy;
  const request = { model: 'summary', inputTokens: 100, outputTokens: 10, parts: ['a', 'b', 'c'], repeatable: true };
  const startedAt = performance.now();
  let placements = 0;
  for (; placements < 500; placements += 1)
    placer.place({ ...request, parts: ['a', `b${placements % 20}`, `c${placements}`] });
  const placeUs = ((performance.now() - startedAt) * 1000) / placements;
  const perNodeAndSecond = (key) =>
    ((loadAfter[key] - loadBefore[key]) / 10 / (3 * proxiesPerZone + 3)).toFixed(key === 'bytes' ? 0 : 1);
  process.stdout.write(
    `| ${3 * proxiesPerZone + 3} | ${3 * machinesPerZone + 3} | ${perNodeAndSecond('frames')} | ${perNodeAndSecond('bytes')} | ${perNodeAndSecond('calls')} | ${inForce} | ${placeUs.toFixed(0)} | ${realSPerSimulatedS.toFixed(3)} |\n`,
  );
}
process.exit(0);
