import { afterAll, afterEach, beforeAll, describe, expect, test } from '@jest/globals';
import { execFileSync, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { createInterface } from 'node:readline';
import { pathToFileURL } from 'node:url';

const FOREVER = 'setInterval(() => {}, 1000)';
const DEAF = `process.on('SIGTERM', () => {}); process.on('SIGINT', () => {}); process.stdout.write('up\\n'); ${FOREVER}`;
let folder = '';
let tool = '';
let left = '';
const seen = [];

beforeAll(() => {
  folder = mkdtempSync(join(tmpdir(), 'millfield-'));
  tool = join(folder, 'tool.mjs');
  left = join(folder, 'left');
  writeFileSync(
    tool,
    `import { writeFileSync } from 'node:fs';
import { leave, leaveWhenCut, onLeave, startChild } from ${JSON.stringify(pathToFileURL(resolve('tools/children.mjs')).href)};
leaveWhenCut(200);
onLeave(() => writeFileSync(${JSON.stringify(left)}, 'left'));
const plain = startChild(process.execPath, ['-e', ${JSON.stringify(FOREVER)}]);
const deaf = startChild(process.execPath, ['-e', ${JSON.stringify(DEAF)}], { stdio: ['ignore', 'pipe', 'ignore'] });
deaf.stdout.once('data', () => {
  process.stdout.write([process.pid, plain.pid, deaf.pid].join(' ') + '\\n');
  if (process.argv[2] === 'ends') void leave(0);
  if (process.argv[2] === 'fails') throw new Error('on purpose');
  setInterval(() => process.stdout.write('still at it\\n'), 20);
});
`,
  );
});
afterEach(() => {
  for (const pid of running(seen.splice(0))) process.kill(pid, 'SIGKILL');
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
function taken() {
  const text = readFileSync(left, 'utf8');
  rmSync(left);
  return text;
}
function pidsOf(line) {
  const pids = line.split(' ').map(Number);
  expect(pids).toHaveLength(3);
  seen.push(...pids);
  return pids;
}

describe('a tool with children, one of them deaf to SIGTERM', () => {
  test.each(['SIGINT', 'SIGTERM', 'SIGHUP'])('leaves none of them running on %s, and cleans up', async (sig) => {
    const child = spawn(process.execPath, [tool], { stdio: ['ignore', 'pipe', 'inherit'] });
    const exit = once(child, 'exit');
    const [line] = await once(createInterface(child.stdout), 'line');
    const pids = pidsOf(line);
    expect(running(pids)).toEqual(pids);
    child.kill(sig);
    expect((await exit)[0]).toBeGreaterThan(128);
    expect(running(pids)).toEqual([]);
    expect(taken()).toBe('left');
  });

  test('leaves none of them running when its output is cut off', () => {
    const line = execFileSync('sh', ['-c', `"${process.execPath}" "${tool}" | head -n 1`], { encoding: 'utf8' });
    expect(running(pidsOf(line.trim()))).toEqual([]);
    expect(taken()).toBe('left');
  });

  test('leaves none of them running when the shell between npm and it is killed', async () => {
    const shell = spawn('sh', ['-c', `"${process.execPath}" "${tool}"; true`], {
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
    expect(taken()).toBe('left');
  });

  test.each([
    ['ends', 0],
    ['fails', 1],
  ])('leaves none of them running when it %s', async (how, code) => {
    const child = spawn(process.execPath, [tool, how], { stdio: ['ignore', 'pipe', 'ignore'] });
    const exit = once(child, 'exit');
    const [line] = await once(createInterface(child.stdout), 'line');
    expect((await exit)[0]).toBe(code);
    expect(running(pidsOf(line))).toEqual([]);
    expect(taken()).toBe('left');
  });
});
