import { expect, test } from '@jest/globals';
import type { CoreClient } from '../operator/core.js';
import { memberView } from '../sim/builders.js';
import { coreHealth } from '../state/membership/core-health.js';
import type { CoreHealth, MemberView } from '../state/membership/core-health.js';
import type { Condition } from './document.js';
import { observeCore } from './observe-core.js';

const MEMBERS = ['h1', 'h2', 'h3'];

function health(self: string, behind: readonly string[]): CoreHealth {
  const views: MemberView[] = [];
  for (const name of MEMBERS) views.push(memberView(name, { isComplete: !behind.includes(name) }));
  return coreHealth(`${self}#i`, views);
}
/** A core whose members all report that the given members lack a part of the ledger, or a part of the claims. */
function coreOf(ledgerBehind: readonly string[], claimsBehind: readonly string[] | null): CoreClient {
  async function requestAt(address: string): Promise<{ status: number; body: unknown }> {
    const core = { ledger: health(address, ledgerBehind), claims: claimsBehind && health(address, claimsBehind) };
    return { status: 200, body: { name: address, member: `${address}#i`, slot: 9, members: [], nodes: [], core } };
  }
  return { addresses: MEMBERS, requestAt, request: () => Promise.resolve(null), version: () => Promise.resolve(null) };
}
const bearsOneLoss = { tag: 'spareLosses', atLeast: 1 } as const satisfies Condition;
const runsWithoutH1 = { tag: 'goesOnWithout', name: 'h1' } as const satisfies Condition;

test.each<[string, CoreClient, boolean, boolean]>([
  ['all members complete', coreOf([], []), true, true],
  ['all members complete, claims not in use', coreOf([], null), true, true],
  ['one member behind in the ledger', coreOf(['h3'], []), false, false],
  ['one member with incomplete claims', coreOf([], ['h3']), false, false],
  ['the named member behind in both', coreOf(['h1'], ['h1']), false, true],
  ['two members behind: neither condition is met', coreOf(['h1', 'h2'], []), false, false],
  ['two members with incomplete claims', coreOf([], ['h1', 'h2']), false, false],
])('%s', async (_what, core, bearsOne, goesOn) => {
  expect([(await observeCore(core, bearsOneLoss)).met, (await observeCore(core, runsWithoutH1)).met]).toEqual([
    bearsOne,
    goesOn,
  ]);
});

test('a condition of zero spare losses is not met without a majority of complete members', async () => {
  expect((await observeCore(coreOf(['h1', 'h2'], null), { tag: 'spareLosses', atLeast: 0 })).met).toBe(false);
  expect((await observeCore(coreOf(['h1'], null), { tag: 'spareLosses', atLeast: 0 })).met).toBe(true);
});

test('the report of one controller, or of none, meets no condition', async () => {
  const complete = coreOf([], null);
  for (const addresses of [['h1'], []]) {
    const core: CoreClient = { ...complete, addresses };
    expect([
      (await observeCore(core, bearsOneLoss)).met,
      (await observeCore(core, runsWithoutH1)).met,
      (await observeCore(core, { tag: 'spareLosses', atLeast: 0 })).met,
    ]).toEqual([false, false, false]);
  }
});
