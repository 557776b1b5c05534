/**
 * Finds the test files whose verdict hangs on real time: they use processes, sockets or the machine's clock. All
 * others run in simulated time, or none, and may share the machine with as many as it has cores.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { ROOT } from './children.mjs';

const FOLDERS = ['src', 'platform', 'standin-platform', 'tools'];
const TEST_FILE = /\.test\.(ts|mjs)$/;
const REAL_MODULES = /from 'node:(child_process|http|net)'/;
const REAL_FACTORIES =
  /\bcreate(Clock|TcpWire|GotHttpClient|ExpressHttpServer|OpaqueHttpServer|ConnectionPool|ListReader)\(/;

/** Whether a test with this text uses processes, sockets or the machine's clock itself. */
export function usesRealTime(text) {
  return REAL_MODULES.test(text) || REAL_FACTORIES.test(text);
}

/** Paths from the root, sorted, of all tests in real time. */
export function realTimeTests(root = ROOT) {
  const found = [];
  for (const folder of FOLDERS) {
    for (const file of readdirSync(join(root, folder), { recursive: true, encoding: 'utf8' })) {
      const path = join(folder, file);
      if (TEST_FILE.test(path) && usesRealTime(readFileSync(join(root, path), 'utf8'))) found.push(path);
    }
  }
  return found.sort();
}

/** A pattern for jest that fits this path alone. */
export function patternOf(path) {
  return `/${path.replaceAll('.', '\\.')}$`;
}
