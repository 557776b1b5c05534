#!/usr/bin/env node
import { mkdtempSync, rmSync, statSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { createClaims } from '../dist/coordination/idempotency/claims.js';
import { CONTROLLER_SHAPES } from '../dist/coordination/controller.js';
import { emptyControlState, memberId, membersDigest } from '../dist/state/consensus/control-state.js';
import { HOUR_MS } from '../dist/state/idempotency/claim-table.js';
import { runKey } from '../dist/state/idempotency/run-key.js';
import { createClock } from '../dist/transport/clock.js';
import { createFolderDisk } from '../dist/transport/disk.js';
import { createQuietLog } from '../dist/transport/log.js';

const keys = Number(process.argv[2] ?? 1_400_000);
if (!(keys >= 1_000)) {
  process.stderr.write('use: node tools/claims.mjs [keys]\n');
  process.exit(2);
}
const folder = mkdtempSync(join(tmpdir(), 'millfield-claims-'));
const controlState = emptyControlState();
controlState.ledger = 'bench';
controlState.members = ['h1', 'h2'].map((name) => ({ name, incarnation: 'i', address: name }));
controlState.claimants = [memberId(controlState.members[1])];
const handlers = { h1: new Map(), h2: new Map() };

async function open(at) {
  const self = controlState.members[at];
  const own = handlers[self.name];
  async function call(to, m) {
    const got = await handlers[to].get(m.kind)?.(JSON.parse(JSON.stringify(m)));
    return got
      ? { ok: true, value: JSON.parse(JSON.stringify(got)) }
      : { ok: false, fault: { tag: 'peerSilent', address: to } };
  }
  const peers = { on: (kind, fn) => own.set(kind, fn), call };
  const ledger = { controlState: () => controlState, isMember: () => true, self };
  const made = await createClaims(
    ledger,
    peers,
    createFolderDisk(join(folder, self.name)),
    CONTROLLER_SHAPES.claims,
    createClock(),
    createQuietLog().part(''),
  );
  if (!made.ok) throw new Error(made.error.tag);
  return made.value;
}
function row(name, value) {
  process.stdout.write(`| ${name} | ${value} |\n`);
}

const before = process.memoryUsage();
const held = await open(1);
const born = 500_000 * HOUR_MS;
const batch = 400;
const took = [];
const started = performance.now();
for (let n = 0; n < keys; n += batch) {
  const claims = Array.from({ length: batch }, (_, i) => ({
    key: runKey(`auth-${n + i}`, born + Math.floor(((n + i) / keys) * 24 * HOUR_MS)),
    by: `ticket-${n + i}`,
    born: born + Math.floor(((n + i) / keys) * 24 * HOUR_MS),
  }));
  const from = performance.now();
  const got = await handlers.h2.get('claim')({
    kind: 'claim',
    ledger: 'bench',
    members: membersDigest(controlState.members),
    claims,
  });
  took.push(performance.now() - from);
  if (got.kind !== 'claimAnswer' || got.answers.some((a) => a.tag !== 'claimed'))
    throw new Error('a claim was not granted');
}
const all = (performance.now() - started) / 1_000;
globalThis.gc?.();
const after = process.memoryUsage();
took.sort((a, b) => a - b);
row('keys held', held.size());
row('memory beside an empty process, MiB', ((after.rss - before.rss) / 2 ** 20).toFixed(0));
row('of it buffers of the table, MiB', ((after.arrayBuffers - before.arrayBuffers) / 2 ** 20).toFixed(0));
row(
  'disk set aside, MiB',
  (
    [
      'claims-0',
      'claims-1',
      'claims-2',
      'claims-3',
      'claims-4',
      'claims-5',
      'claims-snapshot-0',
      'claims-snapshot-1',
    ].reduce((n, f) => n + statSync(join(folder, 'h2', f)).size, 0) /
    2 ** 20
  ).toFixed(0),
);
row(`claims a second, in batches of ${batch}`, (keys / all).toFixed(0));
row(
  'batch, p50 / p99 / longest (a snapshot), ms',
  [0.5, 0.99, 0.9999].map((q) => took[Math.min(took.length - 1, Math.floor(q * took.length))].toFixed(1)).join(' / '),
);
held.stop();
let from = performance.now();
const again = await open(1);
row('read back at start, ms', (performance.now() - from).toFixed(0));
if (again.size() !== held.size()) throw new Error('not all was read back');
from = performance.now();
const blank = await open(0);
while (!blank.ready()) await new Promise((done) => setTimeout(done, 20));
row('rebuilt from another by one without a disk, ms (1 s of it waiting)', (performance.now() - from).toFixed(0));
if (blank.size() !== held.size()) throw new Error('not all was rebuilt');
again.stop();
blank.stop();
rmSync(folder, { recursive: true, force: true });
process.exit(0);
