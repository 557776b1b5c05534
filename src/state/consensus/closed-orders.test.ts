import { describe, expect, test } from '@jest/globals';
import { createClosedOrders, MOST_CLOSED } from './closed-orders.js';
import type { ClosedCursor, SavedClosedOrders } from './closed-orders.js';
import type { Order } from '../scaling/order.js';

const ROOM = 4 * 1_048_576;

function closed(slot: number, id: string, cause = 'why'): Order {
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

describe('closed orders', () => {
  test('tell who ordered what and why, in the order of their closing, once each', () => {
    const orders = createClosedOrders(ROOM, null);
    for (const o of [closed(5, 'b'), closed(3, 'c'), closed(5, 'a'), closed(5, 'b')]) orders.add(o);
    expect(orders.all()).toEqual([closed(3, 'c'), closed(5, 'a'), closed(5, 'b')]);
  });

  test('are bounded in number and in bytes, the oldest first', () => {
    const many = createClosedOrders(ROOM, null);
    for (let n = 0; n < MOST_CLOSED + 10; n += 1) many.add(closed(n, `o${n}`));
    expect([many.all().length, many.all()[0]?.id]).toEqual([MOST_CLOSED, 'o10']);
    const size = JSON.stringify(closed(1, 'o1')).length;
    const few = createClosedOrders(3 * size, null);
    for (let n = 0; n < 9; n += 1) few.add(closed(n, `o${n}`));
    expect(ids(few.all())).toEqual(['o6', 'o7', 'o8']);
  });

  test('read back from a disk as they were', () => {
    const orders = createClosedOrders(ROOM, null);
    orders.add(closed(3, 'c'));
    orders.skip({ from: 4, to: 9 });
    const again = createClosedOrders(ROOM, JSON.parse(JSON.stringify(orders.saved())) as SavedClosedOrders);
    expect([again.all(), again.lacking()]).toEqual([[closed(3, 'c')], { from: 4, to: 9 }]);
  });

  test('what was not folded here comes from another in pages, and only that', () => {
    const other = createClosedOrders(ROOM, null);
    for (let n = 0; n < 30; n += 1) other.add(closed(Math.floor(n / 3), `o${String(n).padStart(2, '0')}`));
    const own = createClosedOrders(ROOM, null);
    own.add(closed(0, 'o00'));
    own.skip({ from: 1, to: 8 });
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
    own.fill([...texts, JSON.stringify(closed(99, 'foreign')), 'no JSON', '{"id":1}', '{"id":"x","events":[7]}'], true);
    expect(ids(own.all())).toEqual(['o00', ...ids(other.all()).slice(3, 27)]);
    expect(own.lacking()).toBeNull();
  });

  test('one that lacks them itself says so, and what it told is kept though more is wanted', () => {
    const other = createClosedOrders(ROOM, null);
    other.skip({ from: 0, to: 4 });
    other.add(closed(5, 'a'));
    expect(other.page({ from: 4, to: 8 }, null, 500)).toEqual({
      orders: [JSON.stringify(closed(5, 'a'))],
      next: null,
      lacking: true,
    });
    expect(other.page({ from: 5, to: 8 }, null, 500).lacking).toBe(false);
    const own = createClosedOrders(ROOM, null);
    own.skip({ from: 4, to: 8 });
    own.fill([JSON.stringify(closed(5, 'a'))], false);
    expect([ids(own.all()), own.lacking()]).toEqual([['a'], { from: 4, to: 8 }]);
  });

  test('nothing is lacking any more once it would be older than all that has room', () => {
    const orders = createClosedOrders(3 * JSON.stringify(closed(1, 'o1')).length, null);
    orders.skip({ from: 0, to: 4 });
    for (let n = 5; n < 8; n += 1) orders.add(closed(n, `o${n}`));
    expect(orders.lacking()).toEqual({ from: 0, to: 4 });
    orders.add(closed(8, 'o8'));
    expect(orders.lacking()).toBeNull();
  });
});
