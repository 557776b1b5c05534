/**
 * The newest slot of the replicated log that each proxy has applied. Proxies acknowledge slots to the controller that
 * they follow, which relays the acknowledgements to the other controllers.
 */
import type { MessageOf } from '../../protocol/messages.js';
import { otherMembers } from '../../state/consensus/fold-members.js';
import type { Clock } from '../../transport/clock.js';
import type { Ledger } from '../consensus/ledger.js';
import type { Peers } from '../messaging/peers.js';
import { setOwnValue } from '../../base/own-value.js';

/**
 * Batching delay: acknowledgements that arrive within this time are relayed to the other controllers in one message.
 */
const RELAY_DELAY_MS = 20;

/** Records and relays acknowledgements for as long as the process runs. */
export class Acknowledgements {
  private readonly slots = new Map<string, number>();
  private pendingRelay: Record<string, number> = {};
  private relayScheduled = false;

  constructor(
    private readonly ledger: Ledger,
    private readonly peers: Peers,
    private readonly clock: Clock,
  ) {
    peers.on('followed', (message) => this.onAcknowledged(message));
    peers.on('confirmed', (message) => this.onRelayed(message));
  }

  /** Returns the newest slot that this proxy has acknowledged; -1 if none. */
  acknowledgedSlot(proxy: string): number {
    return this.slots.get(proxy) ?? -1;
  }

  private onAcknowledged(message: MessageOf<'followed'>): null {
    if (!this.record(message.name, message.slot)) return null;
    setOwnValue(this.pendingRelay, message.name, message.slot);
    if (!this.relayScheduled) this.clock.timer(RELAY_DELAY_MS, () => this.relay());
    this.relayScheduled = true;
    return null;
  }

  private onRelayed(message: MessageOf<'confirmed'>): null {
    for (const [proxy, slot] of Object.entries(message.slots)) this.record(proxy, slot);
    return null;
  }

  private record(proxy: string, slot: number): boolean {
    if (this.acknowledgedSlot(proxy) >= slot) return false;
    this.slots.set(proxy, slot);
    return true;
  }

  private relay(): void {
    this.relayScheduled = false;
    const slots = this.pendingRelay;
    this.pendingRelay = {};
    for (const member of otherMembers(this.ledger.controlState().members, this.ledger.self))
      void this.peers.send(member.address, { kind: 'confirmed', slots });
  }
}
