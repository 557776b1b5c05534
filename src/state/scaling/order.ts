/**
 * Orders for machines and the states they pass through. The scaler decides them; `control-state.ts` builds them from
 * the entries of the replicated log.
 */

import type { MachineKind } from '../consensus/entry.js';

/** States of an order, from the decision to order until it is closed. */
export type OrderStatus = 'intended' | 'placed' | 'ready' | 'draining' | 'failed' | 'lost' | 'released';

/** A change of an order's state and the log entry that made it. */
export type OrderEvent = {
  readonly slot: number;
  readonly status: OrderStatus;
  readonly author: string;
  readonly fence: number;
  readonly cause: string;
  readonly wall: number;
};

/** An order with its full history. */
export type Order = {
  readonly id: string;
  readonly model: string;
  readonly zone: string;
  readonly kind: MachineKind;
  readonly accelerator: string;
  readonly status: OrderStatus;
  readonly machine: string | null;
  readonly events: readonly OrderEvent[];
};

const TRANSITIONS: Readonly<Record<OrderStatus, readonly OrderStatus[]>> = {
  intended: ['placed', 'failed', 'draining', 'lost', 'released'],
  placed: ['ready', 'lost', 'draining', 'failed', 'released'],
  ready: ['draining', 'lost', 'released'],
  draining: ['lost', 'released'],
  failed: [],
  lost: [],
  released: [],
};

/** Returns whether an order may change from one state to another. */
export function mayTransition(from: OrderStatus, to: OrderStatus): boolean {
  return TRANSITIONS[from].includes(to);
}

/** Returns whether the order may still change its state. */
export function isOpen(status: OrderStatus): boolean {
  return TRANSITIONS[status].length > 0;
}

/** Returns whether the order counts towards the number of workers wanted. */
export function countsTowardsTarget(order: Order): boolean {
  return order.status === 'intended' || order.status === 'placed' || order.status === 'ready';
}
