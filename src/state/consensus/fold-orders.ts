/** Machine orders in the replicated state, and how entries of the log change them. */
import type { Command, Entry } from './entry.js';
import { isOpen, mayTransition } from '../scaling/order.js';
import type { Order, OrderEvent, OrderStatus } from '../scaling/order.js';
import { APPLIED, unfit } from './outcome.js';
import type { Outcome } from './outcome.js';
import { ownValue, setOwnValue } from '../../base/own-value.js';

/** Machine orders in the replicated state. */
export type OrdersState = {
  orders: Record<string, Order>;
  /** Orders closed by the newest slot, listed until the next slot only. Controllers keep them in `closed-orders.ts`. */
  closed: Order[];
  /**
   * Machines of recently closed orders, oldest first. Proxies select no worker on them, even if they are still
   * listed.
   */
  departed: string[];
};

/**
 * Far more machines than can depart while the platform still lists one of them; the list of the platform is read
 * about every second.
 */
const MAX_DEPARTED_MACHINES = 256;

function createEvent(slot: number, entry: Entry, status: OrderStatus): OrderEvent {
  return { slot, status, author: entry.author, fence: entry.fence ?? 0, cause: entry.cause, wall: entry.wall };
}

/** Applies the decision to order a machine. */
export function foldOrderIntended(
  state: OrdersState,
  slot: number,
  entry: Entry,
  command: Extract<Command, { tag: 'orderIntended' }>,
): Outcome {
  if (ownValue(state.orders, command.order)) return unfit('order');
  const { order: id, model, zone, kind, accelerator } = command;
  const events = [createEvent(slot, entry, 'intended')];
  setOwnValue(state.orders, id, { id, model, zone, kind, accelerator, status: 'intended', machine: null, events });
  return APPLIED;
}

/** Adopts machines that exist without an order: creates an order for each. */
export function foldOrdersAdopted(
  state: OrdersState,
  slot: number,
  entry: Entry,
  command: Extract<Command, { tag: 'ordersAdopted' }>,
): Outcome {
  const { model, kind } = command;
  for (const { order: id, zone, machine, ready } of command.adopted) {
    if (ownValue(state.orders, id)) continue;
    const events = [createEvent(slot, entry, 'placed')];
    if (ready) events.push(createEvent(slot, entry, 'ready'));
    const status = ready ? 'ready' : 'placed';
    setOwnValue(state.orders, id, { id, model, zone, kind, accelerator: 'any', status, machine, events });
  }
  return APPLIED;
}

/** Changes the status of an order; an order that does not exist or does not allow this transition stays as it is. */
export function changeOrderStatus(
  state: OrdersState,
  slot: number,
  entry: Entry,
  id: string,
  nextStatus: OrderStatus,
  machine: string | null = null,
): Outcome {
  const order = ownValue(state.orders, id);
  if (!order || !mayTransition(order.status, nextStatus)) return unfit('order');
  const events = [...order.events, createEvent(slot, entry, nextStatus)];
  const updated: Order = { ...order, status: nextStatus, machine: machine ?? order.machine, events };
  if (isOpen(nextStatus)) setOwnValue(state.orders, id, updated);
  else closeOrder(state, updated);
  return APPLIED;
}

function closeOrder(state: OrdersState, order: Order): void {
  delete state.orders[order.id];
  state.closed.push(order);
  if (order.machine !== null) state.departed.push(order.machine);
  if (state.departed.length > MAX_DEPARTED_MACHINES)
    state.departed.splice(0, state.departed.length - MAX_DEPARTED_MACHINES);
}
