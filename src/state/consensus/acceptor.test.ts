import { expect, test } from '@jest/globals';
import { accept, createAcceptor, highestAccepted, prepare, raiseFloor } from './acceptor.js';
import type { Acceptor } from './acceptor.js';
import { compareBallots } from './ballot.js';
import type { Batch } from './entry.js';
import { below, createRng, shuffled } from '../../transport/rng.js';

function batch(id: string): Batch {
  return { id, entries: [] };
}

test('a promise binds: lower ballots are outbid, chosen slots are told', () => {
  const acc = createAcceptor(0);
  expect(prepare(acc, 1, { round: 2, by: 'a' })).toEqual({ tag: 'promised', accepted: null });
  expect(accept(acc, 1, { round: 1, by: 'z' }, batch('x'))).toEqual({ tag: 'outbid', by: { round: 2, by: 'a' } });
  expect(accept(acc, 1, { round: 2, by: 'a' }, batch('y')).tag).toBe('accepted');
  expect(prepare(acc, 1, { round: 2, by: 'a' }).tag).toBe('outbid');
  expect(prepare(acc, 1, { round: 3, by: 'b' })).toEqual({
    tag: 'promised',
    accepted: { ballot: { round: 2, by: 'a' }, batch: batch('y') },
  });
  expect(highestAccepted(acc)).toBe(1);
  raiseFloor(acc, 2);
  expect(prepare(acc, 1, { round: 9, by: 'b' }).tag).toBe('alreadyChosen');
});

test('whatever the order and loss of messages, one slot has one chosen batch', () => {
  for (let seed = 1; seed <= 400; seed += 1) {
    const rng = createRng(seed);
    const accs: Acceptor[] = [createAcceptor(0), createAcceptor(0), createAcceptor(0)];
    const chosen = new Set<string>();
    const tally = new Map<string, Set<number>>();
    const rounds = new Map<string, number>();
    for (let step = 0; step < 40; step += 1) {
      const by = `p${below(rng, 3)}`;
      const ballot = { round: (rounds.get(by) ?? 0) + 1 + below(rng, 2), by };
      rounds.set(by, ballot.round);
      const promises = shuffled(rng, [0, 1, 2])
        .slice(0, 1 + below(rng, 3))
        .map((i) => prepare(accs[i] as Acceptor, 0, ballot));
      const yes = promises.flatMap((p) => (p.tag === 'promised' ? [p.accepted] : []));
      if (yes.length < 2) continue;
      const best = yes.filter((a) => a !== null).sort((a, b) => compareBallots(b.ballot, a.ballot))[0];
      const value = best ? best.batch : batch(`v${step}`);
      for (const i of shuffled(rng, [0, 1, 2]).slice(0, below(rng, 4))) {
        if (accept(accs[i] as Acceptor, 0, ballot, value).tag !== 'accepted') continue;
        const key = `${ballot.round}/${ballot.by}/${value.id}`;
        const voters = tally.get(key) ?? new Set();
        voters.add(i);
        tally.set(key, voters);
        if (voters.size >= 2) chosen.add(value.id);
      }
    }
    expect(chosen.size).toBeLessThanOrEqual(1);
  }
});
