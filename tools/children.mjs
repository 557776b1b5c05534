import { spawn } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

export const ROOT = resolve(import.meta.dirname, '..');
export const BIN = join(ROOT, 'dist/programs/main.js');

const NODE_GRACE_MS = 12_000;
const KILL_MS = 3_000;
const LEAVE_MS = 60_000;
const PARENT_MS = 250;
const CUT = { SIGHUP: 129, SIGINT: 130, SIGTERM: 143 };
const BROKEN_PIPE = 141;

const children = new Set();
const cleanups = [];
let graceMs = 25_000;
let leaving = false;

function never() {
  return new Promise(() => {});
}

/** A child of this process, ended with it. */
export function startChild(command, args, options = {}) {
  if (leaving) throw new Error('this process is leaving');
  const child = spawn(command, args, options);
  children.add(child);
  child.once('exit', () => children.delete(child));
  child.once('error', () => children.delete(child));
  return child;
}

export function run(command, args, options = { stdio: 'inherit' }) {
  if (leaving) return never();
  return new Promise((done) => {
    const child = startChild(command, args, options);
    child.once('error', () => done(127));
    child.once('exit', (code) => done(code ?? 1));
  });
}
export function runNode(file, args, options) {
  return run(process.execPath, [file, ...args], options);
}

async function gone(test, ms) {
  for (const from = performance.now(); performance.now() - from < ms; await sleep(50)) if (test()) return true;
  return test();
}

async function stopChildren() {
  for (const sig of ['SIGTERM', 'SIGKILL']) {
    for (const child of children) child.kill(sig);
    if (await gone(() => children.size === 0, sig === 'SIGTERM' ? graceMs : KILL_MS)) return;
  }
}

export function alive(pid) {
  try {
    process.kill(pid, 0);
    return !readFileSync(`/proc/${pid}/stat`, 'utf8').includes(') Z ');
  } catch {
    return false;
  }
}
export function isOurs(node) {
  try {
    return (
      readFileSync(`/proc/${node.pid}/cmdline`, 'utf8').split('\0').slice(1, -1).join('\0') ===
      [BIN, ...node.args].join('\0')
    );
  } catch {
    return false;
  }
}
export function runs(node) {
  return Boolean(node.pid) && alive(node.pid) && isOurs(node);
}
function signalAll(nodes, sigOf) {
  for (const node of nodes) {
    if (!runs(node)) continue;
    process.kill(node.pid, 'SIGCONT');
    process.kill(node.pid, sigOf(node));
  }
}

/** Ends the detached nodes of a fleet: the product's own in good order, stand-ins at once. */
export async function stopNodes(nodes) {
  signalAll(nodes, (n) => (n.role === 'proxy' || n.role === 'controller' ? 'SIGTERM' : 'SIGKILL'));
  if (await gone(() => !nodes.some(runs), NODE_GRACE_MS)) return;
  signalAll(nodes, () => 'SIGKILL');
  await gone(() => !nodes.some(runs), KILL_MS);
}
export async function stopFleet(folder) {
  const file = join(folder, 'fleet.json');
  if (existsSync(file)) await stopNodes(JSON.parse(readFileSync(file, 'utf8')).nodes);
}

/** Ends this process: its children first, then what `onLeave` was given, newest first. */
export async function leave(code) {
  if (leaving) return never();
  leaving = true;
  setTimeout(() => process.exit(code), LEAVE_MS).unref();
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
export function onLeave(cleanup) {
  cleanups.push(cleanup);
}

/** From here on an interrupt, a broken output pipe or an uncaught error ends this process by `leave`. */
export function leaveWhenCut(childGraceMs = graceMs) {
  graceMs = childGraceMs;
  for (const [sig, code] of Object.entries(CUT)) process.on(sig, () => void leave(code));
  for (const out of [process.stdout, process.stderr]) out.on('error', () => void leave(BROKEN_PIPE));
  if (process.env.npm_lifecycle_event) watchParent();
  process.on('uncaughtException', (e) => {
    if (!leaving) process.stderr.write(`${e?.stack ?? e}\n`);
    void leave(1);
  });
}

/** npm's shell passes no signal on: its end is noticed by its absence. */
function watchParent() {
  const parent = process.ppid;
  setInterval(() => (process.ppid === parent ? null : void leave(CUT.SIGHUP)), PARENT_MS).unref();
}
