/**
 * What every proxy is towards the other nodes, whatever requests it serves: a follower of the ledger, a member of the
 * fleet, and a reporter with an incarnation.
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

/** Name and location; `http` is where callers reach it, `advertised` where other nodes do. */
export type ProxyNodeIdentity = Pick<NodeInfo, 'name' | 'run' | 'zone' | 'region' | 'http'> & {
  readonly listen: Address;
  readonly advertised: Address;
  readonly seeds: readonly Address[];
};

/** What it works with; without a disk nothing is kept over a restart. */
export type ProxyNodeDeps = {
  readonly wire: Wire;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly logs: LogRoot;
  readonly disk: Disk | null;
};

/** A node that listens at `address`; `incarnation` is the one to report under. */
export type ProxyNode = {
  readonly address: Address;
  readonly peers: Peers;
  readonly follower: Follower;
  readonly membership: Membership;
  readonly incarnation: () => number;
};

/** Listens to other nodes, follows the ledger and joins the fleet. The error says why it can't listen. */
export async function openProxyNode(
  identity: ProxyNodeIdentity,
  { wire, clock, rng, logs, disk }: ProxyNodeDeps,
): Promise<Result<ProxyNode, WireError>> {
  const { listen, advertised, seeds, name, run, zone, region, http } = identity;
  const peers = createPeers(wire, clock, logs.component('peers'));
  const first = await nextIncarnation(disk, logs.component('proxy'));
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
    incarnation: first,
    address: advertised,
    status: 'alive',
  };
  const membership = createMembership(node, () => follower.controllers(), peers, clock, rng, logs.component('members'));
  followRelocatedControllers(membership, () => follower.controlState(), peers);
  const incarnation = reportIncarnation(name, first, peers);
  return ok({ address: opened.value.address, peers, follower, membership, incarnation });
}

/** What a proxy's requests have come to since it began. */
export type ReportedTally = Pick<Report, 'requests' | 'shed' | 'attempted' | 'retried'>;

/** What every proxy reports of itself, whatever requests it serves. */
export function commonReport(
  identity: Pick<NodeInfo, 'name' | 'run' | 'zone' | 'region'>,
  node: Pick<ProxyNode, 'incarnation' | 'follower'>,
  { requests, shed, attempted, retried }: ReportedTally,
  count: number,
): Omit<Report, 'health' | 'http' | 'ready'> {
  return {
    reporter: identity.name,
    run: identity.run,
    incarnation: node.incarnation(),
    count,
    requests,
    shed,
    attempted,
    retried,
    slot: node.follower.controlState().slot,
    zone: identity.zone,
    region: identity.region,
  };
}

/** The incarnation to report under: above any that a controller remembers of a former run. */
function reportIncarnation(name: string, first: number, peers: Peers): () => number {
  let incarnation = first;
  function onOutlived(message: MessageOf<'outlived'>): null {
    if (message.reporter === name && message.incarnation >= incarnation) incarnation = message.incarnation + 1;
    return null;
  }
  peers.on('outlived', onOutlived);
  return () => incarnation;
}
