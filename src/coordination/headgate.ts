import { isTable } from '../base/is-table.js';
import { parsedJson } from '../base/parsed-json.js';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { NodeInfo } from '../state/node-info.js';
import { memberId, SCALER_DUTY } from '../state/belief.js';
import type { Disk, DiskFault } from '../transport/disk.js';
import type { RingFault, RingShape } from '../transport/ring.js';
import { newId } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import type { Route } from '../transport/http.js';
import type { Address, Listener, WireFault } from '../transport/wire.js';
import { createAimKeeper } from './ledger/aim-keeper.js';
import { createClaims, noClaims } from './ledger/claims.js';
import { createCloudClient, createPlatformClient } from './scaling/cloud-client.js';
import { createLease } from './ledger/lease.js';
import type { Lease } from './ledger/lease.js';
import { nextLife } from './ledger/life.js';
import { createLedger } from './ledger/ledger.js';
import type { Ledger } from './ledger/ledger.js';
import { createMembership } from './members/membership.js';
import { metricsRoute } from './metrics-door.js';
import type { NodeDeps, NodeIdentity } from './node.js';
import { followMovedHeads } from './members/moved-heads.js';
import { operatorRoutes } from './ledger/operator-door.js';
import { createPeers } from './members/peers.js';
import { createCrowdRelay } from './ledger/crowd-relay.js';
import { createAttest } from './ledger/attest.js';
import { createControllerStatus } from './controller-status.js';
import { createCoreHealthWatch } from './ledger/core-health-watch.js';
import { createPush } from './ledger/push.js';
import type { Push } from './ledger/push.js';
import { createListDuty } from './scaling/list-duty.js';
import { createObserver } from './scaling/observer.js';
import { createScaler } from './scaling/scaler.js';
import type { Scaler } from './scaling/scaler.js';

export type Headgate = {
  readonly wire: Address;
  readonly http: Address;
  readonly push: Pick<Push, 'reports' | 'heardAt' | 'quorate'>;
  readonly ledger: Ledger;
  readonly claimsReady: () => boolean;
  readonly holdsScaler: () => boolean;
  readonly reads: readonly Route[];
  readonly stop: () => Promise<void>;
};

export type HeadgateFault = WireFault | RingFault | { readonly tag: 'noDisk' } | { readonly tag: 'identityUnreadable' };

const IDENTITY_FILE = 'identity.json';

type Identity = { readonly incarnation: string; readonly founders: readonly Address[] | null };

async function identityOf(
  id: NodeIdentity,
  disk: Disk,
  rng: Rng,
): Promise<Result<Identity, DiskFault | { readonly tag: 'identityUnreadable' }>> {
  const kept = await disk.load(IDENTITY_FILE);
  if (!kept.ok) return kept;
  if (kept.value) {
    const read = parsedIdentity(kept.value.toString());
    return read === null ? err({ tag: 'identityUnreadable' }) : ok(read);
  }
  const founds = id.founding === true && id.seeds.includes(id.advertised);
  const made: Identity = { incarnation: newId(rng, 'i'), founders: founds ? id.seeds : null };
  const saved = await saveIdentity(disk, made);
  return saved.ok ? ok(made) : saved;
}

function saveIdentity(disk: Disk, identity: Identity): Promise<Result<null, DiskFault>> {
  return disk.replace(IDENTITY_FILE, Buffer.from(JSON.stringify(identity)));
}

function parsedIdentity(text: string): Identity | null {
  const v = parsedJson(text);
  if (!isTable(v) || typeof v['incarnation'] !== 'string' || v['incarnation'] === '') return null;
  const founders = v['founders'];
  return { incarnation: v['incarnation'], founders: Array.isArray(founders) ? founders.map(String) : null };
}

export type HeadgateShapes = { readonly ledger: RingShape; readonly claims: RingShape };

const MB = 1_048_576;

export const HEADGATE_SHAPES: HeadgateShapes = {
  ledger: { name: 'ledger', files: 6, fileBytes: 8 * MB, snapshotBytes: 48 * MB },
  claims: { name: 'claims', files: 6, fileBytes: 4 * MB, snapshotBytes: 70 * MB },
};

export function shapesFor(diskBytes: number): HeadgateShapes {
  const unit = Math.max(MB / 4, Math.min(8 * MB, Math.floor(diskBytes / 64)));
  return {
    ledger: { name: 'ledger', files: 4, fileBytes: unit, snapshotBytes: 3 * unit },
    claims: { name: 'claims', files: 4, fileBytes: unit, snapshotBytes: 8 * unit },
  };
}

export async function startHeadgate(
  id: NodeIdentity,
  deps: NodeDeps,
  given?: HeadgateShapes,
): Promise<Result<Headgate, HeadgateFault>> {
  const { clock, rng, logs, caller, disk } = deps;
  const log = logs.part('headgate');
  if (!disk) return err({ tag: 'noDisk' });
  const shapes = given ?? (id.diskBytes === undefined ? HEADGATE_SHAPES : shapesFor(id.diskBytes));
  const identity = await identityOf(id, disk, rng);
  if (!identity.ok) return identity;
  const { incarnation, founders } = identity.value;
  const self: { name: string; incarnation: string; address: Address } = {
    name: id.name,
    incarnation,
    address: id.advertised,
  };
  const peers = createPeers(deps.wire, clock, logs.part('peers'));
  const node: NodeInfo = {
    name: id.name,
    role: 'headgate',
    run: id.run,
    incarnation: await nextLife(disk, log),
    address: id.advertised,
    http: id.http,
    zone: id.zone,
    region: id.region,
    status: 'alive',
  };

  async function renew(): Promise<boolean> {
    const next = newId(rng, 'i');
    const saved = await saveIdentity(disk as Disk, { incarnation: next, founders: null });
    if (saved.ok) self.incarnation = next;
    return saved.ok;
  }
  const made = await createLedger({
    clock,
    rng,
    peers,
    disk,
    log: logs.part('ledger'),
    shape: shapes.ledger,
    self,
    seeds: id.seeds,
    founders,
    renew,
    keepsClaims: id.claims !== false,
  });
  if (!made.ok) return made;
  const ledger = made.value;
  const claims =
    id.claims === false
      ? ok(noClaims())
      : await createClaims(ledger, peers, disk, shapes.claims, clock, logs.part('claims'));
  if (!claims.ok) {
    ledger.stop();
    return claims;
  }
  const coreHealth = createCoreHealthWatch({
    ledger,
    claims: id.claims === false ? null : claims.value,
    peers,
    clock,
    log: logs.part('core'),
  });
  const attest = createAttest(ledger, clock);
  const push = createPush(ledger, attest, peers, clock, logs.part('push'));
  const crowd = createCrowdRelay(ledger, peers, clock, rng);
  const aims = createAimKeeper(ledger, peers, clock);
  const lease =
    id.cloud === null && !deps.listReader
      ? null
      : createLease(SCALER_DUTY, ledger, peers, clock, rng, logs.part('lease'));
  const opened = await peers.open(id.listen);
  if (!opened.ok) return opened;
  function contacts(): Set<Address> {
    const out = new Set<Address>(id.seeds);
    for (const m of ledger.belief().members) out.add(m.address);
    return out;
  }
  const membership = createMembership(node, contacts, peers, clock, rng, logs.part('members'));
  followMovedHeads(membership, ledger.belief, peers);
  function heads(): Set<Address> {
    const out = new Set<Address>(ledger.belief().members.length > 0 ? [] : id.seeds);
    for (const m of ledger.belief().members) out.add(m.address);
    return out;
  }
  const list = deps.listReader
    ? createListDuty({ self: id.advertised, reader: deps.listReader, heads, peers, clock, rng, log: logs.part('list') })
    : null;
  const scaler = lease && id.cloud !== null ? startScaler(lease, id.cloud) : null;
  const observer =
    lease && list && id.cloud === null
      ? createObserver({
          ledger,
          lease,
          push,
          feed: list.feed,
          zones: id.zones ?? [],
          clock,
          rng,
          log: logs.part('scaler'),
        })
      : null;
  function startScaler(held: Lease, cloud: Address): Scaler {
    return createScaler({
      ledger,
      lease: held,
      push,
      cloud: createCloudClient(caller, cloud),
      platform: createPlatformClient(caller, id.platform),
      caller,
      clock,
      rng,
      log: logs.part('scaler'),
    });
  }

  function holdsScaler(): boolean {
    return lease !== null && lease.fence() !== null;
  }

  const status = createControllerStatus({
    name: id.name,
    ledger,
    claims: claims.value,
    push,
    coreHealth,
    membership,
    clock,
    holdsScaler,
  });
  const routes = operatorRoutes({ ledger, push, aims, clock, status: status.body });
  function openDoor(): Promise<Result<Listener, WireFault>> {
    return deps.door.open(id.httpListen, [...routes, metricsRoute(deps.meters(), status.meter)]);
  }
  const door = id.operatorDoor === false ? null : await openDoor();
  if (door && !door.ok) {
    await stopAll();
    return door;
  }
  const served = door?.value ?? null;
  log.info(
    `Headgate ${memberId(self)} at ${served?.address ?? 'no door of its own'}, peers at ${opened.value.address}.`,
  );

  async function stopAll(): Promise<void> {
    scaler?.stop();
    observer?.stop();
    list?.stop();
    lease?.stop();
    membership.leave();
    membership.stop();
    push.stop();
    crowd.stop();
    attest.stop();
    coreHealth.stop();
    aims.stop();
    if (claims.ok) claims.value.stop();
    ledger.stop();
    await peers.close();
  }
  async function stop(): Promise<void> {
    await served?.close();
    await ledger.leave();
    await stopAll();
    log.info('Stopped.');
  }
  return ok({
    wire: opened.value.address,
    http: served?.address ?? id.http,
    push,
    ledger,
    claimsReady: claims.value.ready,
    holdsScaler,
    reads: routes.filter(isRead),
    stop,
  });
}

function isRead(route: Route): boolean {
  return route.method === 'GET';
}
