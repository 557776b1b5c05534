/** Fetches the closed orders that a controller did not fold itself, because it took a snapshot. */
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { ClosedCursor, ClosedOrders, SlotRange } from '../../state/consensus/closed-orders.js';
import type { Member } from '../../state/consensus/entry.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Peers } from '../messaging/peers.js';
import type { StoreCommand } from './store.js';
import { otherMembers } from '../../state/consensus/fold-members.js';

/**
 * A controller that took a snapshot did not fold the slots before it, so it lacks the orders that were closed in them.
 * It asks the other members for them one after another, page by page, beside all else; nothing waits for it.
 */
export interface ClosedOrdersFetch {
  stop(): void;
}

/** The closed orders to complete; `put` writes what was fetched. */
export type ClosedOrdersFetchDeps = {
  readonly peers: Pick<Peers, 'call' | 'on'>;
  readonly clock: Clock;
  readonly log: Log;
  readonly self: Member;
  readonly controlState: () => ControlState;
  readonly closed: ClosedOrders;
  readonly put: (command: StoreCommand) => Promise<unknown>;
};

const ASK_EVERY_MS = 2_000;
/** Where all members lack them, they may be lost with the disks that held them: asked for rarely. */
const ASK_AGAIN_MS = 60_000;
const PAGE_WAIT_MS = 2_000;
const PAGE_LENGTH = 40_000;
const MOST_PAGES = 512;

type FetchedRecords = { readonly orders: readonly string[]; readonly complete: boolean };

class ClosedOrdersFetcher implements ClosedOrdersFetch {
  private fetching = false;
  private requestCount = 0;
  private waitUntil = 0;
  private readonly ticking: Timer;

  constructor(private readonly deps: ClosedOrdersFetchDeps) {
    this.deps.peers.on('closedAsk', (message) => this.onPageRequest(message));
    this.ticking = every(this.deps.clock, ASK_EVERY_MS, () => this.tick());
  }

  private onPageRequest(message: MessageOf<'closedAsk'>): Message {
    if (message.ledger !== this.deps.controlState().ledger)
      return { kind: 'closedPage', orders: [], next: null, lacking: true };
    const page = this.deps.closed.page(message.slots, message.after, PAGE_LENGTH);
    return { kind: 'closedPage', orders: [...page.orders], next: page.next, lacking: page.lacking };
  }

  private others(): Member[] {
    return otherMembers(this.deps.controlState().members, this.deps.self);
  }

  /** All pages that a member has of these slots; null if it fell silent on the way. */
  private async fetchFrom(member: Member, slots: SlotRange): Promise<FetchedRecords | null> {
    const orders: string[] = [];
    let complete = true;
    let after: ClosedCursor | null = null;
    for (let count = 0; count < MOST_PAGES; count += 1) {
      const reply = await this.deps.peers.call(
        member.address,
        { kind: 'closedAsk', ledger: this.deps.controlState().ledger, slots, after },
        PAGE_WAIT_MS,
      );
      if (!reply.ok || reply.value.kind !== 'closedPage') return null;
      orders.push(...reply.value.orders);
      if (reply.value.lacking) complete = false;
      after = reply.value.next;
      if (!after) return { orders, complete };
    }
    return null;
  }

  private async fetchNext(): Promise<void> {
    const slots = this.deps.closed.lacking();
    const members = this.others();
    if (!slots || members.length === 0) return;
    const member = members[this.requestCount % members.length] as Member;
    this.requestCount += 1;
    const fetched = await this.fetchFrom(member, slots);
    const now = this.deps.closed.lacking();
    if (fetched && now && now.from === slots.from && now.to === slots.to)
      await this.deps.put({ tag: 'fillClosed', orders: fetched.orders, whole: fetched.complete });
    if (!this.deps.closed.lacking())
      this.deps.log.info('closed orders complete', { fromSlot: slots.from, toSlot: slots.to, from: member.name });
    else if (this.requestCount % members.length === 0)
      this.waitUntil = this.deps.clock.mono() + (fetched ? ASK_AGAIN_MS : 0);
  }

  private async runTurn(): Promise<void> {
    if (this.fetching || this.deps.closed.lacking() === null || this.deps.clock.mono() < this.waitUntil) return;
    this.fetching = true;
    await this.fetchNext();
    this.fetching = false;
  }

  private tick(): void {
    void this.runTurn();
  }

  stop(): void {
    this.ticking.cancel();
  }
}

/** Fetches in the background until nothing lacks; `stop` ends it. */
export function createClosedOrdersFetch(deps: ClosedOrdersFetchDeps): ClosedOrdersFetch {
  return new ClosedOrdersFetcher(deps);
}
