import { existsSync, statSync } from 'node:fs';
import { join } from 'node:path';
import { ROOT, run } from './children.mjs';

const LOCK = join(ROOT, 'package-lock.json');
const DONE = join(ROOT, 'node_modules/.package-lock.json');

export function isInstalled() {
  return existsSync(DONE) && statSync(DONE).mtimeMs >= statSync(LOCK).mtimeMs;
}

/** Installs the locked packages where they are missing or older than the lock. */
export async function install() {
  if (isInstalled()) return true;
  process.stdout.write('Installing the packages of package-lock.json.\n');
  return (
    (await run('npm', ['ci', '--no-fund', '--no-audit', '--loglevel=error'], { cwd: ROOT, stdio: 'inherit' })) === 0
  );
}
