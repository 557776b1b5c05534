/**
 * The part of a proxy that is independent of the kind of requests it serves: it follows the replicated log, is a
 * member of the fleet, and reports to the controllers under an incarnation.
 */
import { ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { MessageOf } from '../../protocol/messages.js';
import type { Report } from '../../state/distribution/report.js';
import type { NodeInfo } from '../../state/membership/node-info.js';
import type { Clock } from '../../transport/clock.js';
import type { Disk } from '../../transport/disk.js';
import type { LogRoot } from '../../transport/log.js';
import type { Rng } from '../../transport/rng.js';
import type { Address, Wire, WireError } from '../../transport/wire.js';
import { createFollower } from '../distribution/follower.js';
import type { Follower } from '../distribution/follower.js';
import { createMembership } from '../membership/failure-detector.js';
import type { Membership } from '../membership/failure-detector.js';
import { nextIncarnation } from '../membership/incarnation.js';
import { followRelocatedControllers } from '../membership/relocated-controllers.js';
import { createPeers } from '../messaging/peers.js';
import type { Peers } from '../messaging/peers.js';

/** Name, location and addresses; callers connect to `http`, other nodes to `advertised`. */
export type ProxyNodeIdentity = Pick<NodeInfo, 'name' | 'run' | 'zone' | 'region' | 'http'> & {
  readonly listen: Address;
  readonly advertised: Address;
  readonly seeds: readonly Address[];
};

/** Dependencies; without a disk no state is kept across a restart. */
export type ProxyNodeDeps = {
  readonly wire: Wire;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly logs: LogRoot;
  readonly disk: Disk | null;
};

/** A node that listens on `address`; `incarnation` returns the incarnation to report under. */
export type ProxyNode = {
  readonly address: Address;
  readonly peers: Peers;
  readonly follower: Follower;
  readonly membership: Membership;
  readonly incarnation: () => number;
};

/** Listens for other nodes, follows the replicated log and joins the fleet. The error says why it can't listen. */
export async function openProxyNode(
  identity: ProxyNodeIdentity,
  { wire, clock, rng, logs, disk }: ProxyNodeDeps,
): Promise<Result<ProxyNode, WireError>> {
  const { listen, advertised, seeds, name, run, zone, region, http } = identity;
  const peers = createPeers(wire, clock, logs.component('peers'));
  const firstIncarnation = await nextIncarnation(disk, logs.component('proxy'));
  const follower = await createFollower(identity, seeds, peers, clock, disk, logs.component('follow'));
  const opened = await peers.open(listen);
  if (!opened.ok) return opened;
  const node: NodeInfo = {
    name,
    run,
    zone,
    region,
    http,
    role: 'proxy',
    incarnation: firstIncarnation,
    address: advertised,
    status: 'alive',
  };
  const membership = createMembership(node, () => follower.controllers(), peers, clock, rng, logs.component('members'));
  followRelocatedControllers(membership, () => follower.controlState(), peers);
  const incarnation = trackIncarnation(name, firstIncarnation, peers);
  return ok({ address: opened.value.address, peers, follower, membership, incarnation });
}

/** Counts of a proxy's requests since it started. */
export type ReportedTally = Pick<Report, 'requests' | 'shed' | 'attempted' | 'retried'>;

/** Returns the fields that every proxy reports, whatever kind of requests it serves. */
export function commonReport(
  identity: Pick<NodeInfo, 'name' | 'run' | 'zone' | 'region'>,
  node: Pick<ProxyNode, 'incarnation' | 'follower'>,
  { requests, shed, attempted, retried }: ReportedTally,
  reportCount: number,
): Omit<Report, 'health' | 'http' | 'ready'> {
  return {
    reporter: identity.name,
    run: identity.run,
    incarnation: node.incarnation(),
    count: reportCount,
    requests,
    shed,
    attempted,
    retried,
    slot: node.follower.controlState().slot,
    zone: identity.zone,
    region: identity.region,
  };
}

/** Returns the incarnation to report under: higher than any that a controller remembers of a previous run. */
function trackIncarnation(name: string, firstIncarnation: number, peers: Peers): () => number {
  let incarnation = firstIncarnation;
  function onOutlived(message: MessageOf<'outlived'>): null {
    if (message.reporter === name && message.incarnation >= incarnation) incarnation = message.incarnation + 1;
    return null;
  }
  peers.on('outlived', onOutlived);
  return () => incarnation;
}
