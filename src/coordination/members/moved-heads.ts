import type { NodeInfo } from '../../state/node-info.js';
import type { ControlState } from '../../state/control-state.js';
import type { Spot } from '../../state/candidates.js';
import { isUp } from '../../state/members.js';
import type { Membership } from './membership.js';
import type { Peers } from './peers.js';

export function followMovedHeads(membership: Membership, currentControlState: () => ControlState, peers: Peers): void {
  function onChanged(e: { readonly node: NodeInfo }): void {
    if (e.node.role !== 'controller' || !isUp(e.node)) return;
    for (const m of currentControlState().members) if (m.name === e.node.name) peers.knownAt(m.address, e.node.address);
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
