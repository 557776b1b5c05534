/** The command `node tools/site.mjs soak`: plays seeded runs of a site of real processes, each in its own process. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { parseArgs } from 'node:util';
import { onShutdown, ROOT, run, shutdown } from './children.mjs';

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
const USAGE = `usage: node tools/site.mjs soak --seeds A..B [options]
  --seconds N   length of a run (40)
  --rate N      requests a second (60)
  --edges N     proxies in each zone (1)
  --jobs N      concurrent runs (1)
  --only A,B    series to play, of: SERIES (all)
  --out FOLDER  where a failed run writes its timeline (soak-out)
  --built       skip the build of the roles
`;

function usage(series, errorMessage = null) {
  process.stdout.write(
    `${errorMessage === null ? '' : `${errorMessage}\n`}${USAGE.replace('SERIES', series.join(', '))}`,
  );
  return shutdown(errorMessage === null ? 0 : 2);
}

/** Parses and checks the options. Prints the usage and ends the process if they are invalid or ask for help. */
async function parseOptions(args, series) {
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
    if (!(Number(values[name]) >= 1)) return usage(series, `--${name}: expected a number of at least 1`);
  const only = values.only === undefined ? series : values.only.split(',');
  const unknown = only.filter((name) => !series.includes(name));
  if (unknown.length > 0) return usage(series, `--only: unknown ${unknown.join(', ')}`);
  return { ...values, from: Number(range[1]), to: Number(range[2]), only };
}

async function runSeed(options, seed, playSoak) {
  let site = null;
  onShutdown(() => site?.stop());
  const result = await playSoak({
    seed,
    forMs: Number(options.seconds) * 1_000,
    perS: Number(options.rate),
    edgesPerZone: Number(options.edges),
    only: options.only,
    root: ROOT,
    deployFile: join(ROOT, 'deploy/system.toml'),
    onSite: (startedSite) => {
      site = startedSite;
    },
  });
  const reason = result.rules.join(' ') || 'a process exited unexpectedly';
  const lastLine = result.text.split('\n').at(-1);
  process.stdout.write(`seed ${seed}: ${result.held ? 'held' : `FAILED (${reason})`}. ${lastLine}\n`);
  if (result.held) return true;
  mkdirSync(options.out, { recursive: true });
  const file = resolve(options.out, `seed-${seed}.txt`);
  writeFileSync(file, result.timeline);
  process.stdout.write(`  timeline: ${file}\n`);
  return false;
}

/** Plays each seed in a child process of its own, in ascending order of the seeds. */
async function runSeeds(options) {
  let nextSeed = options.from;
  let failed = 0;
  async function runNextSeeds() {
    while (nextSeed <= options.to) {
      const seed = nextSeed++;
      const childArgs = ['--seeds', `${seed}..${seed}`, '--built', '--only', options.only.join(',')];
      for (const name of ['seconds', 'rate', 'edges', 'out']) childArgs.push(`--${name}`, options[name]);
      if ((await run(process.execPath, [join(ROOT, 'tools/site.mjs'), 'soak', ...childArgs])) !== 0) failed += 1;
    }
  }
  await Promise.all(Array.from({ length: Number(options.jobs) }, runNextSeeds));
  const seedCount = options.to - options.from + 1;
  process.stdout.write(`${seedCount - failed} of ${seedCount} seeds held.\n`);
  return failed === 0;
}

/** Runs the command, then ends this process. */
export async function soak(args, { SERIES, playSoak }) {
  const options = await parseOptions(args, SERIES);
  if (!options.built && (await run(process.execPath, ['platform/build.mjs'], { cwd: ROOT, stdio: 'inherit' })) !== 0)
    await shutdown(1);
  const allHeld =
    options.from === options.to ? await runSeed(options, options.from, playSoak) : await runSeeds(options);
  await shutdown(allHeld ? 0 : 1);
}
