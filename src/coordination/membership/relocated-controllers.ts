/** Handles controllers that serve at a different address than the one in the ledger. */
import type { NodeInfo } from '../../state/membership/node-info.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { ControllerLocation } from '../../state/distribution/controller-candidates.js';
import { isUp } from '../../state/membership/members.js';
import type { Membership } from './failure-detector.js';
import type { Peers } from '../messaging/peers.js';

/** Redirects connections to a controller to the address that the failure detector knows for it. */
export function followRelocatedControllers(
  membership: Membership,
  currentControlState: () => ControlState,
  peers: Peers,
): void {
  function onChanged(event: { readonly node: NodeInfo }): void {
    if (event.node.role !== 'controller' || !isUp(event.node)) return;
    for (const member of currentControlState().members)
      if (member.name === event.node.name) peers.relocate(member.address, event.node.address);
  }
  membership.events.on('changed', onChanged);
}

/** Returns a function that looks up the location of a node in the failure detector. */
export function createLocationLookup(membership: Membership): (name: string) => ControllerLocation | null {
  function locationOf(name: string): ControllerLocation | null {
    const node = membership.get(name);
    return node && { zone: node.zone, region: node.region, up: node.status === 'alive' };
  }
  return locationOf;
}
