import { delay } from '../src/transport/clock.js';
import type { Clock } from '../src/transport/clock.js';
import { below, shuffled } from '../src/transport/rng.js';
import type { Rng } from '../src/transport/rng.js';
import { CALL, HEADER, QUERY, RESOLVED } from '../platform/words.js';
import { ask } from './ask.js';
import { openConnection } from './client.js';
import type { Answer, Connection } from './client.js';
import { createEventReader } from './events.js';
import type { Ended, EventSeen, Kind, Records } from './records.js';
import { sha } from './incoming.js';

export type Wish = {
  readonly host: string;
  readonly path: string;
  readonly kind: Kind;
  readonly resumable: boolean;
  readonly deadlineMs: number;
  readonly aimMs: number;
  readonly pauseMs: number;
  readonly tries: number;
  readonly bytes: number;
  readonly tokens: string | null;
  readonly prefix: string | null;
  readonly chunked: boolean;
};

export const WISH_DEFAULTS = {
  resumable: false,
  deadlineMs: 6_000,
  aimMs: 1_000,
  pauseMs: 600,
  tries: 2,
  bytes: 600,
  tokens: null,
  prefix: null,
  chunked: false,
} as const;

export type CallerSpec = {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly directories: readonly string[];
  readonly keepConnections: boolean;
  /** Goes on using a kept connection until its other side ends it, whatever the directory says. */
  readonly ignoresRemoval?: boolean;
  readonly ttlFactor: number;
  readonly ttlMaxS: number;
};

export type Told = {
  readonly served: boolean;
  readonly tries: number;
  readonly status: number;
  readonly firstMs: number | null;
  readonly wholeMs: number;
};

export type Caller = {
  readonly call: (wish: Wish) => Promise<Told>;
  readonly direct: (edge: string, wish: Wish) => Promise<Told>;
  readonly resolved: () => Promise<readonly string[]>;
  readonly inFlight: () => number;
  readonly close: () => void;
};

export type CallerDeps = { readonly clock: Clock; readonly rng: Rng; readonly records: Records };

const PROMISES: readonly number[] = [429, 503, 408, 421];
const FINAL: readonly number[] = [400, 401, 404, 413, 431];
const ASK_MS = 1_000;
const FAILED_MS = 2_000;

type Try = {
  readonly end: Ended;
  readonly status: number;
  readonly retryAfterMs: number;
  readonly lastEvent: number;
  readonly firstMs: number | null;
  readonly more: boolean;
};

export function createCaller(spec: CallerSpec, deps: CallerDeps): Caller {
  const { clock, rng, records } = deps;
  let addresses: readonly string[] = [];
  let freshUntil = -1;
  let asking: Promise<void> | null = null;
  let calls = 0;
  let flying = 0;
  const failed = new Map<string, number>();
  const idle: Connection[] = [];

  async function refresh(): Promise<void> {
    const query = `${CALL.resolve}?${QUERY.name}=caller.example&${QUERY.region}=${spec.region}&${QUERY.zone}=${spec.zone}`;
    for (const directory of spec.directories.slice(0, 3)) {
      const reply = await ask(directory, clock, 'GET', query, ASK_MS);
      const body =
        reply?.status === 200 && typeof reply.body === 'object' && reply.body !== null
          ? (reply.body as Readonly<Record<string, unknown>>)
          : {};
      const list = body[RESOLVED.addresses];
      const ttl = body[RESOLVED.ttlS];
      if (!Array.isArray(list) || list.length === 0 || typeof ttl !== 'number') continue;
      addresses = list.filter(isText).slice(0, 64);
      freshUntil = clock.mono() + Math.min(ttl, spec.ttlMaxS) * 1_000 * spec.ttlFactor;
      leaveOthers();
      return;
    }
  }
  function isText(item: unknown): item is string {
    return typeof item === 'string';
  }
  function leaveOthers(): void {
    for (const connection of idle.splice(0)) {
      if (mayKeep(connection)) idle.push(connection);
      else connection.close();
    }
  }
  function mayKeep(connection: Connection): boolean {
    return connection.usable() && (spec.ignoresRemoval === true || addresses.includes(connection.address));
  }
  async function resolved(): Promise<readonly string[]> {
    if (clock.mono() < freshUntil && addresses.length > 0) return addresses;
    asking ??= refresh();
    await asking;
    asking = null;
    return addresses;
  }

  async function connectionFor(fresh: boolean): Promise<Connection | null> {
    const all = await resolved();
    while (!fresh && idle.length > 0) {
      const connection = idle.pop();
      if (connection?.usable()) return connection;
      connection?.close();
    }
    const now = clock.mono();
    function trusted(address: string): boolean {
      return (failed.get(address) ?? 0) <= now;
    }
    const good = all.filter(trusted);
    const edge = shuffled(rng, good.length > 0 ? good : all)[0];
    return edge === undefined ? null : dial(edge);
  }
  async function dial(edge: string): Promise<Connection | null> {
    const connection = await openConnection(edge, clock, { stray });
    if (!connection) failed.set(edge, clock.mono() + FAILED_MS);
    return connection;
    function stray(text: string, waiting: boolean): void {
      records.note({ what: 'stray', edge, attempt: waiting ? 'waiting' : null, text });
    }
  }

  function newAttempt(): string {
    let out = '';
    for (let i = 0; i < 16; i += 1) out += below(rng, 16).toString(16);
    return out;
  }

  async function call(wish: Wish): Promise<Told> {
    const started = clock.mono();
    const name = `${spec.name}/${(calls += 1)}`;
    const until = started + wish.deadlineMs;
    let lastEvent = 0;
    let firstMs: number | null = null;
    let last: Try | null = null;
    let tries = 0;
    flying += 1;
    for (let count = 1; count <= wish.tries + 1; count += 1) {
      const left = until - clock.mono();
      if (left <= 0) break;
      const connection = await connectionFor(count > 1);
      if (!connection) {
        last = { end: 'noConnection', status: 0, retryAfterMs: 0, lastEvent, firstMs: null, more: true };
        await delay(clock, Math.min(100, left));
        continue;
      }
      tries += 1;
      last = await sendAttempt(connection, wish, name, left, lastEvent, false);
      if (last.firstMs !== null && firstMs === null) firstMs = clock.mono() - started - last.firstMs;
      lastEvent = last.lastEvent;
      if (!last.more) break;
      await delay(clock, Math.min(last.retryAfterMs, (until - clock.mono()) / 3));
    }
    flying -= 1;
    const served = last !== null && last.end === 'whole' && last.status >= 200 && last.status < 300;
    return { served, tries, status: last?.status ?? 0, firstMs, wholeMs: clock.mono() - started };
  }

  async function direct(edge: string, wish: Wish): Promise<Told> {
    const started = clock.mono();
    const connection = await dial(edge);
    if (!connection) return { served: false, tries: 1, status: 0, firstMs: null, wholeMs: 0 };
    const one = await sendAttempt(connection, wish, `${spec.name}/${(calls += 1)}`, wish.deadlineMs, 0, true);
    connection.close();
    return {
      served: one.end === 'whole' && one.status >= 200 && one.status < 300,
      tries: 1,
      status: one.status,
      firstMs: null,
      wholeMs: clock.mono() - started,
    };
  }

  async function sendAttempt(
    connection: Connection,
    wish: Wish,
    name: string,
    leftMs: number,
    lastEvent: number,
    isDirect: boolean,
  ): Promise<Try> {
    const attempt = newAttempt();
    const body = Buffer.from(`${attempt} `.repeat(Math.ceil(wish.bytes / 17)).slice(0, wish.bytes));
    records.note({
      what: 'asked',
      attempt,
      call: name,
      edge: connection.address,
      zone: spec.zone,
      region: spec.region,
      method: 'POST',
      host: wish.host,
      path: wish.path,
      digest: sha(body),
      deadlineMs: leftMs,
      lastEvent,
      direct: isDirect,
    });
    const started = clock.mono();
    let firstAt: number | null = null;
    const events = createEventReader();
    function onBody(part: Buffer): void {
      if (firstAt === null) firstAt = clock.mono();
      if (wish.kind === 'stream') events.push(part);
    }
    function onSent(): void {
      records.note({ what: 'sent', attempt });
    }
    const silenceMs = wish.kind === 'stream' ? Math.max(2_000, 4 * wish.aimMs, 8 * wish.pauseMs) : null;
    const answer = await connection.exchange(
      bytesOf(wish, attempt, body, leftMs, lastEvent),
      { deadlineMs: leftMs, silenceMs },
      onBody,
      onSent,
    );
    note(attempt, answer, events.seen());
    if (spec.keepConnections && !isDirect && mayKeep(connection)) idle.push(connection);
    else connection.close();
    if (answer.end !== 'whole') failed.set(connection.address, clock.mono() + FAILED_MS);
    const seen = events.seen();
    const status = answer.head?.status ?? 0;
    return {
      end: answer.end,
      status,
      retryAfterMs: Number(answer.head?.headers.get(HEADER.retryAfter) ?? 0) * 1_000,
      lastEvent: seen[seen.length - 1]?.id ?? lastEvent,
      firstMs: firstAt === null ? null : clock.mono() - firstAt,
      more: clock.mono() - started < leftMs && mayTryAgain(wish, answer, seen.length > 0),
    };
  }

  function note(attempt: string, answer: Answer, events: readonly EventSeen[]): void {
    const headers = answer.head?.headers;
    records.note({
      what: 'answered',
      attempt,
      end: answer.end,
      status: answer.head?.status ?? 0,
      seal: headers?.get(HEADER.seal) ?? null,
      echo: headers?.get(HEADER.attemptId) ?? null,
      digest: sha(answer.body),
      events,
    });
  }

  function close(): void {
    for (const connection of idle.splice(0)) connection.close();
  }
  function inFlight(): number {
    return flying;
  }
  return { call, direct, resolved, inFlight, close };
}

function mayTryAgain(wish: Wish, answer: Answer, hasEvents: boolean): boolean {
  const status = answer.head?.status ?? 0;
  if (answer.end === 'whole' && (status < 300 || FINAL.includes(status))) return false;
  if (answer.end === 'whole' && PROMISES.includes(status)) return true;
  if (wish.kind === 'repeatable') return true;
  return wish.resumable && hasEvents;
}

function bytesOf(wish: Wish, attempt: string, body: Buffer, leftMs: number, lastEvent: number): readonly Buffer[] {
  const lines = [`POST ${wish.path} HTTP/1.1`, `Host: ${wish.host}`, `X-Millfield-Attempt-Id: ${attempt}`];
  if (wish.tokens !== null) lines.push(`X-Millfield-Model: m`, `X-Millfield-Token-Counts: ${wish.tokens}`);
  if (wish.prefix !== null) lines.push(`X-Millfield-Prompt-Prefix: ${wish.prefix}`);
  lines.push(`X-Millfield-Deadline-Ms: ${Math.round(leftMs)}`);
  if (lastEvent > 0) lines.push(`Last-Event-Id: ${lastEvent}`);
  lines.push(wish.chunked ? 'Transfer-Encoding: chunked' : `Content-Length: ${body.length}`);
  const head = Buffer.from(`${lines.join('\r\n')}\r\n\r\n`);
  if (!wish.chunked) return [head, body];
  const half = Math.ceil(body.length / 2);
  return [head, chunk(body.subarray(0, half)), chunk(body.subarray(half)), Buffer.from('0\r\n\r\n')];
}
function chunk(part: Buffer): Buffer {
  return part.length === 0
    ? Buffer.alloc(0)
    : Buffer.concat([Buffer.from(`${part.length.toString(16)}\r\n`), part, Buffer.from('\r\n')]);
}
