/** Fetches the closed orders of slots that a controller skipped by adopting a snapshot. */
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
 * A controller that adopted a snapshot has not applied the slots before it, so it lacks the orders closed in them. It
 * requests them from the other members, one member at a time and page by page, in the background; nothing waits for it.
 */
export interface ClosedOrdersFetch {
  stop(): void;
}

/** The closed orders to complete; `put` stores the fetched ones. */
export type ClosedOrdersFetchDeps = {
  readonly peers: Pick<Peers, 'call' | 'on'>;
  readonly clock: Clock;
  readonly log: Log;
  readonly self: Member;
  readonly controlState: () => ControlState;
  readonly closed: ClosedOrders;
  readonly put: (command: StoreCommand) => Promise<unknown>;
};

const CHECK_INTERVAL_MS = 2_000;
/** If all members lack the orders, they may be lost with the disks that held them, so the next attempt comes late. */
const RETRY_INTERVAL_MS = 60_000;
const PAGE_TIMEOUT_MS = 2_000;
const MAX_PAGE_CHARS = 40_000;
const MAX_PAGES = 512;

type FetchedOrders = { readonly orders: readonly string[]; readonly complete: boolean };

class ClosedOrdersFetcher implements ClosedOrdersFetch {
  private isFetching = false;
  private requestCount = 0;
  private nextFetchAt = 0;
  private readonly timer: Timer;

  constructor(private readonly deps: ClosedOrdersFetchDeps) {
    this.deps.peers.on('closedAsk', (message) => this.onPageRequest(message));
    this.timer = every(this.deps.clock, CHECK_INTERVAL_MS, () => this.tick());
  }

  private onPageRequest(message: MessageOf<'closedAsk'>): Message {
    if (message.ledger !== this.deps.controlState().ledger)
      return { kind: 'closedPage', orders: [], next: null, lacking: true };
    const page = this.deps.closed.page(message.slots, message.after, MAX_PAGE_CHARS);
    return { kind: 'closedPage', orders: [...page.orders], next: page.next, lacking: page.lacking };
  }

  private others(): Member[] {
    return otherMembers(this.deps.controlState().members, this.deps.self);
  }

  /** Fetches all pages that a member has for these slots; null if it stopped responding. */
  private async fetchFrom(member: Member, slots: SlotRange): Promise<FetchedOrders | null> {
    const orders: string[] = [];
    let complete = true;
    let after: ClosedCursor | null = null;
    for (let pageCount = 0; pageCount < MAX_PAGES; pageCount += 1) {
      const reply = await this.deps.peers.call(
        member.address,
        { kind: 'closedAsk', ledger: this.deps.controlState().ledger, slots, after },
        PAGE_TIMEOUT_MS,
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
    const stillLacking = this.deps.closed.lacking();
    if (fetched && stillLacking && stillLacking.from === slots.from && stillLacking.to === slots.to)
      await this.deps.put({ tag: 'fillClosed', orders: fetched.orders, whole: fetched.complete });
    if (!this.deps.closed.lacking())
      this.deps.log.info('closed orders complete', { fromSlot: slots.from, toSlot: slots.to, from: member.name });
    else if (this.requestCount % members.length === 0)
      this.nextFetchAt = this.deps.clock.mono() + (fetched ? RETRY_INTERVAL_MS : 0);
  }

  private async runTick(): Promise<void> {
    if (this.isFetching || this.deps.closed.lacking() === null || this.deps.clock.mono() < this.nextFetchAt) return;
    this.isFetching = true;
    await this.fetchNext();
    this.isFetching = false;
  }

  private tick(): void {
    void this.runTick();
  }

  stop(): void {
    this.timer.cancel();
  }
}

/** Starts fetching in the background whenever closed orders are missing; `stop` ends it. */
export function createClosedOrdersFetch(deps: ClosedOrdersFetchDeps): ClosedOrdersFetch {
  return new ClosedOrdersFetcher(deps);
}
