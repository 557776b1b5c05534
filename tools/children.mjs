import { spawn } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

export const ROOT = resolve(import.meta.dirname, '..');
export const BIN = join(ROOT, 'dist/programs/main.js');

const NODE_STOP_TIMEOUT_MS = 12_000;
const KILL_TIMEOUT_MS = 3_000;
const SHUTDOWN_TIMEOUT_MS = 60_000;
const PARENT_CHECK_INTERVAL_MS = 250;
const SIGNAL_EXIT_CODES = { SIGHUP: 129, SIGINT: 130, SIGTERM: 143 };
const BROKEN_PIPE_EXIT_CODE = 141;

const children = new Set();
const cleanups = [];
let gracePeriodMs = 25_000;
let isShuttingDown = false;

function pendingForever() {
  return new Promise(() => {});
}

/** Starts a child process that is stopped when this process shuts down. */
export function startChild(command, args, options = {}) {
  if (isShuttingDown) throw new Error('this process is shutting down');
  const child = spawn(command, args, options);
  children.add(child);
  child.once('exit', () => children.delete(child));
  child.once('error', () => children.delete(child));
  return child;
}

/** Runs a command to its end and returns its exit code; 127 if it could not be started, 1 if a signal ended it. */
export function run(command, args, options = { stdio: 'inherit' }) {
  if (isShuttingDown) return pendingForever();
  return new Promise((resolveExitCode) => {
    const child = startChild(command, args, options);
    child.once('error', () => resolveExitCode(127));
    child.once('exit', (code) => resolveExitCode(code ?? 1));
  });
}
export function runNodeScript(file, args, options) {
  return run(process.execPath, [file, ...args], options);
}

async function waitUntil(condition, timeoutMs) {
  for (const startedAt = performance.now(); performance.now() - startedAt < timeoutMs; await sleep(50))
    if (condition()) return true;
  return condition();
}

async function stopChildren() {
  for (const signal of ['SIGTERM', 'SIGKILL']) {
    for (const child of children) child.kill(signal);
    if (await waitUntil(() => children.size === 0, signal === 'SIGTERM' ? gracePeriodMs : KILL_TIMEOUT_MS)) return;
  }
}

/** Returns whether a process with this id exists and is not a zombie. */
export function isAlive(pid) {
  try {
    process.kill(pid, 0);
    return !readFileSync(`/proc/${pid}/stat`, 'utf8').includes(') Z ');
  } catch {
    return false;
  }
}
/** Returns whether the process with the node's id has the node's command line; process ids are reused. */
export function matchesCommandLine(node) {
  try {
    return (
      readFileSync(`/proc/${node.pid}/cmdline`, 'utf8').split('\0').slice(1, -1).join('\0') ===
      [BIN, ...node.args].join('\0')
    );
  } catch {
    return false;
  }
}
export function isRunning(node) {
  return Boolean(node.pid) && isAlive(node.pid) && matchesCommandLine(node);
}
function signalAll(nodes, signalFor) {
  for (const node of nodes) {
    if (!isRunning(node)) continue;
    process.kill(node.pid, 'SIGCONT');
    process.kill(node.pid, signalFor(node));
  }
}

/** Stops the detached processes of a fleet: proxies and controllers gracefully, stand-ins immediately. */
export async function stopNodes(nodes) {
  signalAll(nodes, (n) => (n.role === 'proxy' || n.role === 'controller' ? 'SIGTERM' : 'SIGKILL'));
  if (await waitUntil(() => !nodes.some(isRunning), NODE_STOP_TIMEOUT_MS)) return;
  signalAll(nodes, () => 'SIGKILL');
  await waitUntil(() => !nodes.some(isRunning), KILL_TIMEOUT_MS);
}
export async function stopFleet(folder) {
  const file = join(folder, 'fleet.json');
  if (existsSync(file)) await stopNodes(JSON.parse(readFileSync(file, 'utf8')).nodes);
}

/** Ends this process: stops its children, then runs the callbacks given to `onShutdown`, the latest first. */
export async function shutdown(code) {
  if (isShuttingDown) return pendingForever();
  isShuttingDown = true;
  setTimeout(() => process.exit(code), SHUTDOWN_TIMEOUT_MS).unref();
  await stopChildren();
  for (const cleanup of cleanups.reverse()) {
    try {
      await cleanup();
    } catch (e) {
      process.stderr.write(`${e}\n`);
    }
  }
  process.exit(code);
}
export function onShutdown(cleanup) {
  cleanups.push(cleanup);
}

/** After this call a signal, a broken output pipe or an uncaught error ends this process by `shutdown`. */
export function installShutdownHandlers(childGraceMs = gracePeriodMs) {
  gracePeriodMs = childGraceMs;
  for (const [signal, code] of Object.entries(SIGNAL_EXIT_CODES)) process.on(signal, () => void shutdown(code));
  for (const output of [process.stdout, process.stderr]) output.on('error', () => void shutdown(BROKEN_PIPE_EXIT_CODE));
  if (process.env.npm_lifecycle_event) watchParent();
  process.on('uncaughtException', (e) => {
    if (!isShuttingDown) process.stderr.write(`${e?.stack ?? e}\n`);
    void shutdown(1);
  });
}

/** Shuts down when the parent process has ended: the shell that npm starts does not forward signals. */
function watchParent() {
  const parent = process.ppid;
  setInterval(
    () => (process.ppid === parent ? null : void shutdown(SIGNAL_EXIT_CODES.SIGHUP)),
    PARENT_CHECK_INTERVAL_MS,
  ).unref();
}
