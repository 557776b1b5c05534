import { afterAll, afterEach, beforeAll, describe, expect, test } from '@jest/globals';
import { execFileSync, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { createInterface } from 'node:readline';
import { pathToFileURL } from 'node:url';

const RUN_FOREVER = 'setInterval(() => {}, 1000)';
const IGNORE_SIGNALS = `process.on('SIGTERM', () => {}); process.on('SIGINT', () => {}); process.stdout.write('up\\n'); ${RUN_FOREVER}`;
let folder = '';
let toolPath = '';
let cleanupMarker = '';
const startedPids = [];

beforeAll(() => {
  folder = mkdtempSync(join(tmpdir(), 'millfield-'));
  toolPath = join(folder, 'tool.mjs');
  cleanupMarker = join(folder, 'cleaned-up');
  writeFileSync(
    toolPath,
    `import { writeFileSync } from 'node:fs';
import { installShutdownHandlers, onShutdown, shutdown, startChild } from ${JSON.stringify(pathToFileURL(resolve('tools/children.mjs')).href)};
installShutdownHandlers(200);
onShutdown(() => writeFileSync(${JSON.stringify(cleanupMarker)}, 'cleaned up'));
const ordinary = startChild(process.execPath, ['-e', ${JSON.stringify(RUN_FOREVER)}]);
const ignoring = startChild(process.execPath, ['-e', ${JSON.stringify(IGNORE_SIGNALS)}], { stdio: ['ignore', 'pipe', 'ignore'] });
ignoring.stdout.once('data', () => {
  process.stdout.write([process.pid, ordinary.pid, ignoring.pid].join(' ') + '\\n');
  if (process.argv[2] === 'ends') void shutdown(0);
  if (process.argv[2] === 'fails') throw new Error('on purpose');
  setInterval(() => process.stdout.write('working\\n'), 20);
});
`,
  );
});
afterEach(() => {
  for (const pid of running(startedPids.splice(0))) process.kill(pid, 'SIGKILL');
});
afterAll(() => rmSync(folder, { recursive: true, force: true }));

function running(pids) {
  return pids.filter((pid) => {
    try {
      return process.kill(pid, 0);
    } catch {
      return false;
    }
  });
}
function takeCleanupMarker() {
  const text = readFileSync(cleanupMarker, 'utf8');
  rmSync(cleanupMarker);
  return text;
}
function pidsOf(line) {
  const pids = line.split(' ').map(Number);
  expect(pids).toHaveLength(3);
  startedPids.push(...pids);
  return pids;
}

describe('a tool with two child processes, one of which ignores SIGTERM', () => {
  test.each(['SIGINT', 'SIGTERM', 'SIGHUP'])(
    'stops all of them on %s and runs its shutdown callbacks',
    async (signal) => {
      const child = spawn(process.execPath, [toolPath], { stdio: ['ignore', 'pipe', 'inherit'] });
      const exit = once(child, 'exit');
      const [line] = await once(createInterface(child.stdout), 'line');
      const pids = pidsOf(line);
      expect(running(pids)).toEqual(pids);
      child.kill(signal);
      expect((await exit)[0]).toBeGreaterThan(128);
      expect(running(pids)).toEqual([]);
      expect(takeCleanupMarker()).toBe('cleaned up');
    },
  );

  test('stops all of them when its output pipe is closed', () => {
    const line = execFileSync('sh', ['-c', `"${process.execPath}" "${toolPath}" | head -n 1`], { encoding: 'utf8' });
    expect(running(pidsOf(line.trim()))).toEqual([]);
    expect(takeCleanupMarker()).toBe('cleaned up');
  });

  test('stops all of them when the shell between npm and the tool is killed', async () => {
    const shell = spawn('sh', ['-c', `"${process.execPath}" "${toolPath}"; true`], {
      stdio: ['ignore', 'pipe', 'inherit'],
      env: { ...process.env, npm_lifecycle_event: 'demo' },
    });
    const lines = createInterface(shell.stdout);
    const [line] = await once(lines, 'line');
    const pids = pidsOf(line);
    const closed = once(lines, 'close');
    shell.kill('SIGKILL');
    await closed;
    const [, ...children] = pids;
    expect(running(children)).toEqual([]);
    expect(takeCleanupMarker()).toBe('cleaned up');
  });

  test.each([
    ['ends', 0],
    ['fails', 1],
  ])('stops all of them when it %s', async (mode, code) => {
    const child = spawn(process.execPath, [toolPath, mode], { stdio: ['ignore', 'pipe', 'ignore'] });
    const exit = once(child, 'exit');
    const [line] = await once(createInterface(child.stdout), 'line');
    expect((await exit)[0]).toBe(code);
    expect(running(pidsOf(line))).toEqual([]);
    expect(takeCleanupMarker()).toBe('cleaned up');
  });
});
