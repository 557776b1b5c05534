// Measures how long lagging nodes take to catch up over slow links in the simulator.
// Run it with: npm run build && node tools/catch-up.mjs
import { controllerBehind, proxyBehind } from '../dist/sim/lag-scenarios.js';

const SEEDS = [1, 2, 3];
const LAGS = [
  { orders: 0, changes: 10 },
  { orders: 0, changes: 100 },
  { orders: 0, changes: 1_000 },
  { orders: 2_000, changes: 10 },
  { orders: 2_000, changes: 100 },
  { orders: 2_000, changes: 1_000 },
];
const MEASUREMENTS = {
  controller: (seed, lag) => controllerBehind(seed, lag),
  'proxy cut off': (seed, lag) => proxyBehind(seed, lag, false),
  'proxy begun anew': (seed, lag) => proxyBehind(seed, lag, true),
};

console.log('| node | orders | changes | whole after, ms (seeds 1..3) | bytes on all links | state, bytes |');
console.log('| --- | --- | --- | --- | --- | --- |');
for (const [name, measure] of Object.entries(MEASUREMENTS)) {
  for (const lag of LAGS) {
    const results = [];
    for (const seed of SEEDS) results.push(await measure(seed, lag));
    const ms = results.map((result) => (result.ms === null ? 'never' : result.ms)).join(' / ');
    console.log(
      `| ${name} | ${lag.orders} | ${lag.changes} | ${ms} | ${results[1].bytes} | ${results[1].stateBytes} |`,
    );
  }
}
