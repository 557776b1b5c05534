import type { NodeInfo } from '../../state/node-info.js';
import type { Belief } from '../../state/belief.js';
import type { Spot } from '../../state/candidates.js';
import { isUp } from '../../state/members.js';
import type { Membership } from './membership.js';
import type { Peers } from './peers.js';

export function followMovedHeads(membership: Membership, believed: () => Belief, peers: Peers): void {
  function onChanged(e: { readonly node: NodeInfo }): void {
    if (e.node.role !== 'headgate' || !isUp(e.node)) return;
    for (const m of believed().members) if (m.name === e.node.name) peers.knownAt(m.address, e.node.address);
  }
  membership.events.on('changed', onChanged);
}

export function spotsOf(membership: Membership): (name: string) => Spot | null {
  function spot(name: string): Spot | null {
    const node = membership.get(name);
    return node && { zone: node.zone, region: node.region, up: node.status === 'alive' };
  }
  return spot;
}
