/** The command `node tools/site.mjs overload`: plays peers that do not behave, one case after the other. */
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { onShutdown, ROOT, run, shutdown } from './children.mjs';
import { classifyCase, findUnknownCases, loadKnownRed } from './known-red.mjs';

const OPTIONS = {
  built: { type: 'boolean', default: false },
  only: { type: 'string' },
  list: { type: 'boolean', default: false },
  help: { type: 'boolean', default: false },
};
const USAGE = `usage: node tools/site.mjs overload [options]
  --only TEXT   cases whose name contains the text (all)
  --list        print the names of the cases
  --built       skip the build of the roles
`;

function parseOptions(args) {
  try {
    return parseArgs({ args, options: OPTIONS }).values;
  } catch (error) {
    process.stdout.write(`${error.message}\n`);
    return null;
  }
}

/** Runs the command, then ends this process. */
export async function overload(args, { overloadCaseNames, runOverloadCases }) {
  const options = parseOptions(args);
  if (options === null || options.help) {
    process.stdout.write(USAGE);
    await shutdown(options === null ? 2 : 0);
  }
  const names = overloadCaseNames().filter((name) => name.includes(options.only ?? ''));
  if (options.list) {
    process.stdout.write(`${names.join('\n')}\n`);
    await shutdown(0);
  }
  const { known, errors } = loadKnownRed();
  errors.push(...findUnknownCases(known, overloadCaseNames()));
  for (const error of errors) process.stderr.write(`KNOWN-RED.txt: ${error}\n`);
  if (errors.length > 0) await shutdown(1);
  if (!options.built && (await run(process.execPath, ['platform/build.mjs'], { cwd: ROOT, stdio: 'inherit' })) !== 0)
    await shutdown(1);
  let site = null;
  onShutdown(() => site?.stop());
  const isPassed = await runOverloadCases({
    root: ROOT,
    deployFile: join(ROOT, 'deploy/system.toml'),
    names,
    onSite: (startedSite) => {
      site = startedSite;
    },
    classify: (name, failedChecks) => classifyCase(name, failedChecks, known),
    say: (text) => process.stdout.write(`${text}\n`),
  });
  await shutdown(isPassed ? 0 : 1);
}
