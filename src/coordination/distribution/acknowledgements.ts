/**
 * How far each proxy has folded the ledger, as the proxies acknowledge it to the controller that they follow and the
 * controllers tell each other.
 */
import type { MessageOf } from '../../protocol/messages.js';
import { otherMembers } from '../../state/consensus/fold-members.js';
import type { Clock } from '../../transport/clock.js';
import type { Ledger } from '../consensus/ledger.js';
import type { Peers } from '../messaging/peers.js';

/** Acknowledgements that come within this time of each other go to the other controllers in one message. */
const RELAY_DELAY_MS = 20;

/** Counts acknowledgements for as long as the process runs. */
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

  /** The newest slot that this proxy acknowledged; -1 if none. */
  slotOf(proxy: string): number {
    return this.slots.get(proxy) ?? -1;
  }

  private onAcknowledged(message: MessageOf<'followed'>): null {
    if (!this.record(message.name, message.slot)) return null;
    this.pendingRelay[message.name] = message.slot;
    if (!this.relayScheduled) this.clock.timer(RELAY_DELAY_MS, () => this.relay());
    this.relayScheduled = true;
    return null;
  }

  private onRelayed(message: MessageOf<'confirmed'>): null {
    for (const [proxy, slot] of Object.entries(message.slots)) this.record(proxy, slot);
    return null;
  }

  private record(proxy: string, slot: number): boolean {
    if (this.slotOf(proxy) >= slot) return false;
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
