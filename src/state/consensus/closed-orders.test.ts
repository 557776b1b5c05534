import { describe, expect, test } from '@jest/globals';
import { createClosedOrders, MAX_CLOSED_ORDERS } from './closed-orders.js';
import type { ClosedCursor, SavedClosedOrders } from './closed-orders.js';
import type { Order } from '../scaling/order.js';

const MAX_BYTES = 4 * 1_048_576;

function closedOrder(slot: number, id: string, cause = 'why'): Order {
  const event = { slot, status: 'lost', author: 'h1', fence: 1, cause, wall: 7 } as const;
  return {
    id,
    model: 'm',
    zone: 'z',
    kind: 'spot',
    accelerator: 'any',
    status: 'lost',
    machine: `machine-${id}`,
    events: [event],
  };
}
function ids(orders: readonly Order[]): string[] {
  return orders.map((o) => o.id);
}

/** The size of one order as a snapshot holds it: its text is JSON inside JSON, with a comma behind it. */
function storedSize(): number {
  const orders = createClosedOrders(MAX_BYTES, null);
  orders.add(closedOrder(1, 'o1'));
  return JSON.stringify(orders.saved().orders[0]).length + 1;
}

describe('closed orders', () => {
  test('record who ordered what and why, in the order they were closed, once each', () => {
    const orders = createClosedOrders(MAX_BYTES, null);
    for (const o of [closedOrder(5, 'b'), closedOrder(3, 'c'), closedOrder(5, 'a'), closedOrder(5, 'b')]) orders.add(o);
    expect(orders.all()).toEqual([closedOrder(3, 'c'), closedOrder(5, 'a'), closedOrder(5, 'b')]);
  });

  test('are bounded in number and in bytes, with the oldest dropped first', () => {
    const many = createClosedOrders(MAX_BYTES, null);
    for (let n = 0; n < MAX_CLOSED_ORDERS + 10; n += 1) many.add(closedOrder(n, `o${n}`));
    expect([many.all().length, many.all()[0]?.id]).toEqual([MAX_CLOSED_ORDERS, 'o10']);
    const few = createClosedOrders(3 * storedSize(), null);
    for (let n = 0; n < 9; n += 1) few.add(closedOrder(n, `o${n}`));
    expect(ids(few.all())).toEqual(['o6', 'o7', 'o8']);
  });

  // Guards against a bound in characters of the text, which a snapshot stores with its quotes escaped, in up to 3 bytes each.
  test('take no more of a snapshot than the bound', () => {
    const maxBytes = 20_000;
    const orders = createClosedOrders(maxBytes, null);
    for (let n = 0; n < 200; n += 1) orders.add(closedOrder(n, `o${n}`, 'Größe "日本"'.repeat(5)));
    expect(Buffer.byteLength(JSON.stringify(orders.saved().orders))).toBeLessThanOrEqual(maxBytes + 2);
    expect(orders.all().length).toBeGreaterThan(10);
  });

  test('are restored from disk unchanged', () => {
    const orders = createClosedOrders(MAX_BYTES, null);
    orders.add(closedOrder(3, 'c'));
    orders.markMissing({ from: 4, to: 9 });
    const again = createClosedOrders(MAX_BYTES, JSON.parse(JSON.stringify(orders.saved())) as SavedClosedOrders);
    expect([again.all(), again.lacking()]).toEqual([[closedOrder(3, 'c')], { from: 4, to: 9 }]);
  });

  test('orders of slots not applied here, and only those, are taken in pages from another controller', () => {
    const other = createClosedOrders(MAX_BYTES, null);
    for (let n = 0; n < 30; n += 1) other.add(closedOrder(Math.floor(n / 3), `o${String(n).padStart(2, '0')}`));
    const own = createClosedOrders(MAX_BYTES, null);
    own.add(closedOrder(0, 'o00'));
    own.markMissing({ from: 1, to: 8 });
    const texts: string[] = [];
    let pages = 0;
    for (let after: ClosedCursor | null = null; ;) {
      const page = other.page({ from: 1, to: 8 }, after, 500);
      expect(page.lacking).toBe(false);
      texts.push(...page.orders);
      pages += 1;
      after = page.next;
      if (!after) break;
    }
    expect(pages).toBeGreaterThan(5);
    own.addMissing(
      [...texts, JSON.stringify(closedOrder(99, 'foreign')), 'no JSON', '{"id":1}', '{"id":"x","events":[7]}'],
      true,
    );
    expect(ids(own.all())).toEqual(['o00', ...ids(other.all()).slice(3, 27)]);
    expect(own.lacking()).toBeNull();
  });

  test('a controller that misses orders itself reports so; what it sent is kept while the slots stay missing', () => {
    const other = createClosedOrders(MAX_BYTES, null);
    other.markMissing({ from: 0, to: 4 });
    other.add(closedOrder(5, 'a'));
    expect(other.page({ from: 4, to: 8 }, null, 500)).toEqual({
      orders: [JSON.stringify(closedOrder(5, 'a'))],
      next: null,
      lacking: true,
    });
    expect(other.page({ from: 5, to: 8 }, null, 500).lacking).toBe(false);
    const own = createClosedOrders(MAX_BYTES, null);
    own.markMissing({ from: 4, to: 8 });
    own.addMissing([JSON.stringify(closedOrder(5, 'a'))], false);
    expect([ids(own.all()), own.lacking()]).toEqual([['a'], { from: 4, to: 8 }]);
  });

  test('slots are no longer missing once their orders would be older than all that are kept', () => {
    const orders = createClosedOrders(3 * storedSize(), null);
    orders.markMissing({ from: 0, to: 4 });
    for (let n = 5; n < 8; n += 1) orders.add(closedOrder(n, `o${n}`));
    expect(orders.lacking()).toEqual({ from: 0, to: 4 });
    orders.add(closedOrder(8, 'o8'));
    expect(orders.lacking()).toBeNull();
  });
});
