import type { OpenWords } from '../../protocol/open-words.js';
import { createEventSplitter } from '../../state/event-splitter.js';
import type { EventSplitter } from '../../state/event-splitter.js';
import type { MatchedRoute, RouteTable } from '../../state/route-table.js';
import type { AttemptBudget } from '../../state/attempt-budget.js';
import type { EdgeTuning } from '../../state/edge-tuning.js';
import { createStandstill } from '../../state/standstill.js';
import type { Part } from '../../state/prefix-cache.js';
import type { RouteMapping } from '../../state/serving.js';
import type { BookRow, Hold, PlaceAsk, WorkerRegistry } from '../../state/worker-registry.js';
import { pause } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { OpenRequest, ConnectionPool, RawHeaders, SendFault, Sent } from '../../transport/open-http.js';
import type { Rng } from '../../transport/rng.js';

import { createSilenceWatch } from './silence-watch.js';
import type { WatchedFlight } from './silence-watch.js';

export type RelayDeps = {
  readonly words: OpenWords;
  readonly tuning: EdgeTuning;
  readonly book: WorkerRegistry;
  readonly budget: AttemptBudget;
  readonly connectionPool: ConnectionPool;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: Log;
  readonly table: () => RouteTable | null;
  readonly closing: () => boolean;
  /** When this process has stopped and a request that is only now taken must be done; null while any may be taken. */
  readonly lastEndAt: () => number | null;
};

export type RelayTally = {
  requests: Record<string, number>;
  shed: number;
  attempted: number;
  retried: number;
  resumed: number;
  cut: number;
  open: number;
  waiting: number;
};

export type Relay = {
  readonly handle: (req: OpenRequest) => void;
  readonly wake: () => void;
  readonly turn: () => void;
  readonly tally: () => RelayTally;
};

const HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'transfer-encoding',
  'te',
  'trailer',
  'upgrade',
  'content-length',
  'expect',
  'proxy-authenticate',
  'proxy-authorization',
]);
const MOST_HELD = 1_048_576;
const OPENING_LOOK_MS = 20;
const LINE_LOOK_MS = 25;

/** Slow side of what a stream takes until its first token, and for each further one. */
const STREAM_START_MS = 600;
const STREAM_TOKEN_MS = 10;
/** A caller that is sent on to another proxy needn't wait. */
const ELSEWHERE_S = 0.05;

type End =
  | { readonly tag: 'done' }
  | { readonly tag: 'gone' }
  | { readonly tag: 'late' }
  | { readonly tag: 'notRun'; readonly status: number; readonly afterS: number }
  | { readonly tag: 'neverSent' }
  | { readonly tag: 'withheld' }
  | { readonly tag: 'unknown' }
  | { readonly tag: 'passedPart' }
  | { readonly tag: 'answered'; readonly status: number; readonly headers: RawHeaders; readonly body: Buffer };

type Job = {
  readonly req: OpenRequest;
  readonly route: MatchedRoute;
  readonly model: string;
  readonly body: Buffer;
  readonly repeatable: boolean;
  readonly stream: boolean;
  readonly id: string;
  readonly until: number;
  readonly cameAt: number;
  readonly parts: readonly Part[];
  readonly tokens: number;
  readonly outTokens: number;
  readonly avoid: Set<string>;
  attempts: number;
  headPassed: boolean;
  lastEvent: number | null;
  unnumbered: boolean;
  reserved: boolean;
};

type Taken = { readonly row: BookRow; readonly hold: Hold };

type Waiter = { readonly job: Job; readonly go: (taken: Taken | null) => void; readonly until: number; timer: Timer };

export function createRelay(deps: RelayDeps): Relay {
  const { words, tuning, book, budget, connectionPool, clock, rng, log } = deps;
  const counts: RelayTally = {
    requests: {},
    shed: 0,
    attempted: 0,
    retried: 0,
    resumed: 0,
    cut: 0,
    open: 0,
    waiting: 0,
  };
  const line: Waiter[] = [];
  const standstill = createStandstill();
  const watch = createSilenceWatch({ book, connectionPool, clock, log, silentMs: tuning.silentMs, onReached: wake });

  function refuse(req: OpenRequest, status: number, tag: string, afterS: number | null): void {
    const body = Buffer.from(JSON.stringify({ error: { tag } }));
    const head = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
    if (afterS !== null) head.push('Retry-After', afterS.toFixed(2));
    if (deps.closing() || status === 413) head.push('Connection', 'close');
    req.answerer.head(status, head);
    req.answerer.write(body);
    req.answerer.end();
  }
  function backIn(share: number): number {
    return (tuning.backMs * share * (0.75 + 0.5 * rng.next())) / 1_000;
  }
  function shed(job: Job, tag: string, afterS: number): void {
    counts.shed += 1;
    refuse(job.req, 503, tag, afterS);
  }

  function handle(req: OpenRequest): void {
    void serve(req);
  }

  async function serve(req: OpenRequest): Promise<void> {
    const cameAt = clock.mono();
    const table = deps.table() ?? (await opened(req));
    if (!table) {
      counts.shed += 1;
      refuse(req, 503, 'notReady', backIn(0.5));
      return;
    }
    const path = req.target.split('?', 1)[0] ?? '/';
    const route = table.match(req.get('host') ?? '', path);
    const got = await req.body(table.serving.limits.bodyBytes);
    if (!got.ok) {
      if (got.fault.tag === 'bodyTooLarge') refuse(req, 413, 'bodyTooLarge', null);
      return;
    }
    if (!route) {
      refuse(req, 404, 'noMapping', null);
      return;
    }
    const id = req.get(words.attemptId);
    if (id === null || id === '') {
      refuse(req, 400, 'noAttemptId', null);
      return;
    }
    const job = jobOf(req, route, id, got.value, cameAt);
    const lastEndAt = deps.lastEndAt();
    if (lastEndAt !== null && expectedEnd(job) > lastEndAt) {
      shed(job, 'leaving', ELSEWHERE_S);
      return;
    }
    counts.requests[job.model] = (counts.requests[job.model] ?? 0) + 1;
    counts.open += 1;
    await run(job);
    counts.open -= 1;
  }

  async function opened(req: OpenRequest): Promise<RouteTable | null> {
    const until = clock.mono() + tuning.openingMs;
    while (clock.mono() < until && !req.answerer.gone()) {
      await pause(clock, OPENING_LOOK_MS);
      const table = deps.table();
      if (table) return table;
    }
    return null;
  }

  function jobOf(req: OpenRequest, route: MatchedRoute, id: string, body: Buffer, cameAt: number): Job {
    const m = route.mapping;
    const given = Number(req.get(words.deadline) ?? NaN);
    const left = Math.min(m.deadlineMs, Number.isFinite(given) && given > 0 ? given : m.deadlineMs);
    const [tokens, out] = tokensOf(req.get(words.tokens));
    const stream = m.kind === 'stream';
    return {
      req,
      route,
      model: shareOf(m, rng),
      body,
      id,
      cameAt,
      stream,
      repeatable: m.kind === 'repeatable' || (stream && m.resumable),
      until: cameAt + left,
      parts: partsOf(req.get(words.prefix)),
      tokens,
      outTokens: out,
      avoid: new Set(),
      attempts: 0,
      headPassed: false,
      lastEvent: numberOr(req.get(words.lastEvent)),
      unnumbered: false,
      reserved: false,
    };
  }

  /** When a request that begins now is over at the latest, as far as can be told beforehand. */
  function expectedEnd(job: Job): number {
    const { aimMs } = job.route.mapping;
    const takes = job.stream ? STREAM_START_MS + STREAM_TOKEN_MS * job.outTokens : 2 * (aimMs ?? STREAM_START_MS);
    return Math.min(job.until, clock.mono() + takes);
  }

  function askOf(job: Job): PlaceAsk {
    const m = job.route.mapping;
    return {
      model: job.model,
      traits: deps.table()?.traits(job.model) ?? null,
      parts: job.parts,
      tokens: job.tokens,
      outTokens: job.outTokens,
      bytes: job.body.length,
      homes: m.homes,
      pinned: m.pinned,
      avoid: job.avoid,
      now: clock.mono(),
    };
  }

  async function run(job: Job): Promise<void> {
    const { req } = job;
    const aim = job.route.mapping.aimMs ?? 2_000;
    budget.arrived(job.model, clock.mono());
    for (;;) {
      await settled();
      if (req.answerer.gone()) {
        release(job);
        return;
      }
      const taken = await placed(job, aim);
      if (req.answerer.gone()) {
        taken?.hold.end();
        release(job);
        return;
      }
      if (!taken) {
        release(job);
        const none = book.place(askOf(job)).tag === 'none';
        giveUp(
          job,
          none ? 'noneInReach' : 'full',
          none ? Math.max(backIn(1), (tuning.awayShare * (job.until - clock.mono())) / 1_000) : backIn(1),
        );
        return;
      }
      if (job.attempts > 0) counts.retried += 1;
      const { row } = taken;
      const { reserved } = job;
      job.reserved = false;
      const end = await attempt(job, taken);
      if (end.tag === 'done' || end.tag === 'gone') return;
      const unsent = end.tag === 'neverSent' || end.tag === 'withheld';
      if (unsent) job.reserved = reserved;
      else job.attempts += 1;
      if (end.tag === 'late') {
        giveUp(job, 'late', null);
        return;
      }
      if (end.tag === 'passedPart' && !(job.stream && job.repeatable && !job.unnumbered)) {
        counts.cut += 1;
        req.answerer.cut();
        return;
      }
      const left = job.until - clock.mono();
      if (end.tag === 'withheld') {
        if (left > 0) continue;
        release(job);
        giveUp(job, 'unsent', backIn(0.75));
        return;
      }
      job.avoid.add(row.entry.id);
      const again =
        left > 30 &&
        (end.tag === 'neverSent' ||
          ((end.tag === 'notRun' || job.repeatable) && job.attempts < job.route.mapping.attempts && reserve(job)));
      if (again) {
        if (end.tag === 'passedPart') counts.resumed += 1;
        continue;
      }
      release(job);
      if (end.tag === 'answered') pass(job, end.status, end.headers, end.body);
      else if (end.tag === 'notRun') giveUp(job, 'workerFull', Math.max(end.afterS, backIn(0.75)));
      else if (end.tag === 'neverSent') giveUp(job, 'unreachable', backIn(0.75));
      else giveUp(job, 'unknown', null);
      return;
    }
  }

  // A further dispatch is taken from the budget when it is decided, not when it is sent: many
  // requests may fail at one moment, and each decides before the next.
  function reserve(job: Job): boolean {
    job.reserved = job.reserved || budget.take(job.model, clock.mono());
    return job.reserved;
  }
  function release(job: Job): void {
    if (job.reserved) budget.giveBack(job.model);
    job.reserved = false;
  }

  /** Waits, after a standstill, until what callers and workers did meanwhile has been read. */
  async function settled(): Promise<void> {
    for (let until = standstill.observe(clock.mono()); until !== null; until = standstill.observe(clock.mono()))
      await pause(clock, until - clock.mono());
  }
  function turn(): void {
    standstill.observe(clock.mono());
  }

  function giveUp(job: Job, tag: string, afterS: number | null): void {
    const { answerer } = job.req;
    if (job.headPassed) {
      counts.cut += 1;
      answerer.cut();
      return;
    }
    if (afterS !== null) shed(job, tag, afterS);
    else refuse(job.req, tag === 'late' ? 504 : 502, tag, null);
  }

  function pass(job: Job, status: number, headers: RawHeaders, body: Buffer): void {
    const { answerer } = job.req;
    if (job.headPassed) {
      counts.cut += 1;
      answerer.cut();
      return;
    }
    // These statuses promise that nothing ran. A worker's own are passed on as 502, without the
    // seal, which stands for the worker's answer as it was.
    const promises = status === 503 || status === 429 || status === 408 || status === 421;
    const passed = promises ? without(cleaned(headers), words.seal) : cleaned(headers);
    answerer.head(promises ? 502 : status, [
      ...passed,
      'Content-Length',
      String(body.length),
      ...(deps.closing() ? ['Connection', 'close'] : []),
    ]);
    answerer.write(body);
    answerer.end();
  }

  function take(job: Job): Taken | 'busy' | 'none' {
    const ask = askOf(job);
    const got = book.place(ask);
    return got.tag === 'row' ? { row: got.row, hold: book.begin(got.row, ask) } : got.tag;
  }

  function placed(job: Job, aim: number): Promise<Taken | null> {
    const first = line.length === 0 ? take(job) : null;
    if (first !== null && typeof first === 'object') return Promise.resolve(first);
    if (first === 'none' && job.avoid.size > 0) {
      job.avoid.clear();
      const second = take(job);
      if (typeof second === 'object') return Promise.resolve(second);
    }
    if (line.length >= tuning.lineMost) return Promise.resolve(null);
    const now = clock.mono();
    const until = Math.min(
      job.until - 20,
      job.attempts === 0 && !job.headPassed ? Math.max(job.cameAt + aim * tuning.lineShare, now) : now + 400,
    );
    function start(resolve: (taken: Taken | null) => void): void {
      function go(taken: Taken | null): void {
        w.timer.cancel();
        const i = line.indexOf(w);
        if (i >= 0) line.splice(i, 1);
        counts.waiting = line.length;
        resolve(taken);
      }
      function late(): void {
        go(null);
      }
      const w: Waiter = { job, go, until, timer: clock.timer(Math.max(0, until - now), late) };
      const rank = rankOf(job);
      let at = line.length;
      while (at > 0 && rankOf((line[at - 1] as Waiter).job) > rank) at -= 1;
      line.splice(at, 0, w);
      arm();
      counts.waiting = line.length;
      job.req.answerer.onGone(late);
      wake();
    }
    return new Promise(start);
  }

  let waking = false;
  function wake(): void {
    if (waking || standstill.observe(clock.mono()) !== null) return;
    waking = true;
    for (const w of [...line]) {
      const got = take(w.job);
      if (typeof got === 'object') w.go(got);
    }
    waking = false;
  }
  let ticking = false;
  function tick(): void {
    ticking = false;
    if (line.length === 0) return;
    wake();
    arm();
  }
  function arm(): void {
    if (ticking) return;
    ticking = true;
    clock.timer(LINE_LOOK_MS, tick);
  }

  function attempt(job: Job, taken: Taken): Promise<End> {
    const { req } = job;
    const { row, hold } = taken;
    counts.attempted += 1;
    const left = job.until - clock.mono();
    let written = false;
    // At the moment of writing: what is left of the deadline by then, or nothing any more.
    function headers(): RawHeaders | null {
      const now = clock.mono();
      if (now >= job.until || standstill.observe(now) !== null || req.answerer.gone()) return null;
      written = true;
      return outbound(job, row, job.until - now);
    }
    function start(resolve: (end: End) => void): void {
      let status = 0;
      let raw: RawHeaders = [];
      let parts: Buffer[] = [];
      let size = 0;
      let splitter: EventSplitter | null = null;
      let notRunAfter: number | null = null;
      let freshConnection = false;
      let over = false;
      const flight: WatchedFlight = { sentAt: clock.mono(), heardAt: 0, onSilent };
      watch.begin(row, flight);
      const deadline = clock.timer(Math.max(1, left), late);
      let sent: Sent | null = null;

      function finish(end: End): void {
        if (over) return;
        over = true;
        deadline.cancel();
        watch.end(row, flight);
        hold.end();
        resolve(end);
        wake();
      }
      function late(): void {
        if (over) return;
        if (!written) {
          finish({ tag: 'withheld' });
          sent?.cut();
          return;
        }
        log.warn(
          `${row.entry.id} gave ${job.route.name} ${job.id} no end in ${Math.round(left)} ms: status ${status}, last event ${job.lastEvent ?? 'none'}, silent for ${Math.round(clock.mono() - Math.max(flight.heardAt, flight.sentAt))} ms.`,
        );
        finish({ tag: 'late' });
        sent?.cut();
      }
      function callerGone(): void {
        if (over) return;
        finish({ tag: 'gone' });
        sent?.cut();
      }
      function onSilent(): void {
        if (over || !job.repeatable || job.attempts + 1 >= job.route.mapping.attempts || !reserve(job)) return;
        finish(job.headPassed ? { tag: 'passedPart' } : { tag: 'unknown' });
        sent?.cut();
      }
      function spoilt(): void {
        book.spoilt(row, clock.mono());
        finish(job.headPassed ? { tag: 'passedPart' } : { tag: 'unknown' });
        sent?.cut();
      }

      // A refusal without an id is ours only where no other answer can be due: on a new connection.
      function isOurs(id: string | null, refused: boolean): boolean {
        return id === job.id || (id === null && refused && freshConnection);
      }
      function head(s: number, h: RawHeaders, get: (name: string) => string | null): void {
        if (over) return;
        status = s;
        raw = h;
        const coldMs = Number(get(words.coldMs) ?? 0);
        if (coldMs > 0) book.cold(row, clock.mono(), coldMs);
        if (!isOurs(get(words.attemptId), s === 421 || get(words.notRun) !== null)) {
          spoilt();
          return;
        }
        if (get('content-encoding') !== null) {
          spoilt();
          return;
        }
        if (s === 421 || get(words.notRun) !== null) {
          if (s === 421) book.moved(row);
          else book.full(row, clock.mono(), 60);
          notRunAfter = numberOr(get('retry-after')) ?? 0.2;
          return;
        }
        if (s >= 200 && s < 300) {
          if (get(words.seal) === null) {
            spoilt();
            return;
          }
          if (job.stream) splitter = createEventSplitter();
        }
      }
      function data(chunk: Buffer): void {
        if (over) return;
        flight.heardAt = clock.mono();
        if (!splitter) {
          size += chunk.length;
          parts.push(chunk);
          if (size > MOST_HELD) spoilt();
          return;
        }
        const events = splitter.take(chunk);
        if (events.length === 0) return;
        hold.read();
        passHead();
        for (const e of events) {
          if (e.id !== null) {
            if (job.lastEvent !== null && e.id <= job.lastEvent) {
              spoilt();
              return;
            }
            job.lastEvent = e.id;
          } else if (!isComment(e.bytes)) job.unnumbered = true;
          req.answerer.write(e.bytes);
        }
      }
      function passHead(): void {
        if (job.headPassed) return;
        job.headPassed = true;
        req.answerer.head(status, [...cleaned(raw), ...(deps.closing() ? ['Connection', 'close'] : [])]);
      }
      function end(): void {
        if (over) return;
        if (notRunAfter !== null) {
          finish({ tag: 'notRun', status, afterS: notRunAfter });
          return;
        }
        if (splitter) {
          const rest = splitter.rest();
          if (rest.length > 0) {
            spoilt();
            return;
          }
          book.served(row, clock.mono());
          passHead();
          req.answerer.end();
          finish({ tag: 'done' });
          return;
        }
        const body = Buffer.concat(parts);
        parts = [];
        if (status >= 200 && status < 300) {
          book.served(row, clock.mono());
          pass(job, status, raw, body);
          finish({ tag: 'done' });
          return;
        }
        if (status >= 500 && status !== 504) book.spoilt(row, clock.mono());
        finish({ tag: 'answered', status, headers: raw, body });
      }
      function failed(fault: SendFault): void {
        if (over) return;
        if (fault.tag === 'neverSent') {
          watch.unreached(row);
          finish({ tag: 'neverSent' });
          return;
        }
        if (fault.tag === 'withheld') {
          finish({ tag: 'withheld' });
          return;
        }
        if (fault.tag === 'closedUnread' && job.repeatable) {
          finish({ tag: 'neverSent' });
          return;
        }
        if (notRunAfter !== null) {
          finish({ tag: 'notRun', status, afterS: notRunAfter });
          return;
        }
        spoilt();
      }
      function connected(ms: number): void {
        freshConnection = true;
        book.took(row, ms);
      }
      req.answerer.onGone(callerGone);
      sent = connectionPool.send(
        {
          address: row.entry.address,
          method: req.method,
          target: req.target,
          headers,
          body: job.body.length > 0 || hasBody(req) ? job.body : null,
          connectMs: Math.min(left, book.connectMs(row)),
        },
        { connected, head, data, end, failed },
      );
      if (over) sent.cut();
    }
    return new Promise(start);
  }

  function outbound(job: Job, row: BookRow, left: number): string[] {
    const out: string[] = [];
    const { headers } = job.req;
    for (let i = 0; i + 1 < headers.length; i += 2) {
      const name = headers[i] as string;
      const low = name.toLowerCase();
      if (HOP.has(low) || low === words.deadline || low === words.expectWorker || low === words.urgency) continue;
      if (low === words.lastEvent && job.headPassed) continue;
      out.push(name, headers[i + 1] as string);
    }
    out.push(words.deadline, String(Math.max(1, Math.floor(left))), words.expectWorker, row.entry.id);
    const rank = job.route.mapping.rank;
    if (rank !== null) out.push(words.urgency, String(Math.max(0, Math.min(9, rank))));
    if (job.headPassed && job.lastEvent !== null) out.push(words.lastEvent, String(job.lastEvent));
    return out;
  }

  function tally(): RelayTally {
    return counts;
  }
  return { handle, wake, turn, tally };
}

function hasBody(req: OpenRequest): boolean {
  return req.get('content-length') !== null || req.get('transfer-encoding') !== null;
}

function rankOf(job: Job): number {
  return job.route.mapping.rank ?? 5;
}

function cleaned(headers: RawHeaders): string[] {
  const out: string[] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] as string;
    if (!HOP.has(name.toLowerCase())) out.push(name, headers[i + 1] as string);
  }
  return out;
}

const COLON = 58;

function isComment(event: Buffer): boolean {
  return event[0] === COLON && !/\n[^:\r\n]/.test(event.toString('latin1'));
}

function without(headers: readonly string[], unwanted: string): string[] {
  const out: string[] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] as string;
    if (name.toLowerCase() !== unwanted) out.push(name, headers[i + 1] as string);
  }
  return out;
}

function shareOf(m: RouteMapping, rng: Rng): string {
  let sum = 0;
  for (const s of m.shares) sum += s.share;
  let at = rng.next() * sum;
  for (const s of m.shares) {
    at -= s.share;
    if (at < 0) return s.model;
  }
  return m.shares[m.shares.length - 1]?.model ?? '';
}

function tokensOf(text: string | null): [number, number] {
  const [a, b] = (text ?? '').split(',');
  return [numberOr(a ?? null) ?? 0, numberOr(b ?? null) ?? 0];
}

function partsOf(text: string | null): Part[] {
  const out: Part[] = [];
  for (const piece of (text ?? '').split(',')) {
    const at = piece.lastIndexOf(':');
    const tokens = Number(piece.slice(at + 1));
    if (at > 0 && Number.isFinite(tokens)) out.push({ id: piece.slice(0, at).trim(), tokens });
  }
  return out;
}

function numberOr(text: string | null): number | null {
  if (text === null || text.trim() === '') return null;
  const n = Number(text);
  return Number.isFinite(n) ? n : null;
}
