/**
 * Finds the test files whose outcome depends on real time: they use processes, sockets or the system clock. All other
 * tests use simulated time or no time at all, and may run in parallel, one on each core.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { ROOT } from './children.mjs';

const FOLDERS = ['src', 'platform', 'standin-platform', 'tools'];
const TEST_FILE = /\.test\.(ts|mjs)$/;
const REAL_TIME_IMPORTS = /from 'node:(child_process|http|net)'/;
const REAL_TIME_FACTORIES =
  /\b(create(Clock|TcpWire|GotHttpClient|ExpressHttpServer|OpaqueHttpServer|ConnectionPool|ListReader)|new RoleProcesses)\(/;

/** Returns whether the source of a test uses processes, sockets or the system clock directly. */
export function usesRealTime(text) {
  return REAL_TIME_IMPORTS.test(text) || REAL_TIME_FACTORIES.test(text);
}

/** Returns the sorted paths of all real-time tests, relative to the root. */
export function realTimeTests(root = ROOT) {
  const paths = [];
  for (const folder of FOLDERS) {
    for (const file of readdirSync(join(root, folder), { recursive: true, encoding: 'utf8' })) {
      const path = join(folder, file);
      if (TEST_FILE.test(path) && usesRealTime(readFileSync(join(root, path), 'utf8'))) paths.push(path);
    }
  }
  return paths.sort();
}

/** Returns a jest path pattern that matches only this path. */
export function exactPathPattern(path) {
  return `/${path.replaceAll('.', '\\.')}$`;
}
