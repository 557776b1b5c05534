import { expect, test } from '@jest/globals';
import { accept, createAcceptor, highestAccepted, prepare, raiseFloor } from './acceptor.js';
import type { Acceptor } from './acceptor.js';
import { compareBallots } from './ballot.js';
import type { Batch } from './entry.js';
import { randomInt, createRng, shuffled } from '../../transport/rng.js';

function batch(id: string): Batch {
  return { id, entries: [] };
}

test('a promise is kept: lower ballots are outbid, and chosen slots are reported as such', () => {
  const acceptor = createAcceptor(0);
  expect(prepare(acceptor, 1, { round: 2, by: 'a' })).toEqual({ tag: 'promised', accepted: null });
  expect(accept(acceptor, 1, { round: 1, by: 'z' }, batch('x'))).toEqual({ tag: 'outbid', by: { round: 2, by: 'a' } });
  expect(accept(acceptor, 1, { round: 2, by: 'a' }, batch('y')).tag).toBe('accepted');
  expect(prepare(acceptor, 1, { round: 2, by: 'a' }).tag).toBe('outbid');
  expect(prepare(acceptor, 1, { round: 3, by: 'b' })).toEqual({
    tag: 'promised',
    accepted: { ballot: { round: 2, by: 'a' }, batch: batch('y') },
  });
  expect(highestAccepted(acceptor)).toBe(1);
  raiseFloor(acceptor, 2);
  expect(prepare(acceptor, 1, { round: 9, by: 'b' }).tag).toBe('alreadyChosen');
});

test('at most one batch is chosen for a slot, whatever the order and loss of messages', () => {
  for (let seed = 1; seed <= 400; seed += 1) {
    const rng = createRng(seed);
    const acceptors: Acceptor[] = [createAcceptor(0), createAcceptor(0), createAcceptor(0)];
    const chosen = new Set<string>();
    const votersByProposal = new Map<string, Set<number>>();
    const rounds = new Map<string, number>();
    for (let step = 0; step < 40; step += 1) {
      const by = `p${randomInt(rng, 3)}`;
      const ballot = { round: (rounds.get(by) ?? 0) + 1 + randomInt(rng, 2), by };
      rounds.set(by, ballot.round);
      const promises = shuffled(rng, [0, 1, 2])
        .slice(0, 1 + randomInt(rng, 3))
        .map((i) => prepare(acceptors[i] as Acceptor, 0, ballot));
      const acceptedBefore = promises.flatMap((p) => (p.tag === 'promised' ? [p.accepted] : []));
      if (acceptedBefore.length < 2) continue;
      const newest = acceptedBefore.filter((a) => a !== null).sort((a, b) => compareBallots(b.ballot, a.ballot))[0];
      const value = newest ? newest.batch : batch(`v${step}`);
      for (const i of shuffled(rng, [0, 1, 2]).slice(0, randomInt(rng, 4))) {
        if (accept(acceptors[i] as Acceptor, 0, ballot, value).tag !== 'accepted') continue;
        const key = `${ballot.round}/${ballot.by}/${value.id}`;
        const voters = votersByProposal.get(key) ?? new Set();
        voters.add(i);
        votersByProposal.set(key, voters);
        if (voters.size >= 2) chosen.add(value.id);
      }
    }
    expect(chosen.size).toBeLessThanOrEqual(1);
  }
});
