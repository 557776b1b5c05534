import { delay } from '../src/transport/clock.js';
import type { Clock } from '../src/transport/clock.js';
import { shuffled } from '../src/transport/rng.js';
import type { Rng } from '../src/transport/rng.js';
import { CALL, DOCUMENT, HEADER } from '../platform/words.js';
import { ask } from './ask.js';
import type { Reply } from './ask.js';
import { amended, numberOf } from './document.js';
import type { Records } from './records.js';

export type Outcome = { readonly outcome: 'acknowledged' | 'refused' | 'unclear'; readonly status: number };

export type Operator = {
  readonly replace: (document: unknown, base: number, valid?: boolean) => Promise<Outcome>;
  readonly amend: (before: unknown, amendment: unknown, base: number, valid?: boolean) => Promise<Outcome>;
  readonly spoiled: (text: string, base: number) => Promise<Outcome>;
  readonly evacuate: (zone: string, begin: boolean, sending?: Sending) => Promise<Outcome>;
  readonly read: (forMs: number) => Promise<unknown>;
};

/** How one order is sent: to which node first, and how long it is sent again, if not as long as all orders. */
export type Sending = { readonly first?: string | undefined; readonly withinMs?: number };

export type OperatorDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly records: Records;
  readonly nodes: () => readonly string[];
  readonly withinMs: number;
};

const ENDS: readonly number[] = [400, 409, 412, 413, 422];
const AGAIN: readonly number[] = [408, 429];
const SILENCE_MS = 1_000;
const FIRST_PAUSE_MS = 100;
const MOST_PAUSE_MS = 1_600;

export function createOperator(deps: OperatorDeps): Operator {
  const { clock, rng, records } = deps;
  let orders = 0;

  async function follow(
    node: string,
    method: string,
    path: string,
    headers: Readonly<Record<string, string>>,
    body: string,
  ): Promise<Reply | null> {
    let at = node;
    let to = path;
    const responseTimer = SILENCE_MS + body.length / 1_000;
    for (let hop = 0; hop <= 2; hop += 1) {
      const reply = await ask(at, clock, method, to, responseTimer, headers, body);
      if (reply?.status !== 307) return reply;
      const target = /^http:\/\/([^/]+)(\/.*)$/.exec(reply.headers.get('location') ?? '');
      if (!target) return null;
      at = target[1] ?? '';
      to = target[2] ?? '';
    }
    return null;
  }

  async function order(
    method: string,
    path: string,
    headers: Readonly<Record<string, string>>,
    body: string,
    withinMs: number,
    first?: string,
  ): Promise<{ readonly outcome: Outcome; readonly reply: Reply | null }> {
    const until = clock.mono() + withinMs;
    let wait = FIRST_PAUSE_MS;
    let others = 0;
    let line: string[] = first === undefined ? [] : [first];
    let status = 0;
    while (clock.mono() < until) {
      if (line.length === 0) line = shuffled(rng, deps.nodes());
      const reply = await follow(line.pop() ?? '', method, path, headers, body);
      status = reply?.status ?? 0;
      if (reply && status >= 200 && status < 300) return { outcome: { outcome: 'acknowledged', status }, reply };
      if (ENDS.includes(status)) return { outcome: { outcome: 'refused', status }, reply };
      if (status >= 400 && status < 500 && !AGAIN.includes(status)) others += 1;
      if (others >= 3) return { outcome: { outcome: 'refused', status }, reply };
      await delay(clock, Math.max(0, Math.min(wait, until - clock.mono())));
      wait = Math.min(MOST_PAUSE_MS, wait * 2);
    }
    return { outcome: { outcome: 'unclear', status }, reply: null };
  }

  async function submit(path: string, body: string, base: number, document: unknown, valid: boolean): Promise<Outcome> {
    const name = `o-${(orders += 1)}`;
    records.note({ what: 'submitted', order: name, number: numberOf(document), base, document, valid });
    const { outcome } = await order('POST', path, { [HEADER.base]: String(base) }, body, deps.withinMs);
    records.note({ what: 'settled', order: name, outcome: outcome.outcome, status: outcome.status });
    return outcome;
  }
  function replace(document: unknown, base: number, valid = true): Promise<Outcome> {
    return submit(CALL.replace, JSON.stringify(document), base, document, valid);
  }
  function amend(before: unknown, amendment: unknown, base: number, valid = true): Promise<Outcome> {
    return submit(CALL.amend, JSON.stringify(amendment), base, amended(before, amendment), valid);
  }
  function spoiled(text: string, base: number): Promise<Outcome> {
    return submit(CALL.replace, text, base, { [DOCUMENT.number]: -1 }, false);
  }
  async function evacuate(zone: string, begin: boolean, sending: Sending = {}): Promise<Outcome> {
    const name = `o-${(orders += 1)}`;
    records.note({ what: 'evacuated', order: name, zone, begin });
    const { outcome } = await order(
      'POST',
      `${CALL.evacuation}${zone}${begin ? CALL.begin : CALL.finish}`,
      {},
      '',
      sending.withinMs ?? deps.withinMs,
      sending.first,
    );
    records.note({ what: 'settled', order: name, outcome: outcome.outcome, status: outcome.status });
    return outcome;
  }
  async function read(forMs: number): Promise<unknown> {
    const { reply } = await order('GET', CALL.read, {}, '', forMs);
    records.note({ what: 'readBack', document: reply?.body ?? null });
    return reply?.body ?? null;
  }
  return { replace, amend, spoiled, evacuate, read };
}
