/**
 * Composes a controller: identity, ledger, claims, change distribution, failure detector, leases and scaling.
 * Whatever it opens it closes in `stop`, in reverse order.
 */
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { NodeInfo } from '../state/membership/node-info.js';
import { memberId, SCALER_DUTY } from '../state/consensus/control-state.js';
import type { Disk } from '../transport/disk.js';
import type { RingError, RingShape } from '../transport/ring.js';
import { newId } from '../transport/rng.js';
import { stopLimits } from '../transport/http-connections.js';
import type { HttpListener, Route } from '../transport/http.js';
import type { Address, WireError } from '../transport/wire.js';
import { CALLER_PATIENCE_MS } from './configuration/configuration-service.js';
import { createLatencyTargetTracker } from './configuration/latency-target-tracker.js';
import { createClaims, noClaims } from './idempotency/claims.js';
import type { Claims } from './idempotency/claims.js';
import { openOrRejoinBlank } from './consensus/damaged-ring.js';
import { createCloudClient, createPlatformClient } from './scaling/cloud-client.js';
import { openIdentity, saveIdentity } from './membership/identity.js';
import type { Identity, IdentityError } from './membership/identity.js';
import { createLease } from './leases/lease.js';
import type { Lease } from './leases/lease.js';
import { nextIncarnation } from './membership/incarnation.js';
import { createLedger } from './consensus/ledger.js';
import type { Ledger } from './consensus/ledger.js';
import { createMembership } from './membership/failure-detector.js';
import type { Membership } from './membership/failure-detector.js';
import { isUp } from '../state/membership/members.js';
import { metricsRoute } from './metrics-http-server.js';
import type { NodeDeps, NodeIdentity } from './node.js';
import { followRelocatedControllers } from './membership/relocated-controllers.js';
import { operatorRoutes } from './configuration/operator-http-server.js';
import { watchStandstills } from './configuration/recent-standstill.js';
import type { RecentStandstill } from './configuration/recent-standstill.js';
import { createPeers } from './messaging/peers.js';
import { createFleetLoadRelay } from './distribution/fleet-load-relay.js';
import { createQuorumAttestation } from './distribution/quorum-attestation.js';
import { createControllerStatus } from './controller-status.js';
import { createCoreHealthWatch } from './membership/core-health-watch.js';
import { createChangeDistribution } from './distribution/change-distribution.js';
import type { ChangeDistribution } from './distribution/change-distribution.js';
import { createWorkerListRole } from './scaling/worker-list-role.js';
import { createObserver } from './scaling/observer.js';
import { createScaler } from './scaling/scaler.js';
import type { Scaler } from './scaling/scaler.js';

/** A running controller. */
export type Controller = {
  readonly wire: Address;
  readonly http: Address;
  readonly distribution: Pick<ChangeDistribution, 'reports' | 'lastContactAt' | 'quorate'>;
  readonly ledger: Ledger;
  readonly claimsReady: () => boolean;
  readonly holdsScaler: () => boolean;
  readonly reads: readonly Route[];
  /** For orders that are taken beside the controller's own HTTP interface. */
  readonly standstill: Pick<RecentStandstill, 'isRecent'>;
  /** Leaves the group and answers what was read, also at `listeners` of others, for at most `withinMs`; then ends all. */
  readonly stop: (withinMs: number, listeners?: readonly HttpListener[]) => Promise<void>;
};

/** Why a controller could not start. */
export type ControllerError = WireError | RingError | { readonly tag: 'noDisk' } | IdentityError;

/** Sizes of the two rings on a controller's disk. */
export type ControllerShapes = { readonly ledger: RingShape; readonly claims: RingShape };

const MB = 1_048_576;

/** Rings of a controller with room enough: 96 MB and 164 MB. */
export const CONTROLLER_SHAPES: ControllerShapes = {
  ledger: { name: 'ledger', files: 6, fileBytes: 8 * MB, snapshotBytes: 48 * MB },
  claims: { name: 'claims', files: 6, fileBytes: 4 * MB, snapshotBytes: 70 * MB },
};

/** Rings that fit a disk of `diskBytes` bytes. */
export function shapesFor(diskBytes: number): ControllerShapes {
  const unit = Math.max(MB / 4, Math.min(8 * MB, Math.floor(diskBytes / 64)));
  return {
    ledger: { name: 'ledger', files: 4, fileBytes: unit, snapshotBytes: 3 * unit },
    claims: { name: 'claims', files: 4, fileBytes: unit, snapshotBytes: 8 * unit },
  };
}

/** Starts a controller. The error says what could not be opened; everything opened before is closed then. */
export async function startController(
  id: NodeIdentity,
  deps: NodeDeps,
  given?: ControllerShapes,
): Promise<Result<Controller, ControllerError>> {
  const { clock, rng, logs, httpClient, disk } = deps;
  const log = logs.component('controller');
  if (!disk) return err({ tag: 'noDisk' });
  const shapes = given ?? (id.diskBytes === undefined ? CONTROLLER_SHAPES : shapesFor(id.diskBytes));
  const bootstraps = id.bootstrap === true && id.seeds.includes(id.advertised);
  const identity = await openIdentity(disk, rng, bootstraps ? id.seeds : null);
  if (!identity.ok) return identity;
  const { incarnation } = identity.value;
  const self: { name: string; incarnation: string; address: Address } = {
    name: id.name,
    incarnation,
    address: id.advertised,
  };
  const peers = createPeers(deps.wire, clock, logs.component('peers'));
  const node: NodeInfo = {
    name: id.name,
    role: 'controller',
    run: id.run,
    incarnation: await nextIncarnation(disk, log),
    address: id.advertised,
    http: id.http,
    zone: id.zone,
    region: id.region,
    status: 'alive',
  };

  let kept = identity.value;
  async function keep(next: Identity): Promise<boolean> {
    const saved = await saveIdentity(disk as Disk, next);
    if (saved.ok) kept = next;
    return saved.ok;
  }
  async function renew(): Promise<boolean> {
    const renewed = await keep({ incarnation: newId(rng, 'i'), bootstrapMembers: null, wasMember: false });
    self.incarnation = kept.incarnation;
    return renewed;
  }
  function recordMember(): Promise<boolean> {
    return keep({ ...kept, wasMember: true });
  }
  let nodes: Membership | null = null;
  function knownControllers(): Set<Address> {
    const out = new Set<Address>(id.seeds);
    for (const node of nodes?.all() ?? []) if (node.role === 'controller' && isUp(node)) out.add(node.address);
    return out;
  }
  function ownId(): string {
    return memberId(self);
  }
  const ownDisk = disk;
  function openLedger(): Promise<Result<Ledger, RingError>> {
    return createLedger({
      clock,
      rng,
      peers,
      disk: ownDisk,
      log: logs.component('ledger'),
      shape: shapes.ledger,
      self,
      seeds: id.seeds,
      knownAddresses: knownControllers,
      bootstrapMembers: kept.bootstrapMembers,
      renewIncarnation: renew,
      wasMember: kept.wasMember,
      recordMembership: recordMember,
      keepsClaims: id.claims !== false,
    });
  }
  const made = await openOrRejoinBlank(openLedger, {
    disk,
    shape: shapes.ledger,
    log,
    renewIncarnation: renew,
    memberId: ownId,
  });
  if (!made.ok) return made;
  const ledger = made.value;
  function openClaims(): Promise<Result<Claims, RingError>> {
    return createClaims(ledger, peers, ownDisk, shapes.claims, clock, logs.component('claims'));
  }
  const claims =
    id.claims === false
      ? ok(noClaims())
      : await openOrRejoinBlank(openClaims, {
          disk,
          shape: shapes.claims,
          log,
          renewIncarnation: renew,
          memberId: ownId,
        });
  if (!claims.ok) {
    ledger.stop();
    return claims;
  }
  const coreHealth = createCoreHealthWatch({
    ledger,
    claims: id.claims === false ? null : claims.value,
    peers,
    clock,
    log: logs.component('core'),
  });
  const quorumAttestation = createQuorumAttestation(ledger, clock);
  const distribution = createChangeDistribution(ledger, quorumAttestation, peers, clock, logs.component('push'));
  const fleetLoad = createFleetLoadRelay(ledger, peers, clock, rng);
  const latencyTargets = createLatencyTargetTracker(ledger, peers, clock);
  const standstill = watchStandstills(clock, CALLER_PATIENCE_MS);
  const lease =
    id.cloud === null && !deps.listReader
      ? null
      : createLease(SCALER_DUTY, ledger, peers, clock, rng, logs.component('lease'));
  const opened = await peers.open(id.listen);
  if (!opened.ok) return opened;
  function contacts(): Set<Address> {
    const out = new Set<Address>(id.seeds);
    for (const member of ledger.controlState().members) out.add(member.address);
    return out;
  }
  const membership = createMembership(node, contacts, peers, clock, rng, logs.component('members'));
  nodes = membership;
  followRelocatedControllers(membership, () => ledger.controlState(), peers);
  function controllers(): Set<Address> {
    const out = new Set<Address>(ledger.controlState().members.length > 0 ? [] : id.seeds);
    for (const member of ledger.controlState().members) out.add(member.address);
    return out;
  }
  const list = deps.listReader
    ? createWorkerListRole({
        self: id.advertised,
        reader: deps.listReader,
        controllers,
        peers,
        clock,
        rng,
        log: logs.component('list'),
      })
    : null;
  const scaler = lease && id.cloud !== null ? startScaler(lease, id.cloud) : null;
  const observer =
    lease && list && id.cloud === null
      ? createObserver({
          ledger,
          lease,
          distribution,
          feed: list.feed,
          zones: id.zones ?? [],
          clock,
          rng,
          log: logs.component('scaler'),
        })
      : null;
  function startScaler(held: Lease, cloud: Address): Scaler {
    return createScaler({
      ledger,
      lease: held,
      distribution,
      cloud: createCloudClient(httpClient, cloud),
      platform: createPlatformClient(httpClient, id.platform),
      httpClient,
      clock,
      rng,
      log: logs.component('scaler'),
    });
  }

  function holdsScaler(): boolean {
    return lease !== null && lease.fence() !== null;
  }

  const status = createControllerStatus({
    name: id.name,
    ledger,
    claims: claims.value,
    distribution,
    coreHealth,
    membership,
    clock,
    holdsScaler,
  });
  const routes = operatorRoutes({
    ledger,
    distribution,
    latencyTargets,
    clock,
    standstill,
    status: () => status.body(),
  });
  function openHttpServer(): Promise<Result<HttpListener, WireError>> {
    return deps.httpServer.open(id.httpListen, [
      ...routes,
      metricsRoute(deps.meters(), (meters) => status.meter(meters)),
    ]);
  }
  const httpServer = id.operatorHttpServer === false ? null : await openHttpServer();
  if (httpServer && !httpServer.ok) {
    await stopAll();
    return httpServer;
  }
  const served = httpServer?.value ?? null;
  log.info('controller started', {
    member: memberId(self),
    http: served?.address ?? 'none',
    peers: opened.value.address,
  });

  async function stopAll(): Promise<void> {
    scaler?.stop();
    observer?.stop();
    list?.stop();
    lease?.stop();
    membership.leave();
    membership.stop();
    distribution.stop();
    fleetLoad.stop();
    quorumAttestation.stop();
    coreHealth.stop();
    latencyTargets.stop();
    standstill.stop();
    if (claims.ok) claims.value.stop();
    ledger.stop();
    await peers.close();
  }
  /** Orders that are still answered need no membership, so nothing that holds a connection holds up the leave. */
  async function stop(withinMs: number, listeners: readonly HttpListener[] = []): Promise<void> {
    const limits = stopLimits(withinMs);
    const closing = [...(served ? [served] : []), ...listeners].map((listener) => listener.close(limits));
    await Promise.all([ledger.leave(withinMs), ...closing]);
    await stopAll();
    log.info('controller stopped');
  }
  return ok({
    wire: opened.value.address,
    http: served?.address ?? id.http,
    distribution,
    ledger,
    claimsReady: () => claims.value.ready(),
    holdsScaler,
    reads: routes.filter(isRead),
    standstill,
    stop,
  });
}

function isRead(route: Route): boolean {
  return route.method === 'GET';
}
