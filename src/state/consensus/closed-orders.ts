/** Closed orders, kept by each controller beside the replicated state. */
import { isTable } from '../../base/is-table.js';
import { parsedJson } from '../../base/parsed-json.js';
import type { Order } from '../scaling/order.js';

/**
 * The orders that were closed, as a controller keeps them: who ordered which machine, when and why. They are
 * no part of the replicated state, which names only those that its newest slot closed; each controller adds
 * these here as it folds, writes them with its own snapshot, and asks others for those it did not fold itself.
 * Bounded in number and in bytes, the oldest first; sorted by the slot that closed them, then by id.
 */
export interface ClosedOrders {
  add(order: Order): void;
  /** Notes that these slots were not folded here, so that orders closed in them may be lacking. */
  skip(slots: SlotRange): void;
  /** Slots whose closed orders may be lacking here; null while all are known. */
  lacking(): SlotRange | null;
  /** Takes what another controller told of the lacking slots; `whole` if that was all that there is. */
  fill(texts: readonly string[], complete: boolean): void;
  page(slots: SlotRange, after: ClosedCursor | null, mostLength: number): ClosedPage;
  all(): Order[];
  saved(): SavedClosedOrders;
}

/** Slots from one to another, both included. */
export type SlotRange = { readonly from: number; readonly to: number };

/** The place of one closed order in the list. */
export type ClosedCursor = { readonly slot: number; readonly id: string };

/** A page of closed orders, as stored texts. */
export type ClosedPage = {
  readonly orders: readonly string[];
  /** Where the next page goes on; null after the last one. */
  readonly next: ClosedCursor | null;
  /** Whether some of the asked slots are lacking here too. */
  readonly lacking: boolean;
};

/** A closed order as text, with its place in the sequence. */
export type ClosedOrder = ClosedCursor & { readonly text: string };

/** The form on the disk, inside the controller's own snapshot. */
export type SavedClosedOrders = { readonly orders: readonly ClosedOrder[]; readonly lacking: SlotRange | null };

/** At some 700 bytes each, and hundreds of orders a day, this is what an operator can be told of the last days. */
export const MOST_CLOSED = 2_000;

function compare(left: ClosedCursor, right: ClosedCursor): number {
  return left.slot - right.slot || (left.id < right.id ? -1 : left.id > right.id ? 1 : 0);
}

function closedOf(order: Order, text: string): ClosedOrder | null {
  const last = order.events[order.events.length - 1];
  return last ? { slot: last.slot, id: order.id, text } : null;
}

function parsedOrder(text: string): Order | null {
  const order = parsedJson(text);
  if (!isTable(order) || typeof order['id'] !== 'string' || !Array.isArray(order['events'])) return null;
  for (const event of order['events']) if (!isTable(event) || !Number.isInteger(event['slot'])) return null;
  return order as Order;
}

function isWithin(closed: ClosedOrder, slots: SlotRange): boolean {
  return closed.slot >= slots.from && closed.slot <= slots.to;
}

class BoundedClosedOrders implements ClosedOrders {
  private list: ClosedOrder[];
  private currentLacking: SlotRange | null;
  private length = 0;

  constructor(
    private readonly mostBytes: number,
    before: SavedClosedOrders | null,
  ) {
    this.list = before ? [...before.orders] : [];
    this.currentLacking = before ? before.lacking : null;

    for (const closed of this.list) this.length += closed.text.length;
  }

  private insert(closed: ClosedOrder): void {
    let at = this.list.length;
    while (at > 0 && compare(this.list[at - 1] as ClosedOrder, closed) > 0) at -= 1;
    if (at > 0 && compare(this.list[at - 1] as ClosedOrder, closed) === 0) return;
    this.list.splice(at, 0, closed);
    this.length += closed.text.length;
  }

  /** Orders older than the oldest that has room are nobody's to ask for any more. */
  private trim(): void {
    let dropped = 0;
    while (this.list.length - dropped > MOST_CLOSED || this.length > this.mostBytes) {
      this.length -= (this.list[dropped] as ClosedOrder).text.length;
      dropped += 1;
    }
    if (dropped === 0) return;
    this.list = this.list.slice(dropped);
    const oldest = this.list[0];
    if (this.currentLacking && (!oldest || this.currentLacking.to < oldest.slot)) this.currentLacking = null;
  }

  add(order: Order): void {
    const closed = closedOf(order, JSON.stringify(order));
    if (closed) this.insert(closed);
    this.trim();
  }

  skip(slots: SlotRange): void {
    this.currentLacking = this.currentLacking
      ? { from: Math.min(this.currentLacking.from, slots.from), to: Math.max(this.currentLacking.to, slots.to) }
      : slots;
  }

  lacking(): SlotRange | null {
    return this.currentLacking;
  }

  fill(texts: readonly string[], complete: boolean): void {
    const slots = this.currentLacking;
    if (!slots) return;
    for (const text of texts) {
      const order = parsedOrder(text);
      const closed = order && closedOf(order, text);
      if (closed && isWithin(closed, slots)) this.insert(closed);
    }
    if (complete) this.currentLacking = null;
    this.trim();
  }

  page(slots: SlotRange, after: ClosedCursor | null, mostLength: number): ClosedPage {
    const orders: string[] = [];
    let size = 0;
    let last: ClosedOrder | null = null;
    const isLacking =
      this.currentLacking !== null && this.currentLacking.from <= slots.to && slots.from <= this.currentLacking.to;
    for (const closed of this.list) {
      if (!isWithin(closed, slots) || (after && compare(closed, after) <= 0)) continue;
      size += closed.text.length;
      if (last && size > mostLength) return { orders, next: { slot: last.slot, id: last.id }, lacking: isLacking };
      orders.push(closed.text);
      last = closed;
    }
    return { orders, next: null, lacking: isLacking };
  }

  all(): Order[] {
    const out: Order[] = [];
    for (const closed of this.list) out.push(JSON.parse(closed.text) as Order);
    return out;
  }

  saved(): SavedClosedOrders {
    return { orders: this.list, lacking: this.currentLacking };
  }
}

/** The orders that were stored before, within `mostBytes`. */
export function createClosedOrders(mostBytes: number, before: SavedClosedOrders | null): ClosedOrders {
  return new BoundedClosedOrders(mostBytes, before);
}
