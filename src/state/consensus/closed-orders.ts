/** Closed orders, kept by each controller beside the replicated state. */
import { isJsonObject } from '../../base/is-json-object.js';
import { parseJson } from '../../base/parse-json.js';
import type { Order } from '../scaling/order.js';

/**
 * The history of closed orders on one controller: who ordered which machine, when and why. It is not part of the
 * replicated state, which lists only the orders closed by its newest slot. Each controller adds those orders here as
 * it applies the slot, stores them with its own snapshot, and requests from other controllers the orders of slots
 * that it did not apply itself. Bounded in number and in bytes, with the oldest dropped first; sorted by the slot
 * that closed the order, then by id.
 */
export interface ClosedOrders {
  add(order: Order): void;
  /** Records that these slots were not applied here, so that orders closed in them may be missing. */
  markMissing(slots: SlotRange): void;
  /** Slots whose closed orders may be missing here; null if none are missing. */
  lacking(): SlotRange | null;
  /** Adds orders of the missing slots, received from another controller. `complete`: these were all that exist. */
  addMissing(texts: readonly string[], complete: boolean): void;
  page(slots: SlotRange, after: ClosedCursor | null, maxLength: number): ClosedPage;
  all(): Order[];
  saved(): SavedClosedOrders;
}

/** A range of slots, both ends included. */
export type SlotRange = { readonly from: number; readonly to: number };

/** The position of a closed order in the list. */
export type ClosedCursor = { readonly slot: number; readonly id: string };

/** A page of closed orders, as their stored JSON texts. */
export type ClosedPage = {
  readonly orders: readonly string[];
  /** Position after which the next page starts; null on the last page. */
  readonly next: ClosedCursor | null;
  /** Whether orders of the requested slots may be missing here too. */
  readonly lacking: boolean;
};

/** A closed order as JSON text, with its position in the list. */
export type ClosedOrder = ClosedCursor & { readonly text: string };

/** The form on disk, inside the controller's own snapshot. */
export type SavedClosedOrders = { readonly orders: readonly ClosedOrder[]; readonly lacking: SlotRange | null };

/** Maximum number of closed orders: several days of history at hundreds of orders a day, some 700 bytes each. */
export const MAX_CLOSED_ORDERS = 2_000;

function compareCursors(left: ClosedCursor, right: ClosedCursor): number {
  return left.slot - right.slot || (left.id < right.id ? -1 : left.id > right.id ? 1 : 0);
}

function toClosedOrder(order: Order, text: string): ClosedOrder | null {
  const last = order.events[order.events.length - 1];
  return last ? { slot: last.slot, id: order.id, text } : null;
}

function parseOrder(text: string): Order | null {
  const order = parseJson(text);
  if (!isJsonObject(order) || typeof order['id'] !== 'string' || !Array.isArray(order['events'])) return null;
  for (const event of order['events']) if (!isJsonObject(event) || !Number.isInteger(event['slot'])) return null;
  return order as Order;
}

/** The size of a closed order in a snapshot: its text is JSON inside JSON. */
function storedBytesOf(closed: ClosedOrder): number {
  return Buffer.byteLength(JSON.stringify(closed)) + 1;
}

function isWithin(closed: ClosedOrder, slots: SlotRange): boolean {
  return closed.slot >= slots.from && closed.slot <= slots.to;
}

class BoundedClosedOrders implements ClosedOrders {
  private list: ClosedOrder[];
  private missingSlots: SlotRange | null;
  private storedBytes = 0;

  constructor(
    private readonly maxBytes: number,
    saved: SavedClosedOrders | null,
  ) {
    this.list = saved ? [...saved.orders] : [];
    this.missingSlots = saved ? saved.lacking : null;

    for (const closed of this.list) this.storedBytes += storedBytesOf(closed);
  }

  private insert(closed: ClosedOrder): void {
    let index = this.list.length;
    while (index > 0 && compareCursors(this.list[index - 1] as ClosedOrder, closed) > 0) index -= 1;
    if (index > 0 && compareCursors(this.list[index - 1] as ClosedOrder, closed) === 0) return;
    this.list.splice(index, 0, closed);
    this.storedBytes += storedBytesOf(closed);
  }

  /**
   * Drops the oldest orders beyond the bounds. Missing slots older than the oldest order kept are no longer requested,
   * since there would be no room for their orders.
   */
  private trim(): void {
    let dropped = 0;
    while (this.list.length - dropped > MAX_CLOSED_ORDERS || this.storedBytes > this.maxBytes) {
      this.storedBytes -= storedBytesOf(this.list[dropped] as ClosedOrder);
      dropped += 1;
    }
    if (dropped === 0) return;
    this.list = this.list.slice(dropped);
    const oldest = this.list[0];
    if (this.missingSlots && (!oldest || this.missingSlots.to < oldest.slot)) this.missingSlots = null;
  }

  add(order: Order): void {
    const closed = toClosedOrder(order, JSON.stringify(order));
    if (closed) this.insert(closed);
    this.trim();
  }

  markMissing(slots: SlotRange): void {
    this.missingSlots = this.missingSlots
      ? { from: Math.min(this.missingSlots.from, slots.from), to: Math.max(this.missingSlots.to, slots.to) }
      : slots;
  }

  lacking(): SlotRange | null {
    return this.missingSlots;
  }

  addMissing(texts: readonly string[], complete: boolean): void {
    const slots = this.missingSlots;
    if (!slots) return;
    for (const text of texts) {
      const order = parseOrder(text);
      const closed = order && toClosedOrder(order, text);
      if (closed && isWithin(closed, slots)) this.insert(closed);
    }
    if (complete) this.missingSlots = null;
    this.trim();
  }

  page(slots: SlotRange, after: ClosedCursor | null, maxLength: number): ClosedPage {
    const orders: string[] = [];
    let size = 0;
    let last: ClosedOrder | null = null;
    const mayMissSome =
      this.missingSlots !== null && this.missingSlots.from <= slots.to && slots.from <= this.missingSlots.to;
    for (const closed of this.list) {
      if (!isWithin(closed, slots) || (after && compareCursors(closed, after) <= 0)) continue;
      size += closed.text.length;
      if (last && size > maxLength) return { orders, next: { slot: last.slot, id: last.id }, lacking: mayMissSome };
      orders.push(closed.text);
      last = closed;
    }
    return { orders, next: null, lacking: mayMissSome };
  }

  all(): Order[] {
    const orders: Order[] = [];
    for (const closed of this.list) orders.push(JSON.parse(closed.text) as Order);
    return orders;
  }

  saved(): SavedClosedOrders {
    return { orders: this.list, lacking: this.missingSlots };
  }
}

/** Creates the history from its stored form, bounded to `maxBytes`. */
export function createClosedOrders(maxBytes: number, saved: SavedClosedOrders | null): ClosedOrders {
  return new BoundedClosedOrders(maxBytes, saved);
}
