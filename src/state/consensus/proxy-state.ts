/** The part of the replicated state that proxies need. */
import type { ControlState } from './control-state.js';
import type { Order } from '../scaling/order.js';

/**
 * The part of the replicated state that a proxy uses, in the same form: a proxy folds later batches into
 * it with the same code and then believes of members, configuration, zones, proxies and machines what a
 * controller believes. Left out is what neither its requests nor the fold read: how each open order came about,
 * and the orders that the newest slot closed.
 * Outcomes of operations are kept, since an entry that is chosen twice must not be folded twice at a proxy either.
 */
export function proxyState(state: ControlState): ControlState {
  const orders: Record<string, Order> = {};
  for (const [id, order] of Object.entries(state.orders)) orders[id] = { ...order, events: [] };
  return { ...state, orders, closed: [] };
}
