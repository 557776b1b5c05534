/** `node tools/site.mjs soak`: seeded runs of a site of real processes, each in a process of its own. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { parseArgs } from 'node:util';
import { leave, onLeave, ROOT, run } from './children.mjs';

const OPTIONS = {
  seeds: { type: 'string' },
  seconds: { type: 'string', default: '40' },
  rate: { type: 'string', default: '60' },
  edges: { type: 'string', default: '1' },
  jobs: { type: 'string', default: '1' },
  only: { type: 'string' },
  out: { type: 'string', default: 'soak-out' },
  built: { type: 'boolean', default: false },
  help: { type: 'boolean', default: false },
};
const USE = `use: node tools/site.mjs soak --seeds A..B [options]
  --seconds N   length of a run (40)
  --rate N      requests a second (60)
  --edges N     proxies in each zone (1)
  --jobs N      runs at once (1)
  --only A,B    series to play, of: SERIES (all)
  --out FOLDER  where a run that did not hold leaves its timeline (soak-out)
  --built       the roles are built already
`;

function usage(series, fault = null) {
  process.stdout.write(`${fault === null ? '' : `${fault}\n`}${USE.replace('SERIES', series.join(', '))}`);
  return leave(fault === null ? 0 : 2);
}

/** The options as numbers and lists, or null with the fault told. */
async function read(args, series) {
  let values;
  try {
    ({ values } = parseArgs({ args, options: OPTIONS }));
  } catch (error) {
    return usage(series, error.message);
  }
  if (values.help) return usage(series);
  const range = /^(\d+)\.\.(\d+)$/.exec(values.seeds ?? '');
  if (!range || Number(range[1]) > Number(range[2])) return usage(series, '--seeds: expected A..B');
  for (const name of ['seconds', 'rate', 'edges', 'jobs'])
    if (!(Number(values[name]) >= 1)) return usage(series, `--${name}: expected a number from 1`);
  const only = values.only === undefined ? series : values.only.split(',');
  const unknown = only.filter((name) => !series.includes(name));
  if (unknown.length > 0) return usage(series, `--only: unknown ${unknown.join(', ')}`);
  return { ...values, from: Number(range[1]), to: Number(range[2]), only };
}

async function playOne(options, seed, playSoak) {
  let site = null;
  onLeave(() => site?.stop());
  const result = await playSoak({
    seed,
    forMs: Number(options.seconds) * 1_000,
    perS: Number(options.rate),
    edgesPerZone: Number(options.edges),
    only: options.only,
    root: ROOT,
    deployFile: join(ROOT, 'deploy/system.toml'),
    onSite: (started) => {
      site = started;
    },
  });
  const broken = result.rules.join(' ') || 'a process ended by itself';
  const lastLine = result.text.split('\n').at(-1);
  process.stdout.write(`seed ${seed}: ${result.held ? 'held' : `FAILED (${broken})`}. ${lastLine}\n`);
  if (result.held) return true;
  mkdirSync(options.out, { recursive: true });
  const file = resolve(options.out, `seed-${seed}.txt`);
  writeFileSync(file, result.timeline);
  process.stdout.write(`  timeline: ${file}\n`);
  return false;
}

/** Children play one seed each; the numbers that are given out rise. */
async function playAll(options) {
  let next = options.from;
  let failed = 0;
  async function job() {
    while (next <= options.to) {
      const seed = next++;
      const own = ['--seeds', `${seed}..${seed}`, '--built', '--only', options.only.join(',')];
      for (const name of ['seconds', 'rate', 'edges', 'out']) own.push(`--${name}`, options[name]);
      if ((await run(process.execPath, [join(ROOT, 'tools/site.mjs'), 'soak', ...own])) !== 0) failed += 1;
    }
  }
  await Promise.all(Array.from({ length: Number(options.jobs) }, job));
  const all = options.to - options.from + 1;
  process.stdout.write(`${all - failed} of ${all} seeds held.\n`);
  return failed === 0;
}

/** The command; ends the process. */
export async function soak(args, { SERIES, playSoak }) {
  const options = await read(args, SERIES);
  if (!options.built && (await run(process.execPath, ['platform/build.mjs'], { cwd: ROOT, stdio: 'inherit' })) !== 0)
    await leave(1);
  const held = options.from === options.to ? await playOne(options, options.from, playSoak) : await playAll(options);
  await leave(held ? 0 : 1);
}
