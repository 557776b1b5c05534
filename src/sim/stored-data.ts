/**
 * Writes and reads back the disk contents of controllers and a proxy in the simulator. `stored-data.test.ts` opens a
 * fixture of such disks that an earlier version wrote, so that stored data stays readable.
 */
import { createClaims } from '../coordination/idempotency/claims.js';
import { createFollower } from '../coordination/distribution/follower.js';
import { loadOrCreateIdentity } from '../coordination/membership/identity.js';
import { loadControlState } from '../coordination/distribution/stored-control-state.js';
import { nextIncarnation } from '../coordination/membership/incarnation.js';
import { openStore } from '../coordination/consensus/store.js';
import { createPeers } from '../coordination/messaging/peers.js';
import { ringShapesFor } from '../coordination/controller.js';
import { membersDigest, memberId } from '../state/consensus/control-state.js';
import { HOUR_MS } from '../state/idempotency/claim-table.js';
import { createQuietLog } from '../transport/log.js';
import { createRng } from '../transport/rng.js';
import { createSimCore } from './sim-core.js';
import type { SimCore } from './sim-core.js';
import { createPlatter, createSimDisk } from './sim-disk.js';
import type { Platter } from './sim-disk.js';
import { createWorld } from './world.js';

/** Files of one disk by name, with their bytes in base64. */
export type StoredFiles = Readonly<Record<string, string>>;

/** Disks by node name. */
export type StoredDisks = Readonly<Record<string, StoredFiles>>;

const DISK_BYTES = 16 * 1_048_576;
const CLAIM_HOUR = 500_000;
const CLAIM_COUNT = 300;
const BULK_ROUNDS = 8;
const BULK_ENTRIES = 120;
const CAUSE_LENGTH = 900;
const PROXY = 'p1';
const WAIT_MS = 60_000;

function noop(): void {}

/**
 * Runs a small core through configuration changes, claims, a snapshot, the replacement of a controller and the
 * evacuation of a zone, and returns the disks.
 */
export async function writeStoredData(seed: number): Promise<StoredDisks> {
  const core = createSimCore(seed, { controllers: 3, seeds: 3, regionMs: 5, claims: true, diskBytes: DISK_BYTES });
  core.startAll();
  await core.until(WAIT_MS, () => core.whole(['h1', 'h2', 'h3']));
  const proxyDisk = createPlatter();
  const proxy = await startFollower(core, proxyDisk);
  await changeConfiguration(core);
  await addClaims(core);
  await fillRing(core);
  core.addNode('h4');
  core.powerLoss('h2');
  core.wipe('h2');
  core.start('h4');
  await core.until(WAIT_MS, () => core.whole(['h1', 'h3', 'h4']));
  await core.order('h1', 'zone-last', 5_000);
  await core.world.advance(12_000);
  proxy.stop();
  const disks: Record<string, StoredFiles> = { [PROXY]: filesOf(proxyDisk) };
  for (const name of ['h1', 'h3', 'h4']) disks[name] = filesOf(core.node(name).platter);
  return disks;
}

async function startFollower(core: SimCore, platter: Platter): Promise<{ readonly stop: () => void }> {
  const lab = core.lab(PROXY);
  const world = core.world;
  const log = createQuietLog().component(PROXY);
  const peers = createPeers(lab.wire, lab.clock, log);
  const proc = world.startProcess(world.host(`${PROXY}-disk`, `zone-${PROXY}`));
  const self = { name: PROXY, zone: `zone-${PROXY}`, region: `zone-${PROXY}` };
  const seeds = core.nodes.map((node) => node.wire);
  const made = await core.runUntilSettled(
    createFollower(self, seeds, peers, lab.clock, createSimDisk(platter, proc, world), log),
    WAIT_MS,
  );
  return made ?? { stop: noop };
}

async function changeConfiguration(core: SimCore): Promise<void> {
  const ledger = core.node('h1').controller?.ledger;
  if (!ledger) return;
  for (let number = 1; number <= 3; number += 1) {
    const base = ledger.controlState().version;
    const changes = [{ path: ['zones', `zone-${number}`], value: { region: 'region-1' } }];
    await core.runUntilSettled(
      ledger.propose(
        {
          id: `change-${number}`,
          cause: `Change ${number}.`,
          act: {
            tag: 'configured',
            base,
            changes,
            revision: { request: `change-${number}`, base: number - 1, number },
          },
        },
        5_000,
      ),
      WAIT_MS,
    );
  }
  await core.order('h2', 'zone-1', 5_000);
  await core.runUntilSettled(
    ledger.propose(
      {
        cause: 'An order.',
        act: { tag: 'orderIntended', order: 'o1', model: 'm', zone: 'zone-1', kind: 'spot', accelerator: 'a' },
      },
      5_000,
    ),
    WAIT_MS,
  );
  await core.runUntilSettled(
    ledger.propose({ cause: 'It failed.', act: { tag: 'orderFailed', order: 'o1' } }, 5_000),
    WAIT_MS,
  );
}

async function addClaims(core: SimCore): Promise<void> {
  const lab = core.lab('c1');
  const peers = createPeers(lab.wire, lab.clock, createQuietLog().component('c1'));
  const state = core.node('h1').controller?.ledger.controlState();
  if (!state) return;
  const claims = [];
  for (let i = 0; i < CLAIM_COUNT; i += 1)
    claims.push({ key: `key-${i}`, by: 'first', born: (CLAIM_HOUR + (i % 3)) * HOUR_MS });
  for (const member of state.members)
    await core.runUntilSettled(
      peers.call(
        member.address,
        { kind: 'claim', ledger: state.ledger, members: membersDigest(state.members), claims },
        5_000,
      ),
      WAIT_MS,
    );
}

/** Proposes more entries than the ring can hold, so that a snapshot is written. */
async function fillRing(core: SimCore): Promise<void> {
  const ledger = core.node('h3').controller?.ledger;
  if (!ledger) return;
  for (let round = 0; round < BULK_ROUNDS; round += 1) {
    const work = [];
    for (let i = 0; i < BULK_ENTRIES; i += 1)
      work.push(
        ledger.propose(
          {
            cause: `Entry ${round}.${i} `.padEnd(CAUSE_LENGTH, '.'),
            act: { tag: 'proxyKnown', name: `p-${i}`, zone: `zone-${round}`, region: 'region-1' },
          },
          5_000,
        ),
      );
    await core.runUntilSettled(Promise.all(work), WAIT_MS);
  }
}

function filesOf(platter: Platter): StoredFiles {
  const files: Record<string, string> = {};
  for (const [name, file] of platter.files) files[name] = file.synced.toString('base64');
  return files;
}

/** Builds a disk from stored files. */
export function platterOf(files: StoredFiles): Platter {
  const platter = createPlatter();
  for (const [name, text] of Object.entries(files)) {
    const bytes = Buffer.from(text, 'base64');
    platter.files.set(name, { current: Buffer.from(bytes), synced: bytes, unsynced: [] });
  }
  return platter;
}

/** Returns everything that a node reads from its disk, as plain values. */
export async function readStoredData(name: string, files: StoredFiles): Promise<unknown> {
  const world = createWorld(1);
  const proc = world.startProcess(world.host(name, 'zone'));
  const disk = createSimDisk(platterOf(files), proc, world);
  const log = createQuietLog().component(name);
  async function finish<T>(work: Promise<T>): Promise<T> {
    const outcome: { value: T | null; done: boolean } = { value: null, done: false };
    void work.then((value) => {
      outcome.value = value;
      outcome.done = true;
    });
    await world.until(WAIT_MS, () => outcome.done);
    return outcome.value as T;
  }
  if (name === PROXY) return finish(loadControlState(disk, log));
  const shapes = ringShapesFor(DISK_BYTES);
  const identity = await finish(loadOrCreateIdentity(disk, createRng(1), null));
  const incarnation = await finish(nextIncarnation(disk, log));
  const store = await finish(openStore(disk, shapes.ledger, noop, noop));
  if (!store.ok || !identity.ok) return { store, identity };
  const state = store.value.controlState();
  const own = state.members.find((member) => member.incarnation === identity.value.incarnation);
  const claims = await finish(
    createClaims(
      { controlState: () => state, isMember: () => true, self: own } as never,
      { on: noop, call: () => Promise.resolve({ ok: false }) } as never,
      disk,
      shapes.claims,
      world.clockOf(proc),
      log,
    ),
  );
  if (!claims.ok) return { claims };
  const closed = [...store.value.closed.all()];
  return {
    identity: identity.value,
    incarnation,
    member: own ? memberId(own) : null,
    state,
    closed,
    lacking: store.value.closed.lacking(),
    top: store.value.top(),
    accepted: store.value.accepted(store.value.top()),
    recent: store.value.recent(Math.max(0, state.slot - 3)),
    claimsReady: claims.value.ready(),
    claims: claims.value.size(),
  };
}
