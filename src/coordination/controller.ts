/**
 * Composes a controller: identity, ledger, claims, change distribution, failure detector, leases and scaling.
 * `stop` closes everything that was opened, in reverse order.
 */
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { NodeInfo } from '../state/membership/node-info.js';
import { memberId, SCALER_ROLE } from '../state/consensus/control-state.js';
import type { Disk } from '../transport/disk.js';
import type { RingError, RingShape } from '../transport/ring.js';
import { newId } from '../transport/rng.js';
import { stopLimits } from '../transport/http-connections.js';
import type { HttpListener, Route } from '../transport/http.js';
import type { Address, WireError } from '../transport/wire.js';
import { CALLER_TIMEOUT_MS } from './configuration/configuration-service.js';
import { createLatencyTargetTracker } from './configuration/latency-target-tracker.js';
import { createClaims, noClaims } from './idempotency/claims.js';
import type { Claims } from './idempotency/claims.js';
import { openOrRejoinBlank } from './consensus/damaged-ring.js';
import { createCloudClient, createPlatformClient } from './scaling/cloud-client.js';
import { loadOrCreateIdentity, saveIdentity } from './membership/identity.js';
import type { Identity, IdentityError } from './membership/identity.js';
import { createLease } from './leases/lease.js';
import type { Lease } from './leases/lease.js';
import { nextIncarnation } from './membership/incarnation.js';
import { createLedger } from './consensus/ledger.js';
import { SNAPSHOT_FILES } from './consensus/snapshot-budget.js';
import type { Ledger } from './consensus/ledger.js';
import { targetGroupSize, toleratedLossesOf } from '../state/membership/target-size.js';
import { createMembership } from './membership/failure-detector.js';
import type { Membership } from './membership/failure-detector.js';
import { isUp } from '../state/membership/members.js';
import { metricsRoute } from './metrics-route.js';
import type { NodeDeps, NodeIdentity } from './node.js';
import { followRelocatedControllers } from './membership/relocated-controllers.js';
import { operatorRoutes } from './configuration/operator-http-server.js';
import { watchProcessPauses } from './configuration/recent-process-pause.js';
import type { RecentProcessPause } from './configuration/recent-process-pause.js';
import { createPeers } from './messaging/peers.js';
import { createFleetLoadRelay } from './distribution/fleet-load-relay.js';
import { createQuorumAttestation } from './distribution/quorum-attestation.js';
import { createControllerStatus } from './controller-status.js';
import { createCoreHealthWatch } from './membership/core-health-watch.js';
import { createChangeDistribution } from './distribution/change-distribution.js';
import type { ChangeDistribution } from './distribution/change-distribution.js';
import { createWorkerListRole } from './scaling/worker-list-role.js';
import { createListScaler } from './scaling/list-scaler.js';
import { createScaler } from './scaling/scaler.js';
import type { Scaler } from './scaling/scaler.js';

/** A running controller. */
export type Controller = {
  readonly wire: Address;
  readonly http: Address;
  readonly distribution: Pick<ChangeDistribution, 'reports' | 'lastContactAt' | 'firstContactAt' | 'quorate'>;
  readonly ledger: Ledger;
  readonly claimsReady: () => boolean;
  readonly holdsScaler: () => boolean;
  readonly readRoutes: readonly Route[];
  /** For operator orders that are accepted outside the controller's own HTTP interface. */
  readonly processPause: Pick<RecentProcessPause, 'isRecent'>;
  /**
   * Leaves the group and responds to the requests that were already read, also those at the given `listeners`, for at
   * most `withinMs`. Then stops everything.
   */
  readonly stop: (withinMs: number, listeners?: readonly HttpListener[]) => Promise<void>;
};

/** The reason why a controller could not start. */
export type ControllerError = WireError | RingError | { readonly tag: 'noDisk' } | IdentityError;

/** Sizes of the two rings on a controller's disk. */
export type ControllerRingShapes = { readonly ledger: RingShape; readonly claims: RingShape };

const MB = 1_048_576;

/** Ring sizes of a controller whose disk is large enough: 200 MB for the ledger and 164 MB for the claims. */
export const CONTROLLER_SHAPES: ControllerRingShapes = {
  ledger: { name: 'ledger', files: 6, fileBytes: 8 * MB, snapshotBytes: 76 * MB },
  claims: { name: 'claims', files: 6, fileBytes: 4 * MB, snapshotBytes: 70 * MB },
};

/** Returns ring sizes that fit on a disk of `diskBytes` bytes. */
export function ringShapesFor(diskBytes: number): ControllerRingShapes {
  const unit = Math.max(MB / 4, Math.min(8 * MB, Math.floor(diskBytes / 64)));
  return {
    ledger: { name: 'ledger', files: 4, fileBytes: unit, snapshotBytes: Math.ceil(SNAPSHOT_FILES * unit) },
    claims: { name: 'claims', files: 4, fileBytes: unit, snapshotBytes: 8 * unit },
  };
}

/** Starts a controller. The error says what could not be opened; everything opened before it has been closed. */
export async function startController(
  nodeIdentity: NodeIdentity,
  deps: NodeDeps,
  shapeOverride?: ControllerRingShapes,
): Promise<Result<Controller, ControllerError>> {
  const { clock, rng, logs, httpClient, disk } = deps;
  const log = logs.component('controller');
  if (!disk) return err({ tag: 'noDisk' });
  const shapes =
    shapeOverride ?? (nodeIdentity.diskBytes === undefined ? CONTROLLER_SHAPES : ringShapesFor(nodeIdentity.diskBytes));
  const isBootstrapping = nodeIdentity.bootstrap === true && nodeIdentity.seeds.includes(nodeIdentity.advertised);
  const openedIdentity = await loadOrCreateIdentity(disk, rng, isBootstrapping ? nodeIdentity.seeds : null);
  if (!openedIdentity.ok) return openedIdentity;
  const { incarnation } = openedIdentity.value;
  const self: { name: string; incarnation: string; address: Address } = {
    name: nodeIdentity.name,
    incarnation,
    address: nodeIdentity.advertised,
  };
  const peers = createPeers(deps.wire, clock, logs.component('peers'));
  const node: NodeInfo = {
    name: nodeIdentity.name,
    role: 'controller',
    run: nodeIdentity.run,
    incarnation: await nextIncarnation(disk, log),
    address: nodeIdentity.advertised,
    http: nodeIdentity.http,
    zone: nodeIdentity.zone,
    region: nodeIdentity.region,
    status: 'alive',
  };

  let storedIdentity = openedIdentity.value;
  async function storeIdentity(next: Identity): Promise<boolean> {
    const saved = await saveIdentity(disk as Disk, next);
    if (saved.ok) storedIdentity = next;
    return saved.ok;
  }
  async function renewIncarnation(): Promise<boolean> {
    const renewed = await storeIdentity({ incarnation: newId(rng, 'i'), bootstrapMembers: null, wasMember: false });
    self.incarnation = storedIdentity.incarnation;
    return renewed;
  }
  function recordMember(): Promise<boolean> {
    return storeIdentity({ ...storedIdentity, wasMember: true });
  }
  let startedMembership: Membership | null = null;
  function knownControllers(): Set<Address> {
    const addresses = new Set<Address>(nodeIdentity.seeds);
    for (const node of startedMembership?.all() ?? [])
      if (node.role === 'controller' && isUp(node)) addresses.add(node.address);
    return addresses;
  }
  function ownId(): string {
    return memberId(self);
  }
  const presentDisk = disk;
  function openLedger(): Promise<Result<Ledger, RingError>> {
    return createLedger({
      clock,
      rng,
      peers,
      disk: presentDisk,
      log: logs.component('ledger'),
      shape: shapes.ledger,
      self,
      seeds: nodeIdentity.seeds,
      knownAddresses: knownControllers,
      bootstrapMembers: storedIdentity.bootstrapMembers,
      renewIncarnation,
      wasMember: storedIdentity.wasMember,
      recordMembership: recordMember,
      keepsClaims: nodeIdentity.claims !== false,
      targetSize: targetGroupSize(nodeIdentity.toleratedLosses ?? toleratedLossesOf(nodeIdentity.seeds.length)),
    });
  }
  const openedLedger = await openOrRejoinBlank(openLedger, {
    disk,
    shape: shapes.ledger,
    log,
    renewIncarnation,
    memberId: ownId,
  });
  if (!openedLedger.ok) return openedLedger;
  const ledger = openedLedger.value;
  function openClaims(): Promise<Result<Claims, RingError>> {
    return createClaims(ledger, peers, presentDisk, shapes.claims, clock, logs.component('claims'));
  }
  const claims =
    nodeIdentity.claims === false
      ? ok(noClaims())
      : await openOrRejoinBlank(openClaims, {
          disk,
          shape: shapes.claims,
          log,
          renewIncarnation,
          memberId: ownId,
        });
  if (!claims.ok) {
    ledger.stop();
    return claims;
  }
  const coreHealth = createCoreHealthWatch({
    ledger,
    claims: nodeIdentity.claims === false ? null : claims.value,
    peers,
    clock,
    log: logs.component('core'),
  });
  const quorumAttestation = createQuorumAttestation(ledger, clock);
  const distribution = createChangeDistribution(ledger, quorumAttestation, peers, clock, logs.component('push'));
  const fleetLoad = createFleetLoadRelay(ledger, peers, clock, rng);
  const latencyTargets = createLatencyTargetTracker(ledger, peers, clock);
  const processPause = watchProcessPauses(clock, CALLER_TIMEOUT_MS);
  const lease =
    nodeIdentity.cloud === null && !deps.workerListReader
      ? null
      : createLease(SCALER_ROLE, ledger, peers, clock, rng, logs.component('lease'));
  const openedPeers = await peers.open(nodeIdentity.listen);
  if (!openedPeers.ok) return openedPeers;
  function peerAddresses(): Set<Address> {
    const addresses = new Set<Address>(nodeIdentity.seeds);
    for (const member of ledger.controlState().members) addresses.add(member.address);
    return addresses;
  }
  const membership = createMembership(node, peerAddresses, peers, clock, rng, logs.component('members'));
  startedMembership = membership;
  followRelocatedControllers(membership, () => ledger.controlState(), peers);
  function controllerAddresses(): Set<Address> {
    const addresses = new Set<Address>(ledger.controlState().members.length > 0 ? [] : nodeIdentity.seeds);
    for (const member of ledger.controlState().members) addresses.add(member.address);
    return addresses;
  }
  const workerListRole = deps.workerListReader
    ? createWorkerListRole({
        self: nodeIdentity.advertised,
        reader: deps.workerListReader,
        controllers: controllerAddresses,
        peers,
        clock,
        rng,
        log: logs.component('list'),
      })
    : null;
  const scaler = lease && nodeIdentity.cloud !== null ? startScaler(lease, nodeIdentity.cloud) : null;
  const observer =
    lease && workerListRole && nodeIdentity.cloud === null
      ? createListScaler({
          ledger,
          lease,
          distribution,
          feed: workerListRole.feed,
          zones: nodeIdentity.zones ?? [],
          clock,
          rng,
          log: logs.component('scaler'),
        })
      : null;
  function startScaler(scalerLease: Lease, cloud: Address): Scaler {
    return createScaler({
      ledger,
      lease: scalerLease,
      distribution,
      cloud: createCloudClient(httpClient, cloud),
      platform: createPlatformClient(httpClient, nodeIdentity.platform),
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
    name: nodeIdentity.name,
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
    processPause,
    status: () => status.body(),
  });
  function openOperatorServer(): Promise<Result<HttpListener, WireError>> {
    return deps.httpServer.open(nodeIdentity.httpListen, [
      ...routes,
      metricsRoute(deps.meters(), (meters) => status.setGauges(meters)),
    ]);
  }
  const operatorServer = nodeIdentity.operatorHttpServer === false ? null : await openOperatorServer();
  if (operatorServer && !operatorServer.ok) {
    await stopAll();
    return operatorServer;
  }
  const operatorListener = operatorServer?.value ?? null;
  log.info('controller started', {
    member: memberId(self),
    http: operatorListener?.address ?? 'none',
    peers: openedPeers.value.address,
  });

  async function stopAll(): Promise<void> {
    scaler?.stop();
    observer?.stop();
    workerListRole?.stop();
    lease?.stop();
    membership.leave();
    membership.stop();
    distribution.stop();
    fleetLoad.stop();
    quorumAttestation.stop();
    coreHealth.stop();
    latencyTargets.stop();
    processPause.stop();
    if (claims.ok) claims.value.stop();
    ledger.stop();
    await peers.close();
  }
  /**
   * Leaves the group and closes the listeners at the same time. Responding to orders needs no membership, so the leave
   * doesn't wait for open connections.
   */
  async function stop(withinMs: number, listeners: readonly HttpListener[] = []): Promise<void> {
    const limits = stopLimits(withinMs);
    const closing = [...(operatorListener ? [operatorListener] : []), ...listeners].map((listener) =>
      listener.close(limits),
    );
    await Promise.all([ledger.leave(withinMs), ...closing]);
    await stopAll();
    log.info('controller stopped');
  }
  return ok({
    wire: openedPeers.value.address,
    http: operatorListener?.address ?? nodeIdentity.http,
    distribution,
    ledger,
    claimsReady: () => claims.value.ready(),
    holdsScaler,
    readRoutes: routes.filter(isReadRoute),
    processPause,
    stop,
  });
}

function isReadRoute(route: Route): boolean {
  return route.method === 'GET';
}
