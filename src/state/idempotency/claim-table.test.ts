import { describe, expect, test } from '@jest/globals';
import { below, createRng, shuffled } from '../../transport/rng.js';
import { CLAIM_RECORD, createClaimTable, HOUR_MS, unpackClaims } from './claim-table.js';
import type { ClaimTable } from './claim-table.js';

const born = 500_000 * HOUR_MS;
function ask(key: string, by: string, at = born): { key: string; by: string; born: number } {
  return { key, by, born: at };
}
function tagOf(t: ClaimTable, key: string, by: string, at = born): string {
  const { answer } = t.claim(ask(key, by, at), 0);
  return answer.tag === 'taken' && answer.answered ? 'answered' : answer.tag;
}

describe('a table of claims', () => {
  test('gives a key to one, and again only to the same', () => {
    const t = createClaimTable(10);
    expect([tagOf(t, 'k', 'a'), tagOf(t, 'k', 'a'), tagOf(t, 'k', 'b'), tagOf(t, 'l', 'b')]).toEqual([
      'claimed',
      'claimed',
      'taken',
      'claimed',
    ]);
    t.end({ ...ask('k', 'a'), outcome: 'answered' }, 0);
    expect([tagOf(t, 'k', 'a'), tagOf(t, 'k', 'b')]).toEqual(['answered', 'answered']);
  });

  test('a claim that comes after its own release is not granted, and does not block others', () => {
    const t = createClaimTable(10);
    t.end({ ...ask('k', 'late'), outcome: 'released' }, 0);
    expect(tagOf(t, 'k', 'late')).toBe('taken');
    expect(tagOf(t, 'k', 'other')).toBe('claimed');
    t.end({ ...ask('k', 'late'), outcome: 'released' }, 0);
    expect(tagOf(t, 'k', 'third')).toBe('taken');
  });

  test('when full, tells so and never forgets instead', () => {
    const t = createClaimTable(2);
    expect([tagOf(t, 'a', 'x'), tagOf(t, 'b', 'x'), tagOf(t, 'c', 'x'), tagOf(t, 'a', 'y')]).toEqual([
      'claimed',
      'claimed',
      'full',
      'taken',
    ]);
  });

  test('a forgotten hour is known as such', () => {
    const t = createClaimTable(10);
    t.claim(ask('old', 'x'), 1_000);
    t.claim(ask('new', 'x', born + HOUR_MS), 9_000);
    t.forgetBefore(5_000);
    expect([t.size(), tagOf(t, 'old', 'y'), tagOf(t, 'unseen', 'y'), tagOf(t, 'new', 'y', born + HOUR_MS)]).toEqual([
      1,
      'tooOld',
      'tooOld',
      'taken',
    ]);
  });

  test('packs, unpacks and pages to the same table', () => {
    const t = createClaimTable(10_000);
    for (let i = 0; i < 3_000; i += 1) t.claim(ask(`k${i}`, `b${i % 7}`, born + (i % 3) * HOUR_MS), i);
    for (let i = 0; i < 3_000; i += 5)
      t.end(
        { ...ask(`k${i}`, `b${i % 7}`, born + (i % 3) * HOUR_MS), outcome: i % 2 === 0 ? 'answered' : 'released' },
        i,
      );
    const twin = createClaimTable(10_000);
    unpackClaims(twin, t.packed());
    expect(twin.packed().equals(t.packed())).toBe(true);
    const read = createClaimTable(10_000);
    let pages = 0;
    for (let from = 0; from >= 0; pages += 1) {
      const page = t.page(from, 400);
      read.merge(page.records, 0);
      from = page.next;
    }
    expect(pages).toBeGreaterThan(7);
    expect(read.size()).toBe(3_000);
    for (let i = 0; i < 3_000; i += 1) {
      const at = born + (i % 3) * HOUR_MS;
      expect(read.claim(ask(`k${i}`, 'probe', at), 0).answer).toEqual(t.claim(ask(`k${i}`, 'probe', at), 0).answer);
    }
    expect(CLAIM_RECORD).toBeLessThanOrEqual(32);
  });
});

type Msg = { readonly voter: number; readonly run: () => void };

function playVoters(seed: number): { readonly ran: number; readonly free: boolean } {
  const rng = createRng(seed);
  const voters = [0, 1, 2].map(() => createClaimTable(100));
  const asked = ['t1', 't2', 't3', 't4'];
  const yes = new Map<string, Set<number>>(asked.map((by) => [by, new Set<number>()]));
  const gaveUp = new Set<string>();
  const ran: string[] = [];
  let air: Msg[] = [];
  function claimAt(by: string, voter: number): Msg {
    return {
      voter,
      run: () =>
        void (
          voters[voter]?.claim(ask('k', by), 0).answer.tag === 'claimed' &&
          !gaveUp.has(by) &&
          yes.get(by)?.add(voter)
        ),
    };
  }
  function releaseAt(by: string, voter: number): Msg {
    return { voter, run: () => void voters[voter]?.end({ ...ask('k', by), outcome: 'released' }, 0) };
  }
  for (const by of asked)
    for (const v of [0, 1, 2]) air.push(claimAt(by, v), ...(rng.next() < 0.3 ? [claimAt(by, v)] : []));
  const releases: Msg[] = [];
  while (air.length > 0) {
    air = shuffled(rng, air);
    const m = air.pop() as Msg;
    if (rng.next() > 0.25) m.run();
    for (const by of asked) {
      if ((yes.get(by)?.size ?? 0) >= 2 && !ran.includes(by) && !gaveUp.has(by)) ran.push(by);
      if (!ran.includes(by) && !gaveUp.has(by) && rng.next() < 0.08) {
        gaveUp.add(by);
        for (const v of [0, 1, 2]) {
          air.push(releaseAt(by, v));
          releases.push(releaseAt(by, v));
        }
      }
    }
    if (below(rng, 10) === 0 && air.length > 0) air.push(air[below(rng, air.length)] as Msg);
  }
  for (const by of asked)
    if (!ran.includes(by) && !gaveUp.has(by)) for (const v of [0, 1, 2]) releases.push(releaseAt(by, v));
  for (const m of releases) m.run();
  const last = voters.filter((v) => v.claim(ask('k', 'last'), 0).answer.tag === 'claimed').length;
  return { ran: ran.length, free: last >= 2 };
}

test('three tables never give one key to two, nor keep an unused one for ever (messages lost, repeated, out of order; seeds 1..400)', () => {
  const ends = Array.from({ length: 400 }, (_, i) => playVoters(i + 1));
  expect(ends.filter((e) => e.ran > 1 || e.free !== (e.ran === 0))).toEqual([]);
  expect(ends.filter((e) => e.ran === 1).length).toBeGreaterThan(100);
  expect(ends.filter((e) => e.ran === 0).length).toBeGreaterThan(20);
});

test('a key from far ahead of its time never makes those of today too old', () => {
  const t = createClaimTable(10);
  t.claim(ask('ahead', 'x', born + 200 * HOUR_MS), 0);
  t.forgetBefore(1);
  expect([tagOf(t, 'ahead', 'y', born + 200 * HOUR_MS), tagOf(t, 'today', 'y')]).toEqual(['tooOld', 'claimed']);
  for (let h = 0; h < 2_000; h += 2) {
    t.claim(ask(`k${h}`, 'x', born + (1_000 + h) * HOUR_MS), 2);
    t.forgetBefore(3);
  }
  expect(t.forgotten()).toEqual([
    [500_000, 500_000],
    [500_200, 500_200],
    [501_000, 502_998],
  ]);
});
