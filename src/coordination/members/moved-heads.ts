import type { NodeInfo } from '../../state/node-info.js';
import type { ControlState } from '../../state/control-state.js';
import type { Location } from '../../state/candidates.js';
import { isUp } from '../../state/members.js';
import type { Membership } from './membership.js';
import type { Peers } from './peers.js';

export function followRelocatedControllers(
  membership: Membership,
  currentControlState: () => ControlState,
  peers: Peers,
): void {
  function onChanged(e: { readonly node: NodeInfo }): void {
    if (e.node.role !== 'controller' || !isUp(e.node)) return;
    for (const m of currentControlState().members)
      if (m.name === e.node.name) peers.relocate(m.address, e.node.address);
  }
  membership.events.on('changed', onChanged);
}

export function locationsOf(membership: Membership): (name: string) => Location | null {
  function spot(name: string): Location | null {
    const node = membership.get(name);
    return node && { zone: node.zone, region: node.region, up: node.status === 'alive' };
  }
  return spot;
}
