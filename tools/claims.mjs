#!/usr/bin/env node
/** Measures the run-once claims of a controller: memory, disk, throughput, reload at start and rebuild from a peer. */
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
  process.stderr.write('usage: node tools/claims.mjs [keys]\n');
  process.exit(2);
}
const folder = mkdtempSync(join(tmpdir(), 'millfield-claims-'));
const controlState = emptyControlState();
controlState.ledger = 'bench';
controlState.members = ['h1', 'h2'].map((name) => ({ name, incarnation: 'i', address: name }));
controlState.claimants = [memberId(controlState.members[1])];
const handlers = { h1: new Map(), h2: new Map() };

async function openClaims(memberIndex) {
  const self = controlState.members[memberIndex];
  const ownHandlers = handlers[self.name];
  async function call(to, message) {
    const response = await handlers[to].get(message.kind)?.(JSON.parse(JSON.stringify(message)));
    return response
      ? { ok: true, value: JSON.parse(JSON.stringify(response)) }
      : { ok: false, fault: { tag: 'peerSilent', address: to } };
  }
  const peers = { on: (kind, fn) => ownHandlers.set(kind, fn), call };
  const ledger = { controlState: () => controlState, isMember: () => true, self };
  const created = await createClaims(
    ledger,
    peers,
    createFolderDisk(join(folder, self.name)),
    CONTROLLER_SHAPES.claims,
    createClock(),
    createQuietLog().part(''),
  );
  if (!created.ok) throw new Error(created.error.tag);
  return created.value;
}
function printRow(name, value) {
  process.stdout.write(`| ${name} | ${value} |\n`);
}

const memoryBefore = process.memoryUsage();
const claimTable = await openClaims(1);
const firstBornMs = 500_000 * HOUR_MS;
const batch = 400;
const durationsMs = [];
const startedAt = performance.now();
for (let firstIndex = 0; firstIndex < keys; firstIndex += batch) {
  const claims = Array.from({ length: batch }, (_, i) => ({
    key: runKey(`auth-${firstIndex + i}`, firstBornMs + Math.floor(((firstIndex + i) / keys) * 24 * HOUR_MS)),
    by: `ticket-${firstIndex + i}`,
    born: firstBornMs + Math.floor(((firstIndex + i) / keys) * 24 * HOUR_MS),
  }));
  const from = performance.now();
  const response = await handlers.h2.get('claim')({
    kind: 'claim',
    ledger: 'bench',
    members: membersDigest(controlState.members),
    claims,
  });
  durationsMs.push(performance.now() - from);
  if (response.kind !== 'claimAnswer' || response.answers.some((answer) => answer.tag !== 'claimed'))
    throw new Error('a claim was not granted');
}
const elapsedS = (performance.now() - startedAt) / 1_000;
globalThis.gc?.();
const memoryAfter = process.memoryUsage();
durationsMs.sort((a, b) => a - b);
printRow('keys held', claimTable.size());
printRow('memory beside an empty process, MiB', ((memoryAfter.rss - memoryBefore.rss) / 2 ** 20).toFixed(0));
printRow(
  'of it buffers of the table, MiB',
  ((memoryAfter.arrayBuffers - memoryBefore.arrayBuffers) / 2 ** 20).toFixed(0),
);
printRow(
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
    ].reduce((total, file) => total + statSync(join(folder, 'h2', file)).size, 0) /
    2 ** 20
  ).toFixed(0),
);
printRow(`claims a second, in batches of ${batch}`, (keys / elapsedS).toFixed(0));
printRow(
  'batch, p50 / p99 / longest (a snapshot), ms',
  [0.5, 0.99, 0.9999]
    .map((fraction) =>
      durationsMs[Math.min(durationsMs.length - 1, Math.floor(fraction * durationsMs.length))].toFixed(1),
    )
    .join(' / '),
);
claimTable.stop();
let from = performance.now();
const reopened = await openClaims(1);
printRow('read back at start, ms', (performance.now() - from).toFixed(0));
if (reopened.size() !== claimTable.size()) throw new Error('not all claims were read back');
from = performance.now();
const rebuilt = await openClaims(0);
while (!rebuilt.ready()) await new Promise((resolve) => setTimeout(resolve, 20));
printRow('rebuilt from another by one without a disk, ms (1 s of it waiting)', (performance.now() - from).toFixed(0));
if (rebuilt.size() !== claimTable.size()) throw new Error('not all claims were rebuilt');
reopened.stop();
rebuilt.stop();
rmSync(folder, { recursive: true, force: true });
process.exit(0);
