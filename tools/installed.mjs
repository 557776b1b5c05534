import { missingPackages } from '../platform/installed.mjs';
import { ROOT, run } from './children.mjs';

export function isInstalled() {
  return missingPackages(ROOT).length === 0;
}

/** Installs the packages of the lock file if some are missing. */
export async function install() {
  if (isInstalled()) return true;
  process.stdout.write('Installing the packages of package-lock.json.\n');
  return (
    (await run('npm', ['ci', '--no-fund', '--no-audit', '--loglevel=error'], { cwd: ROOT, stdio: 'inherit' })) === 0
  );
}
