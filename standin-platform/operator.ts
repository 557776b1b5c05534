/** A stand-in operator: sends orders to the controllers, retries them and records their outcomes. */

import { delay } from '../src/transport/clock.js';
import type { Clock } from '../src/transport/clock.js';
import { shuffled } from '../src/transport/rng.js';
import type { Rng } from '../src/transport/rng.js';
import { API_PATH, DOCUMENT, HEADER } from '../platform/words.js';
import { sendRequest } from './ask.js';
import type { Reply } from './ask.js';
import { applyAmendment, versionNumber } from './document.js';
import type { Records } from './records.js';

/** The result of an order; `unclear` means that it may or may not have been applied. */
export type Outcome = { readonly outcome: 'acknowledged' | 'refused' | 'unclear'; readonly status: number };

/** Sends configuration and evacuation orders to the controllers. */
export type Operator = {
  readonly replace: (document: unknown, base: number, valid?: boolean) => Promise<Outcome>;
  readonly amend: (before: unknown, amendment: unknown, base: number, valid?: boolean) => Promise<Outcome>;
  /** Sends a text that is not a valid configuration, which must be refused. */
  readonly replaceRaw: (text: string, base: number) => Promise<Outcome>;
  readonly evacuate: (zone: string, begin: boolean, options?: SendOptions) => Promise<Outcome>;
  /** Reads the configuration back, with retries for this long; null if there was no answer. */
  readonly read: (forMs: number) => Promise<unknown>;
};

/** Options of one order: the node to try first, and a retry period other than that of all orders. */
export type SendOptions = { readonly first?: string | undefined; readonly withinMs?: number };

/** `nodes` returns the controllers to try; `withinMs` is how long an order is retried. */
export type OperatorDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly records: Records;
  readonly nodes: () => readonly string[];
  readonly withinMs: number;
};

/** An order that is answered with one of these statuses is refused at once. */
const FINAL_STATUSES: readonly number[] = [400, 409, 412, 413, 422];
/** Client errors after which an order is retried; it is refused at the third of any other. */
const RETRYABLE_STATUSES: readonly number[] = [408, 429];
const RESPONSE_TIMEOUT_MS = 1_000;
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1_600;

/** Creates an operator that follows up to two redirects per attempt and retries with exponential backoff. */
export function createOperator(deps: OperatorDeps): Operator {
  const { clock, rng, records } = deps;
  let orderCount = 0;

  async function sendFollowingRedirects(
    node: string,
    method: string,
    path: string,
    headers: Readonly<Record<string, string>>,
    body: string,
  ): Promise<Reply | null> {
    let address = node;
    let target = path;
    const timeoutMs = RESPONSE_TIMEOUT_MS + body.length / 1_000;
    for (let redirects = 0; redirects <= 2; redirects += 1) {
      const reply = await sendRequest(address, clock, method, target, timeoutMs, headers, body);
      if (reply?.status !== 307) return reply;
      const location = /^http:\/\/([^/]+)(\/.*)$/.exec(reply.headers.get('location') ?? '');
      if (!location) return null;
      address = location[1] ?? '';
      target = location[2] ?? '';
    }
    return null;
  }

  async function sendWithRetries(
    method: string,
    path: string,
    headers: Readonly<Record<string, string>>,
    body: string,
    withinMs: number,
    firstNode?: string,
  ): Promise<{ readonly outcome: Outcome; readonly reply: Reply | null }> {
    const deadlineAt = clock.mono() + withinMs;
    let backoffMs = INITIAL_BACKOFF_MS;
    let otherClientErrors = 0;
    let untriedNodes: string[] = firstNode === undefined ? [] : [firstNode];
    let status = 0;
    while (clock.mono() < deadlineAt) {
      if (untriedNodes.length === 0) untriedNodes = shuffled(rng, deps.nodes());
      const reply = await sendFollowingRedirects(untriedNodes.pop() ?? '', method, path, headers, body);
      status = reply?.status ?? 0;
      if (reply && status >= 200 && status < 300) return { outcome: { outcome: 'acknowledged', status }, reply };
      if (FINAL_STATUSES.includes(status)) return { outcome: { outcome: 'refused', status }, reply };
      if (status >= 400 && status < 500 && !RETRYABLE_STATUSES.includes(status)) otherClientErrors += 1;
      if (otherClientErrors >= 3) return { outcome: { outcome: 'refused', status }, reply };
      await delay(clock, Math.max(0, Math.min(backoffMs, deadlineAt - clock.mono())));
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }
    return { outcome: { outcome: 'unclear', status }, reply: null };
  }

  async function submit(path: string, body: string, base: number, document: unknown, valid: boolean): Promise<Outcome> {
    const orderName = `o-${(orderCount += 1)}`;
    records.add({ what: 'submitted', order: orderName, number: versionNumber(document), base, document, valid });
    const { outcome } = await sendWithRetries('POST', path, { [HEADER.base]: String(base) }, body, deps.withinMs);
    records.add({ what: 'settled', order: orderName, outcome: outcome.outcome, status: outcome.status });
    return outcome;
  }
  function replace(document: unknown, base: number, valid = true): Promise<Outcome> {
    return submit(API_PATH.replace, JSON.stringify(document), base, document, valid);
  }
  function amend(before: unknown, amendment: unknown, base: number, valid = true): Promise<Outcome> {
    return submit(API_PATH.amend, JSON.stringify(amendment), base, applyAmendment(before, amendment), valid);
  }
  function replaceRaw(text: string, base: number): Promise<Outcome> {
    return submit(API_PATH.replace, text, base, { [DOCUMENT.number]: -1 }, false);
  }
  async function evacuate(zone: string, begin: boolean, options: SendOptions = {}): Promise<Outcome> {
    const orderName = `o-${(orderCount += 1)}`;
    records.add({ what: 'evacuated', order: orderName, zone, begin });
    const { outcome } = await sendWithRetries(
      'POST',
      `${API_PATH.evacuation}${zone}${begin ? API_PATH.begin : API_PATH.finish}`,
      {},
      '',
      options.withinMs ?? deps.withinMs,
      options.first,
    );
    records.add({ what: 'settled', order: orderName, outcome: outcome.outcome, status: outcome.status });
    return outcome;
  }
  async function read(forMs: number): Promise<unknown> {
    const { reply } = await sendWithRetries('GET', API_PATH.read, {}, '', forMs);
    records.add({ what: 'readBack', document: reply?.body ?? null });
    return reply?.body ?? null;
  }
  return { replace, amend, replaceRaw, evacuate, read };
}
