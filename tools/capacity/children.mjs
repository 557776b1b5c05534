import { spawn } from 'node:child_process';
import { openSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

const CLOCK_TICKS_PER_SECOND = 100;
const MEMORY_LIMIT_BYTES = 8 * 1024 ** 3;
const MAX_PROCESSES = 100;

/**
 * Starts the processes of a run and stops them when it ends or this process exits. Their number and their total memory
 * are limited.
 */
export function createChildren(bin, folder, profile) {
  const running = new Map();
  let endPromise = null;

  function start(child) {
    if (running.size >= MAX_PROCESSES) throw new Error(`more than ${MAX_PROCESSES} processes`);
    const out = openSync(join(folder, `${child.name}.log`), 'a');
    const profileFlags = profile
      ? [
          '--cpu-prof',
          `--cpu-prof-dir=${folder}`,
          `--cpu-prof-name=${child.name}.cpuprofile`,
          '--cpu-prof-interval',
          '1000',
        ]
      : [];
    const heapFlags = child.role === 'controller' ? [] : ['--max-old-space-size=320', '--max-semi-space-size=8'];
    const proc = spawn(process.execPath, [...profileFlags, ...heapFlags, bin, ...child.args], {
      stdio: ['pipe', out, out],
    });
    proc.stdin.on('error', () => {});
    const entry = { ...child, proc, pid: proc.pid, hasExited: false };
    proc.on('exit', () => {
      entry.hasExited = true;
      running.delete(child.name);
    });
    running.set(child.name, entry);
    return entry;
  }

  function sendLine(child, line) {
    if (!child.hasExited) child.proc.stdin.write(`${line}\n`);
  }

  function stopAll() {
    endPromise ??= terminateAll();
    return endPromise;
  }
  async function terminateAll() {
    const remaining = [...running.values()];
    for (const c of remaining) c.proc.kill('SIGTERM');
    for (let i = 0; i < 100 && remaining.some((c) => !c.hasExited); i += 1) await sleep(100);
    for (const c of remaining) if (!c.hasExited) c.proc.kill('SIGKILL');
    for (let i = 0; i < 20 && remaining.some((c) => !c.hasExited); i += 1) await sleep(100);
  }
  function killAll() {
    for (const c of running.values()) c.proc.kill('SIGKILL');
  }
  process.on('exit', killAll);

  function totalMemory() {
    let total = 0;
    for (const c of running.values()) total += readProcessStats(c.pid)?.anonymous ?? 0;
    return total;
  }
  function isWithinMemoryLimit() {
    return totalMemory() < MEMORY_LIMIT_BYTES;
  }
  return { start, sendLine, stopAll, totalMemory, isWithinMemoryLimit, running };
}

/** Reads processor time and memory of a process from /proc; null if it has ended. */
export function readProcessStats(pid) {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
      .replace(/^.*\) /, '')
      .split(' ');
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const bytesOf = (key) => Number(new RegExp(`^${key}:\\s+(\\d+)`, 'm').exec(status)?.[1] ?? 0) * 1024;
    return {
      cpuS: (Number(stat[11]) + Number(stat[12])) / CLOCK_TICKS_PER_SECOND,
      rss: bytesOf('VmRSS'),
      anonymous: bytesOf('RssAnon'),
      peak: bytesOf('VmHWM'),
    };
  } catch {
    return null;
  }
}

/** Reads the message counters that a child writes to its tally file; null if they cannot be read. */
export function readTally(child) {
  try {
    return JSON.parse(readFileSync(child.tally, 'utf8'));
  } catch {
    return null;
  }
}
