import { existsSync, statSync } from 'node:fs';
import { join } from 'node:path';
import { ROOT, run } from './children.mjs';

const LOCK_FILE = join(ROOT, 'package-lock.json');
const INSTALLED_LOCK_FILE = join(ROOT, 'node_modules/.package-lock.json');

export function isInstalled() {
  return existsSync(INSTALLED_LOCK_FILE) && statSync(INSTALLED_LOCK_FILE).mtimeMs >= statSync(LOCK_FILE).mtimeMs;
}

/** Installs the packages of the lock file if they are missing or older than that file. */
export async function install() {
  if (isInstalled()) return true;
  process.stdout.write('Installing the packages of package-lock.json.\n');
  return (
    (await run('npm', ['ci', '--no-fund', '--no-audit', '--loglevel=error'], { cwd: ROOT, stdio: 'inherit' })) === 0
  );
}
