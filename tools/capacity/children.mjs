import { spawn } from 'node:child_process';
import { openSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

const TICKS_A_SECOND = 100;
const MEMORY_LIMIT = 8 * 1024 ** 3;
const PROCESSES_LIMIT = 100;

export function createChildren(bin, folder, profile) {
  const running = new Map();
  let ending = null;

  function start(child) {
    if (running.size >= PROCESSES_LIMIT) throw new Error(`more than ${PROCESSES_LIMIT} processes`);
    const out = openSync(join(folder, `${child.name}.log`), 'a');
    const flags = profile
      ? [
          '--cpu-prof',
          `--cpu-prof-dir=${folder}`,
          `--cpu-prof-name=${child.name}.cpuprofile`,
          '--cpu-prof-interval',
          '1000',
        ]
      : [];
    const small = child.role === 'controller' ? [] : ['--max-old-space-size=320', '--max-semi-space-size=8'];
    const proc = spawn(process.execPath, [...flags, ...small, bin, ...child.args], { stdio: ['pipe', out, out] });
    proc.stdin.on('error', () => {});
    const held = { ...child, proc, pid: proc.pid, gone: false };
    proc.on('exit', () => {
      held.gone = true;
      running.delete(child.name);
    });
    running.set(child.name, held);
    return held;
  }

  function tell(child, line) {
    if (!child.gone) child.proc.stdin.write(`${line}\n`);
  }

  function end() {
    ending ??= endAll();
    return ending;
  }
  async function endAll() {
    const left = [...running.values()];
    for (const c of left) c.proc.kill('SIGTERM');
    for (let i = 0; i < 100 && left.some((c) => !c.gone); i += 1) await sleep(100);
    for (const c of left) if (!c.gone) c.proc.kill('SIGKILL');
    for (let i = 0; i < 20 && left.some((c) => !c.gone); i += 1) await sleep(100);
  }
  function endAtOnce() {
    for (const c of running.values()) c.proc.kill('SIGKILL');
  }
  process.on('exit', endAtOnce);

  function memory() {
    let all = 0;
    for (const c of running.values()) all += procOf(c.pid)?.own ?? 0;
    return all;
  }
  function withinMemory() {
    return memory() < MEMORY_LIMIT;
  }
  return { start, tell, end, memory, withinMemory, running };
}

export function procOf(pid) {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
      .replace(/^.*\) /, '')
      .split(' ');
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const kb = (key) => Number(new RegExp(`^${key}:\\s+(\\d+)`, 'm').exec(status)?.[1] ?? 0) * 1024;
    return {
      cpuS: (Number(stat[11]) + Number(stat[12])) / TICKS_A_SECOND,
      rss: kb('VmRSS'),
      own: kb('RssAnon'),
      peak: kb('VmHWM'),
    };
  } catch {
    return null;
  }
}

export function tallyOf(child) {
  try {
    return JSON.parse(readFileSync(child.tally, 'utf8'));
  } catch {
    return null;
  }
}
