import { expect, test } from '@jest/globals';
import type { RunKey } from '../../state/idempotency/run-key.js';
import type { AdmissionToken } from '../../state/forwarding/admission-token.js';
import type { WorkerRow } from '../../state/discovery/worker-row.js';
import type { WorkerTable } from '../../state/discovery/worker-table.js';
import { createWorld } from '../../sim/world.js';
import { createQuietLog } from '../../transport/log.js';
import type { HttpAnswer, HttpCall, HttpError } from '../../transport/http.js';
import { createRng } from '../../transport/rng.js';
import type { ClaimOutcome } from '../idempotency/claim-client.js';
import { createDispatcher } from './dispatcher.js';
import type { Submission } from './dispatcher.js';
import type { PlacementService } from './placement-service.js';

type Reply = HttpError | { readonly status: number; readonly body: (call: HttpCall) => unknown };

const KEY = { text: 'k@1', born: 1 } as RunKey;
const VALUES = { requestDeadlineMs: 5_000, lineWaitMs: 1_000, lineLimit: 10, retryShare: 1, pieceWaitMs: 2_000 };
const TICKET = {
  id: 't',
  requestId: 'r',
  model: 'm',
  bound: { mapping: null, kind: null, asked: null },
} as unknown as AdmissionToken;

/** Two workers that answer as told, in turn, and a core that grants claims after `claimMs`. */
function rig(replies: readonly Reply[], claimMs = 0, ran = 0) {
  const world = createWorld(3);
  const clock = world.clockOf(world.begin(world.host('edge', 'z1')));
  const calls: HttpCall[] = [];
  const claims: string[] = [];
  const rows = [0, 1].map(
    (index) =>
      ({ index, present: true, leaving: false, missedProbes: 0, leaveBy: null, inFlight: 0 }) as unknown as WorkerRow,
  );
  const table = {
    begin: (index: number) => rows[index] ?? null,
    end: () => undefined,
    isCurrent: () => true,
    recordRefused: () => undefined,
    recordServed: () => undefined,
    recordMissedProbe: () => undefined,
    modelIx: () => 0,
    prefixes: { learn: () => undefined },
  } as unknown as WorkerTable;
  const placement = {
    resolved: () => ({ values: VALUES }),
    homesOf: () => null,
    choose: ({ avoid }: { avoid: ReadonlySet<number> }) => {
      const row = rows.find((r) => !avoid.has(r.index));
      return row
        ? { tag: 'chosen', candidate: { index: row.index, id: `w${row.index}`, address: `w${row.index}` } }
        : { tag: 'none', stoppedBy: 'untried' };
    },
  } as unknown as PlacementService;
  const dispatcher = createDispatcher({
    ready: () => true,
    placement,
    table,
    claims: {
      claim: () => {
        claims.push('claim');
        return new Promise<ClaimOutcome>((done) => clock.timer(claimMs, () => done({ tag: 'claimed' })));
      },
      end: (_key, _by, outcome) => claims.push(outcome),
    },
    httpClient: {
      call: (call) => {
        const reply = replies[ran + calls.length] ?? { tag: 'broken' };
        calls.push(call);
        if ('tag' in reply) return Promise.resolve({ ok: false, error: reply });
        const answer = {
          status: reply.status,
          headers: {},
          body: reply.body(call),
          abandon: () => undefined,
        } as unknown as HttpAnswer;
        return Promise.resolve({ ok: true, value: answer });
      },
    },
    clock,
    rng: createRng(1),
    log: createQuietLog().component('t'),
  });
  let gone = false;
  async function submit(key: RunKey | null, forMs = 100): Promise<Submission | null> {
    let end: Submission | null = null;
    void dispatcher
      .submit(TICKET, { requestId: 'r', parts: [], outputTokens: 1, stream: false }, key, () => gone)
      .then((response) => (end = response));
    await world.advance(forMs);
    return end;
  }
  return { world, calls, claims, submit, dispatcher, leave: () => (gone = true) };
}

function notRun(call: HttpCall): unknown {
  const run = call.body as { requestId: string; attemptId: string };
  return { notRun: true, requestId: run.requestId, attemptId: run.attemptId };
}
const REFUSES: Reply = { status: 503, body: notRun };
const REFUSES_ANOTHER: Reply = { status: 503, body: () => ({ notRun: true, requestId: 'r', attemptId: 'other' }) };
const FAILS: Reply = { status: 500, body: () => null };

test.each<[string, Reply, number, string, string]>([
  ['no connection', { tag: 'neverSent' }, 2, 'outcomeUnknown', ''],
  ['a reset', { tag: 'broken' }, 1, 'outcomeUnknown', ''],
  ['a silence until the deadline', { tag: 'timedOut' }, 1, 'outcomeUnknown', ''],
  ['bytes that are no answer', { tag: 'notJson' }, 1, 'outcomeUnknown', ''],
  ["a worker's own failure", FAILS, 1, 'outcomeUnknown', ''],
  ["another attempt's word that it was not run", REFUSES_ANOTHER, 1, 'outcomeUnknown', ''],
  ['the word that it was not run', REFUSES, 2, 'outcomeUnknown', ''],
])('a run-once request after %s', async (_what, first, sent, failure) => {
  const r = rig([first, { tag: 'broken' }]);
  const end = await r.submit(KEY);
  expect(r.calls).toHaveLength(sent);
  expect(end).toMatchObject({ tag: 'failed', failure: { tag: failure } });
  expect(r.claims).toEqual(['claim']);
});

test('a claim is released where every worker said that it did not run the request', async () => {
  const r = rig([REFUSES, REFUSES]);
  expect(await r.submit(KEY)).toMatchObject({ failure: { tag: 'shed', notRun: true } });
  expect(r.claims).toEqual(['claim', 'released']);
});

test.each<[string, Reply]>([
  ['a reset', { tag: 'broken' }],
  ['bytes that are no answer', { tag: 'notJson' }],
  ["a worker's own failure", FAILS],
])('a repeatable request goes elsewhere after %s, and is never told that it did not run', async (_what, first) => {
  const r = rig([first, REFUSES]);
  expect(await r.submit(null)).toMatchObject({ failure: { tag: 'workerFailed' } });
  expect(r.calls).toHaveLength(2);
});

test('a run-once request whose caller left, or whose time was over, while its key was claimed is not sent', async () => {
  for (const why of ['left', 'late']) {
    const r = rig([], why === 'late' ? 6_000 : 500);
    const pending = r.submit(KEY, 7_000);
    if (why === 'left') r.leave();
    expect(await pending).toMatchObject({ failure: { tag: 'shed', notRun: true } });
    expect(r.calls).toHaveLength(0);
    expect(r.claims).toEqual(['claim', 'released']);
  }
});
