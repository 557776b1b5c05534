/** The part of the replicated state that proxies need. */
import type { ControlState } from './control-state.js';
import type { Order } from '../scaling/order.js';
import { setOwnValue } from '../../base/own-value.js';

/**
 * Returns the part of the replicated state that a proxy uses, in the same form. A proxy applies later batches to it
 * with the same code and so has the same members, configuration, zones, proxies and machines as a controller. It
 * leaves out what neither request handling nor `foldBatch` reads: the events of each open order, and the orders
 * closed by the newest slot. Outcomes of operations are kept, since an entry that is chosen twice must not be applied
 * twice at a proxy either.
 */
export function proxyState(state: ControlState): ControlState {
  const orders: Record<string, Order> = {};
  for (const [id, order] of Object.entries(state.orders)) setOwnValue(orders, id, { ...order, events: [] });
  return { ...state, orders, closed: [] };
}
