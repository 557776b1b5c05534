/** The orders of machines, and the fold of the entries that move them on their way. */
import type { Command, Entry } from './entry.js';
import { isOpen, mayBecome } from '../scaling/order.js';
import type { Order, OrderEvent, OrderStatus } from '../scaling/order.js';
import { APPLIED, unfit } from './outcome.js';
import type { Outcome } from './outcome.js';

/** The orders of machines. */
export type OrdersState = {
  orders: Record<string, Order>;
  /** Orders that the newest slot closed. Controllers keep them (`closed-orders.ts`); the state names them only until the next slot. */
  closed: Order[];
  /** Machines of the orders closed last, oldest first: a proxy places nothing on them though they are still listed. */
  departed: string[];
};

/** Far more machines than go while the platform's list, read each second or so, still names one. */
const DEPARTED_KEPT = 256;

function eventOf(slot: number, entry: Entry, status: OrderStatus): OrderEvent {
  return { slot, status, author: entry.author, fence: entry.fence ?? 0, cause: entry.cause, wall: entry.wall };
}

/** An order was decided. */
export function foldOrderIntended(
  state: OrdersState,
  slot: number,
  entry: Entry,
  command: Extract<Command, { tag: 'orderIntended' }>,
): Outcome {
  if (state.orders[command.order]) return unfit('order');
  const { order: id, model, zone, kind, accelerator } = command;
  const events = [eventOf(slot, entry, 'intended')];
  state.orders[id] = { id, model, zone, kind, accelerator, status: 'intended', machine: null, events };
  return APPLIED;
}

/** Machines that no order of ours asked for are taken as orders. */
export function foldOrdersAdopted(
  state: OrdersState,
  slot: number,
  entry: Entry,
  command: Extract<Command, { tag: 'ordersAdopted' }>,
): Outcome {
  const { model, kind } = command;
  for (const { order: id, zone, machine, ready } of command.adopted) {
    if (state.orders[id]) continue;
    const events = [eventOf(slot, entry, 'placed')];
    if (ready) events.push(eventOf(slot, entry, 'ready'));
    const status = ready ? 'ready' : 'placed';
    state.orders[id] = { id, model, zone, kind, accelerator: 'any', status, machine, events };
  }
  return APPLIED;
}

/** Moves an order to its next status; one that can't become that from where it is stays as it is. */
export function moveOrder(
  state: OrdersState,
  slot: number,
  entry: Entry,
  id: string,
  to: OrderStatus,
  machine: string | null = null,
): Outcome {
  const order = state.orders[id];
  if (!order || !mayBecome(order.status, to)) return unfit('order');
  const events = [...order.events, eventOf(slot, entry, to)];
  const moved: Order = { ...order, status: to, machine: machine ?? order.machine, events };
  if (isOpen(to)) state.orders[id] = moved;
  else closeOrder(state, moved);
  return APPLIED;
}

function closeOrder(state: OrdersState, order: Order): void {
  delete state.orders[order.id];
  state.closed.push(order);
  if (order.machine !== null) state.departed.push(order.machine);
  if (state.departed.length > DEPARTED_KEPT) state.departed.splice(0, state.departed.length - DEPARTED_KEPT);
}
