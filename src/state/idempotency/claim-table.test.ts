import { describe, expect, test } from '@jest/globals';
import { randomInt, createRng, shuffled } from '../../transport/rng.js';
import { CLAIM_RECORD_BYTES, createClaimTable, HOUR_MS, unpackClaims } from './claim-table.js';
import type { ClaimTable } from './claim-table.js';

const born = 500_000 * HOUR_MS;
function claimOf(key: string, by: string, at = born): { key: string; by: string; born: number } {
  return { key, by, born: at };
}
function tagOf(table: ClaimTable, key: string, by: string, at = born): string {
  const { answer } = table.claim(claimOf(key, by, at), 0);
  return answer.tag === 'taken' && answer.answered ? 'answered' : answer.tag;
}

describe('claim table', () => {
  test('grants a key to one attempt, and grants a repeated claim only to the same attempt', () => {
    const table = createClaimTable(10);
    expect([tagOf(table, 'k', 'a'), tagOf(table, 'k', 'a'), tagOf(table, 'k', 'b'), tagOf(table, 'l', 'b')]).toEqual([
      'claimed',
      'claimed',
      'taken',
      'claimed',
    ]);
    table.end({ ...claimOf('k', 'a'), outcome: 'answered' }, 0);
    expect([tagOf(table, 'k', 'a'), tagOf(table, 'k', 'b')]).toEqual(['answered', 'answered']);
  });

  test('a claim that arrives after its own release is not granted and does not block other attempts', () => {
    const table = createClaimTable(10);
    table.end({ ...claimOf('k', 'late'), outcome: 'released' }, 0);
    expect(tagOf(table, 'k', 'late')).toBe('taken');
    expect(tagOf(table, 'k', 'other')).toBe('claimed');
    table.end({ ...claimOf('k', 'late'), outcome: 'released' }, 0);
    expect(tagOf(table, 'k', 'third')).toBe('taken');
  });

  test('a full table rejects new keys as full and never forgets claims to make room', () => {
    const table = createClaimTable(2);
    expect([tagOf(table, 'a', 'x'), tagOf(table, 'b', 'x'), tagOf(table, 'c', 'x'), tagOf(table, 'a', 'y')]).toEqual([
      'claimed',
      'claimed',
      'full',
      'taken',
    ]);
  });

  test('claims in a forgotten hour are rejected as too old', () => {
    const table = createClaimTable(10);
    table.claim(claimOf('old', 'x'), 1_000);
    table.claim(claimOf('new', 'x', born + HOUR_MS), 9_000);
    table.forgetBefore(5_000);
    expect([
      table.size(),
      tagOf(table, 'old', 'y'),
      tagOf(table, 'unseen', 'y'),
      tagOf(table, 'new', 'y', born + HOUR_MS),
    ]).toEqual([1, 'tooOld', 'tooOld', 'taken']);
  });

  test('packing and unpacking, and reading by pages, both reproduce the same table', () => {
    const table = createClaimTable(10_000);
    for (let i = 0; i < 3_000; i += 1) table.claim(claimOf(`k${i}`, `b${i % 7}`, born + (i % 3) * HOUR_MS), i);
    for (let i = 0; i < 3_000; i += 5)
      table.end(
        { ...claimOf(`k${i}`, `b${i % 7}`, born + (i % 3) * HOUR_MS), outcome: i % 2 === 0 ? 'answered' : 'released' },
        i,
      );
    const unpacked = createClaimTable(10_000);
    unpackClaims(unpacked, table.packed());
    expect(unpacked.packed().equals(table.packed())).toBe(true);
    const merged = createClaimTable(10_000);
    let pages = 0;
    for (let from = 0; from >= 0; pages += 1) {
      const page = table.page(from, 400);
      merged.merge(page.records, 0);
      from = page.next;
    }
    expect(pages).toBeGreaterThan(7);
    expect(merged.size()).toBe(3_000);
    for (let i = 0; i < 3_000; i += 1) {
      const at = born + (i % 3) * HOUR_MS;
      expect(merged.claim(claimOf(`k${i}`, 'probe', at), 0).answer).toEqual(
        table.claim(claimOf(`k${i}`, 'probe', at), 0).answer,
      );
    }
    expect(CLAIM_RECORD_BYTES).toBeLessThanOrEqual(32);
  });
});

type PendingMessage = { readonly voter: number; readonly run: () => void };

function simulateVoters(seed: number): { readonly ran: number; readonly free: boolean } {
  const rng = createRng(seed);
  const voters = [0, 1, 2].map(() => createClaimTable(100));
  const attempts = ['t1', 't2', 't3', 't4'];
  const votes = new Map<string, Set<number>>(attempts.map((by) => [by, new Set<number>()]));
  const abandoned = new Set<string>();
  const ran: string[] = [];
  let inFlight: PendingMessage[] = [];
  function claimMessage(by: string, voter: number): PendingMessage {
    return {
      voter,
      run: () =>
        void (
          voters[voter]?.claim(claimOf('k', by), 0).answer.tag === 'claimed' &&
          !abandoned.has(by) &&
          votes.get(by)?.add(voter)
        ),
    };
  }
  function releaseMessage(by: string, voter: number): PendingMessage {
    return { voter, run: () => void voters[voter]?.end({ ...claimOf('k', by), outcome: 'released' }, 0) };
  }
  for (const by of attempts)
    for (const v of [0, 1, 2]) inFlight.push(claimMessage(by, v), ...(rng.next() < 0.3 ? [claimMessage(by, v)] : []));
  const releases: PendingMessage[] = [];
  while (inFlight.length > 0) {
    inFlight = shuffled(rng, inFlight);
    const m = inFlight.pop() as PendingMessage;
    if (rng.next() > 0.25) m.run();
    for (const by of attempts) {
      if ((votes.get(by)?.size ?? 0) >= 2 && !ran.includes(by) && !abandoned.has(by)) ran.push(by);
      if (!ran.includes(by) && !abandoned.has(by) && rng.next() < 0.08) {
        abandoned.add(by);
        for (const v of [0, 1, 2]) {
          inFlight.push(releaseMessage(by, v));
          releases.push(releaseMessage(by, v));
        }
      }
    }
    if (randomInt(rng, 10) === 0 && inFlight.length > 0)
      inFlight.push(inFlight[randomInt(rng, inFlight.length)] as PendingMessage);
  }
  for (const by of attempts)
    if (!ran.includes(by) && !abandoned.has(by)) for (const v of [0, 1, 2]) releases.push(releaseMessage(by, v));
  for (const m of releases) m.run();
  const finalVotes = voters.filter((v) => v.claim(claimOf('k', 'last'), 0).answer.tag === 'claimed').length;
  return { ran: ran.length, free: finalVotes >= 2 };
}

test('three tables never grant one key to two attempts and never block an unused key for good (messages lost, repeated, reordered; seeds 1..400)', () => {
  const results = Array.from({ length: 400 }, (_, i) => simulateVoters(i + 1));
  expect(results.filter((e) => e.ran > 1 || e.free !== (e.ran === 0))).toEqual([]);
  expect(results.filter((e) => e.ran === 1).length).toBeGreaterThan(100);
  expect(results.filter((e) => e.ran === 0).length).toBeGreaterThan(20);
});

test('a key with a creation time far in the future never makes the keys of today too old', () => {
  const table = createClaimTable(10);
  table.claim(claimOf('ahead', 'x', born + 200 * HOUR_MS), 0);
  table.forgetBefore(1);
  expect([tagOf(table, 'ahead', 'y', born + 200 * HOUR_MS), tagOf(table, 'today', 'y')]).toEqual(['tooOld', 'claimed']);
  for (let h = 0; h < 2_000; h += 2) {
    table.claim(claimOf(`k${h}`, 'x', born + (1_000 + h) * HOUR_MS), 2);
    table.forgetBefore(3);
  }
  expect(table.forgotten()).toEqual([
    [500_000, 500_000],
    [500_200, 500_200],
    [501_000, 502_998],
  ]);
});
