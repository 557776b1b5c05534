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
const SETTINGS = { requestDeadlineMs: 5_000, lineWaitMs: 1_000, lineLimit: 10, retryShare: 1, pieceWaitMs: 2_000 };
const TOKEN = {
  id: 't',
  requestId: 'r',
  model: 'm',
  bound: { mapping: null, kind: null, asked: null },
} as unknown as AdmissionToken;

/** Creates a dispatcher with two workers that respond with `replies` in turn. Claims are granted after `claimMs`. */
function createFixture(replies: readonly Reply[], claimMs = 0, firstReply = 0) {
  const world = createWorld(3);
  const clock = world.clockOf(world.startProcess(world.host('edge', 'z1')));
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
    recordRejected: () => undefined,
    recordServed: () => undefined,
    recordMissedProbe: () => undefined,
    modelIndex: () => 0,
    prefixes: { recordRun: () => undefined },
  } as unknown as WorkerTable;
  const placement = {
    resolved: () => ({ values: SETTINGS }),
    homesOf: () => null,
    choose: ({ avoid }: { avoid: ReadonlySet<number> }) => {
      const row = rows.find((candidate) => !avoid.has(candidate.index));
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
        return new Promise<ClaimOutcome>((resolve) => clock.timer(claimMs, () => resolve({ tag: 'claimed' })));
      },
      reportEnd: (_key, _by, outcome) => claims.push(outcome),
    },
    httpClient: {
      call: (call) => {
        const reply = replies[firstReply + calls.length] ?? { tag: 'broken' };
        calls.push(call);
        if ('tag' in reply) return Promise.resolve({ ok: false, error: reply });
        const response = {
          status: reply.status,
          headers: {},
          body: reply.body(call),
          abandon: () => undefined,
        } as unknown as HttpAnswer;
        return Promise.resolve({ ok: true, value: response });
      },
    },
    clock,
    rng: createRng(1),
    log: createQuietLog().component('t'),
  });
  let isCallerGone = false;
  async function submit(key: RunKey | null, advanceMs = 100): Promise<Submission | null> {
    let submission: Submission | null = null;
    void dispatcher
      .submit(TOKEN, { requestId: 'r', parts: [], outputTokens: 1, stream: false }, key, () => isCallerGone)
      .then((response) => (submission = response));
    await world.advance(advanceMs);
    return submission;
  }
  return { world, calls, claims, submit, dispatcher, disconnect: () => (isCallerGone = true) };
}

function notRunBody(call: HttpCall): unknown {
  const run = call.body as { requestId: string; attemptId: string };
  return { notRun: true, requestId: run.requestId, attemptId: run.attemptId };
}
const REJECTS: Reply = { status: 503, body: notRunBody };
const REJECTS_OTHER_ATTEMPT: Reply = {
  status: 503,
  body: () => ({ notRun: true, requestId: 'r', attemptId: 'other' }),
};
const FAILS: Reply = { status: 500, body: () => null };

test.each<[string, Reply, number, string, string]>([
  ['no connection', { tag: 'neverSent' }, 2, 'outcomeUnknown', ''],
  ['a reset', { tag: 'broken' }, 1, 'outcomeUnknown', ''],
  ['no response until the deadline', { tag: 'timedOut' }, 1, 'outcomeUnknown', ''],
  ['a response that is not JSON', { tag: 'notJson' }, 1, 'outcomeUnknown', ''],
  ['a worker error', FAILS, 1, 'outcomeUnknown', ''],
  ['a statement under the id of another attempt that it was not run', REJECTS_OTHER_ATTEMPT, 1, 'outcomeUnknown', ''],
  ['a statement that it was not run', REJECTS, 2, 'outcomeUnknown', ''],
])(
  'a run-once request is sent again only if no attempt may have run: after %s',
  async (_case, firstResponse, expectedCalls, failure) => {
    const fixture = createFixture([firstResponse, { tag: 'broken' }]);
    const submission = await fixture.submit(KEY);
    expect(fixture.calls).toHaveLength(expectedCalls);
    expect(submission).toMatchObject({ tag: 'failed', failure: { tag: failure } });
    expect(fixture.claims).toEqual(['claim']);
  },
);

test('a claim is released if every worker stated that it did not run the request', async () => {
  const fixture = createFixture([REJECTS, REJECTS]);
  expect(await fixture.submit(KEY)).toMatchObject({ failure: { tag: 'shed', notRun: true } });
  expect(fixture.claims).toEqual(['claim', 'released']);
});

test.each<[string, Reply]>([
  ['a reset', { tag: 'broken' }],
  ['a response that is not JSON', { tag: 'notJson' }],
  ['a worker error', FAILS],
])(
  'a repeatable request is retried at another worker after %s, and never reported as not run',
  async (_case, firstResponse) => {
    const fixture = createFixture([firstResponse, REJECTS]);
    expect(await fixture.submit(null)).toMatchObject({ failure: { tag: 'workerFailed' } });
    expect(fixture.calls).toHaveLength(2);
  },
);

test('a run-once request is not sent if its caller disconnects or its deadline passes while its key is claimed', async () => {
  for (const cause of ['disconnected', 'expired']) {
    const fixture = createFixture([], cause === 'expired' ? 6_000 : 500);
    const pending = fixture.submit(KEY, 7_000);
    if (cause === 'disconnected') fixture.disconnect();
    expect(await pending).toMatchObject({ failure: { tag: 'shed', notRun: true } });
    expect(fixture.calls).toHaveLength(0);
    expect(fixture.claims).toEqual(['claim', 'released']);
  }
});
