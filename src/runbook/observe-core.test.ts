import { expect, test } from '@jest/globals';
import type { Core } from '../operator/core.js';
import { memberView } from '../sim/builders.js';
import { coreHealth } from '../state/membership/core-health.js';
import type { CoreHealth, MemberView } from '../state/membership/core-health.js';
import type { Condition } from './document.js';
import { coreObserved } from './observe-core.js';

const THREE = ['h1', 'h2', 'h3'];

function health(self: string, behind: readonly string[]): CoreHealth {
  const views: MemberView[] = [];
  for (const name of THREE) views.push(memberView(name, { holdsAll: !behind.includes(name) }));
  return coreHealth(`${self}#i`, views);
}
/** A core whose members all say that these hold not all of the ledger, or not all claims. */
function coreOf(ledgerBehind: readonly string[], claimsBehind: readonly string[] | null): Core {
  async function requestAt(address: string): Promise<{ status: number; body: unknown }> {
    const core = { ledger: health(address, ledgerBehind), claims: claimsBehind && health(address, claimsBehind) };
    return { status: 200, body: { name: address, member: `${address}#i`, slot: 9, members: [], nodes: [], core } };
  }
  return { addresses: THREE, requestAt, request: () => Promise.resolve(null), version: () => Promise.resolve(null) };
}
const spare = { tag: 'spareLosses', atLeast: 1 } as const satisfies Condition;
const without = { tag: 'goesOnWithout', name: 'h1' } as const satisfies Condition;

test.each<[string, Core, boolean, boolean]>([
  ['all whole', coreOf([], []), true, true],
  ['all whole, claims not in use', coreOf([], null), true, true],
  ['one behind in the ledger', coreOf(['h3'], []), false, false],
  ['one whose claims are not whole', coreOf([], ['h3']), false, false],
  ['the named one behind in both', coreOf(['h1'], ['h1']), false, true],
  ['two behind: nothing goes on', coreOf(['h1', 'h2'], []), false, false],
  ['two whose claims are not whole', coreOf([], ['h1', 'h2']), false, false],
])('%s', async (_what, core, bearsOne, goesOn) => {
  expect([(await coreObserved(core, spare)).met, (await coreObserved(core, without)).met]).toEqual([bearsOne, goesOn]);
});

test('nothing to spare is asked for, and still no whole majority is no', async () => {
  expect((await coreObserved(coreOf(['h1', 'h2'], null), { tag: 'spareLosses', atLeast: 0 })).met).toBe(false);
  expect((await coreObserved(coreOf(['h1'], null), { tag: 'spareLosses', atLeast: 0 })).met).toBe(true);
});

test("one controller's word, or none, meets nothing", async () => {
  const whole = coreOf([], null);
  for (const addresses of [['h1'], []]) {
    const few: Core = { ...whole, addresses };
    expect([
      (await coreObserved(few, spare)).met,
      (await coreObserved(few, without)).met,
      (await coreObserved(few, { tag: 'spareLosses', atLeast: 0 })).met,
    ]).toEqual([false, false, false]);
  }
});
