/**
 * Orders for machines and the states they pass. Folded from the ledger by
 * `control-state.ts`; decided by the scaler.
 */

import type { Kind } from '../consensus/entry.js';

/** States of an order, from the intention to its end. */
export type OrderStatus = 'intended' | 'placed' | 'ready' | 'draining' | 'failed' | 'lost' | 'released';

/** A change of state, by the ledger entry that made it. */
export type OrderEvent = {
  readonly slot: number;
  readonly status: OrderStatus;
  readonly author: string;
  readonly fence: number;
  readonly cause: string;
  readonly wall: number;
};

/** An order with all of its history. */
export type Order = {
  readonly id: string;
  readonly model: string;
  readonly zone: string;
  readonly kind: Kind;
  readonly accelerator: string;
  readonly status: OrderStatus;
  readonly machine: string | null;
  readonly events: readonly OrderEvent[];
};

const NEXT: Readonly<Record<OrderStatus, readonly OrderStatus[]>> = {
  intended: ['placed', 'failed', 'draining', 'lost', 'released'],
  placed: ['ready', 'lost', 'draining', 'failed', 'released'],
  ready: ['draining', 'lost', 'released'],
  draining: ['lost', 'released'],
  failed: [],
  lost: [],
  released: [],
};

/** Whether an order may go from one state to another. */
export function mayBecome(from: OrderStatus, to: OrderStatus): boolean {
  return NEXT[from].includes(to);
}

/** Whether anything may still become of the order. */
export function isOpen(status: OrderStatus): boolean {
  return NEXT[status].length > 0;
}

/** Whether the order counts towards the workers wanted. */
export function counts(order: Order): boolean {
  return order.status === 'intended' || order.status === 'placed' || order.status === 'ready';
}
