import type { Message, MessageOf } from '../../protocol/messages.js';
import { memberId } from '../../state/control-state.js';
import type { ControlState } from '../../state/control-state.js';
import type { ClosedCursor, ClosedOrders, SlotRange } from '../../state/closed-orders.js';
import type { Member } from '../../state/entry.js';
import { every } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Peers } from '../members/peers.js';
import type { StoreCommand } from './store.js';

/**
 * A controller that took a snapshot did not fold the slots before it, so it lacks the orders that were closed in them.
 * It asks the other members for them one after another, page by page, beside all else; nothing waits for it.
 */
export type ClosedOrdersFetch = { readonly stop: () => void };

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

type Told = { readonly orders: readonly string[]; readonly whole: boolean };

export function createClosedOrdersFetch(deps: ClosedOrdersFetchDeps): ClosedOrdersFetch {
  const { peers, clock, log, self, controlState, closed, put } = deps;
  let asking = false;
  let asked = 0;
  let waitUntil = 0;

  function onAsk(m: MessageOf<'closedAsk'>): Message {
    if (m.ledger !== controlState().ledger) return { kind: 'closedPage', orders: [], next: null, lacking: true };
    const page = closed.page(m.slots, m.after, PAGE_LENGTH);
    return { kind: 'closedPage', orders: [...page.orders], next: page.next, lacking: page.lacking };
  }
  peers.on('closedAsk', onAsk);

  function others(): Member[] {
    const out: Member[] = [];
    for (const member of controlState().members) if (memberId(member) !== memberId(self)) out.push(member);
    return out;
  }

  /** All pages that a member has of these slots; null if it fell silent on the way. */
  async function fetchFrom(member: Member, slots: SlotRange): Promise<Told | null> {
    const orders: string[] = [];
    let whole = true;
    let after: ClosedCursor | null = null;
    for (let n = 0; n < MOST_PAGES; n += 1) {
      const reply = await peers.call(
        member.address,
        { kind: 'closedAsk', ledger: controlState().ledger, slots, after },
        PAGE_WAIT_MS,
      );
      if (!reply.ok || reply.value.kind !== 'closedPage') return null;
      orders.push(...reply.value.orders);
      if (reply.value.lacking) whole = false;
      after = reply.value.next;
      if (!after) return { orders, whole };
    }
    return null;
  }

  async function askNext(): Promise<void> {
    const slots = closed.lacking();
    const members = others();
    if (!slots || members.length === 0) return;
    const member = members[asked % members.length] as Member;
    asked += 1;
    const told = await fetchFrom(member, slots);
    const now = closed.lacking();
    if (told && now && now.from === slots.from && now.to === slots.to)
      await put({ tag: 'fillClosed', orders: told.orders, whole: told.whole });
    if (!closed.lacking())
      log.info(`Holds the closed orders of slots ${slots.from} to ${slots.to}, from ${member.name}.`);
    else if (asked % members.length === 0) waitUntil = clock.mono() + (told ? ASK_AGAIN_MS : 0);
  }

  async function turn(): Promise<void> {
    if (asking || closed.lacking() === null || clock.mono() < waitUntil) return;
    asking = true;
    await askNext();
    asking = false;
  }
  function tick(): void {
    void turn();
  }
  const ticking = every(clock, ASK_EVERY_MS, tick);
  return { stop: ticking.cancel };
}
