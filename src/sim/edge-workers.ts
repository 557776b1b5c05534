/**
 * Stand-in workers of a simulated edge, and the connections to them: a twin of the connection pool whose
 * workers misbehave as they are told by chance. Each notes what came to it and what it ran.
 */
import type { HeaderNames } from '../protocol/header-names.js';
import type { ConnectionPool, SendEvents, SendError, OutgoingRequest, PendingSend } from '../transport/opaque-http.js';
import type { Rng } from '../transport/rng.js';
import { eventText } from './edge-journal.js';
import type { Arrival, Asked, EdgeJournal } from './edge-journal.js';
import type { Proc, World } from './world.js';

/** Deliberate breaks of the connections, by which the checker is seen to work. */
export type EdgeSabotage = 'none' | 'resetToldAsNotConnected' | 'idsIgnored' | 'cutToldAsEnd';

export type EdgeWorkersOptions = {
  readonly world: World;
  readonly proc: Proc;
  readonly headerNames: HeaderNames;
  readonly rng: Rng;
  readonly journal: EdgeJournal;
  readonly sabotage: EdgeSabotage;
  /** Share of attempts that don't end as they should. */
  readonly trouble: number;
};

type Head = { readonly status: number; readonly headers: Readonly<Record<string, string>> };

/** One connection to a worker; `surplus` is an answer of an earlier request that lies unread in it. */
type Connection = { readonly fresh: boolean; surplus: Head | null };

/** What one request meets at a worker. */
type Visit = {
  readonly arrival: Arrival;
  readonly asked: Asked;
  readonly connection: Connection;
  readonly address: string;
  readonly events: SendEvents;
  readonly from: number;
  at: number;
  left: boolean;
};

const BEHAVIOURS = [
  'refuses',
  'refusesWithoutId',
  'wrongWorker',
  'foreignRefusal',
  'foreignAnswer',
  'resetBeforeRun',
  'resetAfterRun',
  'garbage',
  'fails',
  'fails503',
  'cut',
  'encoded',
  'withoutSeal',
  'silent',
  'silentMidway',
  'repeatsEvent',
  'midEvent',
  'earlyAnswer',
] as const;
type Behaviour = (typeof BEHAVIOURS)[number] | 'serves';

const CONNECT_MS = 4;
const WAY_MS = 3;
const WORK_MS = 60;
const PAUSE_MS = 15;
const REVIVES_AFTER_MS = 2_500;
const REACHED_SHARE = 0.4;

export function createEdgeWorkers(options: EdgeWorkersOptions): ConnectionPool {
  const { world, proc, headerNames, rng, journal } = options;
  const idle = new Map<string, Connection[]>();
  const dark = new Set<string>();
  let seals = 0;

  function chance(share: number): boolean {
    return rng.next() < share;
  }
  function soon(ms: number): number {
    return ms * (0.5 + rng.next());
  }
  function toProxy(ms: number, callback: () => void): void {
    function deliver(): void {
      world.run(proc, callback);
    }
    world.at(ms, deliver);
  }
  function fault(events: SendEvents, tag: SendError['tag']): void {
    events.failed({ tag: options.sabotage === 'resetToldAsNotConnected' && tag === 'reset' ? 'notConnected' : tag });
  }

  function send(what: OutgoingRequest, events: SendEvents): PendingSend {
    const sending = { over: false, visit: null as Visit | null };
    const reused = !what.requiresNewConnection && chance(0.7) ? idle.get(what.address)?.pop() : undefined;
    if (reused) write(reused);
    else toProxy(soon(CONNECT_MS), dialled);

    function dialled(): void {
      if (sending.over) return;
      if (chance(options.trouble * 0.1) || dark.has(what.address)) {
        fault(events, 'notConnected');
        return;
      }
      events.connected?.(CONNECT_MS);
      write({ fresh: true, surplus: null });
    }
    function write(connection: Connection): void {
      if (chance(options.trouble * 0.05)) {
        fault(events, 'resetUnwritten');
        return;
      }
      const headers = what.headers();
      if (headers === null) {
        rest(what.address, connection);
        events.failed({ tag: 'withheld' });
        return;
      }
      const partly = chance(options.trouble * 0.05);
      function arrive(): void {
        if (!partly || chance(0.5))
          sending.visit = visit(what, headers ?? [], connection, events, sending.over, partly);
      }
      world.at(soon(WAY_MS), arrive);
      function reset(): void {
        if (!sending.over) fault(events, 'resetPartlyWritten');
      }
      if (partly) toProxy(soon(PAUSE_MS), reset);
    }
    function cut(): void {
      sending.over = true;
      if (sending.visit) sending.visit.left = true;
    }
    return { abort: cut };
  }

  function visit(
    what: OutgoingRequest,
    headers: readonly string[],
    connection: Connection,
    events: SendEvents,
    left: boolean,
    partly: boolean,
  ): Visit | null {
    const given = new Map<string, string>();
    for (let i = 0; i + 1 < headers.length; i += 2) given.set(headers[i] as string, headers[i + 1] as string);
    const id = given.get(headerNames.attemptId) ?? '';
    const handedMs = Number(given.get(headerNames.deadline));
    const arrival: Arrival = {
      id,
      worker: what.address,
      at: world.now(),
      handedMs,
      body: what.body?.toString() ?? '',
      seal: null,
      status: 0,
      whole: '',
    };
    journal.arrivals.push(arrival);
    function isIt(one: Asked): boolean {
      return one.id === id;
    }
    const asked = journal.asked.find(isIt);
    if (!asked || left) return null;
    const from = Number(given.get(headerNames.lastEvent) ?? 0);
    const made: Visit = { arrival, asked, connection, address: what.address, events, from, at: 0, left: false };
    if (partly) begin(made);
    else
      behave(
        made,
        chance(options.trouble) ? (BEHAVIOURS[Math.floor(rng.next() * BEHAVIOURS.length)] as Behaviour) : 'serves',
      );
    return made;
  }

  function begin(visit: Visit): string {
    visit.arrival.seal = `seal-${(seals += 1)}`;
    visit.arrival.status = 200;
    visit.arrival.whole = `${visit.arrival.seal} answers ${visit.arrival.id}`;
    return visit.arrival.seal;
  }

  /** Bytes of one visit come in order. A worker that was left speaks on now and then, as its bytes were under way. */
  function say(visit: Visit, ms: number, callback: () => void): void {
    visit.at = Math.max(visit.at, world.now()) + soon(ms);
    toProxy(visit.at - world.now(), callback);
  }
  function head(visit: Visit, status: number, headers: Readonly<Record<string, string>>): void {
    function tell(): void {
      function get(name: string): string | null {
        if (options.sabotage === 'idsIgnored' && name === headerNames.attemptId) return visit.arrival.id;
        return headers[name] ?? null;
      }
      visit.events.head(status, Object.entries(headers).flat(), get);
    }
    say(visit, WORK_MS, tell);
  }
  function data(visit: Visit, text: string): void {
    function tell(): void {
      visit.events.data(Buffer.from(text));
    }
    say(visit, PAUSE_MS, tell);
  }
  function fail(visit: Visit, tag: 'reset' | 'garbled'): void {
    function tell(): void {
      if (visit.left) return;
      if (options.sabotage === 'cutToldAsEnd') visit.events.end();
      else fault(visit.events, tag);
    }
    say(visit, PAUSE_MS, tell);
  }
  function end(visit: Visit): void {
    function tell(): void {
      if (visit.left) return;
      visit.events.end();
      const surplus = chance(options.trouble * 0.3) ? surplusOf(visit) : null;
      rest(visit.address, { fresh: false, surplus });
    }
    say(visit, PAUSE_MS, tell);
  }
  function rest(address: string, connection: Connection): void {
    idle.set(address, [...(idle.get(address) ?? []), { fresh: false, surplus: connection.surplus }]);
  }
  /** A second answer to the request before, as it may lie unread when the connection is taken again. */
  function surplusOf(visit: Visit): Head {
    const mine = { [headerNames.attemptId]: visit.arrival.id };
    if (chance(0.5)) return { status: 200, headers: { ...mine, [headerNames.seal]: visit.arrival.seal ?? 'none' } };
    return {
      status: chance(0.5) ? 421 : 503,
      headers: chance(0.3) ? { [headerNames.notRun]: '1' } : { ...mine, [headerNames.notRun]: '1' },
    };
  }

  function behave(visit: Visit, behaviour: Behaviour): void {
    const mine = { [headerNames.attemptId]: visit.arrival.id };
    const refusal = { ...mine, [headerNames.notRun]: '1' };
    if (visit.connection.surplus) {
      begin(visit);
      head(visit, visit.connection.surplus.status, visit.connection.surplus.headers);
      data(visit, 'the rest of another answer');
      end(visit);
      return;
    }
    switch (behaviour) {
      case 'refuses':
        head(visit, chance(0.5) ? 503 : 429, refusal);
        return end(visit);
      case 'refusesWithoutId':
        head(visit, 503, { [headerNames.notRun]: '1' });
        return end(visit);
      case 'wrongWorker':
        head(visit, 421, mine);
        return end(visit);
      case 'resetBeforeRun':
        return fail(visit, 'reset');
      case 'foreignRefusal':
        begin(visit);
        head(visit, chance(0.5) ? 421 : 503, { ...refusal, [headerNames.attemptId]: 'another' });
        return end(visit);
      case 'foreignAnswer':
        begin(visit);
        head(visit, 200, { [headerNames.attemptId]: 'another', [headerNames.seal]: 'seal-of-another' });
        data(visit, 'an answer for another');
        return end(visit);
      default:
        runAs(visit, behaviour, { ...mine, [headerNames.seal]: begin(visit) });
    }
  }

  function runAs(visit: Visit, behaviour: Behaviour, sealed: Readonly<Record<string, string>>): void {
    const mine = { [headerNames.attemptId]: visit.arrival.id };
    switch (behaviour) {
      case 'resetAfterRun':
        return fail(visit, 'reset');
      case 'garbage':
        return fail(visit, 'garbled');
      case 'silent':
        return goDark(visit);
      case 'encoded':
        head(visit, 200, { ...sealed, 'content-encoding': 'gzip' });
        return end(visit);
      case 'withoutSeal':
        head(visit, 200, mine);
        return end(visit);
      case 'fails':
      case 'fails503':
        visit.arrival.status = behaviour === 'fails' ? 500 : 503;
        head(visit, visit.arrival.status, sealed);
        data(visit, 'failed');
        return end(visit);
      default:
        if (visit.asked.kind === 'stream' || visit.asked.kind === 'resumable') stream(visit, behaviour, sealed);
        else answer(visit, behaviour, sealed);
    }
  }

  function answer(visit: Visit, behaviour: Behaviour, sealed: Readonly<Record<string, string>>): void {
    const { whole } = visit.arrival;
    head(visit, 200, sealed);
    data(visit, whole.slice(0, 9));
    if (behaviour === 'cut' || behaviour === 'midEvent') return fail(visit, 'reset');
    if (behaviour === 'silentMidway') return goDark(visit);
    data(visit, whole.slice(9));
    end(visit);
  }

  function stream(visit: Visit, behaviour: Behaviour, sealed: Readonly<Record<string, string>>): void {
    const breakAt = visit.from + 1 + Math.floor(rng.next() * Math.max(1, visit.asked.events - visit.from));
    head(visit, 200, sealed);
    for (let count = visit.from + 1; count <= visit.asked.events; count += 1) {
      const text = eventText(visit.arrival.id, count);
      const middle = Math.floor(rng.next() * text.length);
      data(visit, text.slice(0, middle));
      if (count === breakAt && behaviour === 'midEvent') return fail(visit, 'reset');
      data(visit, text.slice(middle));
      if (count !== breakAt) continue;
      if (behaviour === 'cut') return fail(visit, 'reset');
      if (behaviour === 'repeatsEvent') data(visit, text);
      if (behaviour === 'silentMidway') {
        goDark(visit);
        visit.at = world.now() + REVIVES_AFTER_MS;
      }
    }
    end(visit);
  }

  /** The worker can't be reached for a while; its answer comes when it can. */
  function goDark(visit: Visit): void {
    dark.add(visit.address);
    function light(): void {
      dark.delete(visit.address);
    }
    world.at(soon(REVIVES_AFTER_MS), light);
    if (visit.asked.kind === 'once' || visit.asked.kind === 'repeatable') return;
    visit.at = world.now() + REVIVES_AFTER_MS;
  }

  function check(address: string, waitMs: number, done: (reached: boolean) => void): void {
    function told(): void {
      done(!dark.has(address) || chance(REACHED_SHARE * 0.2));
    }
    toProxy(dark.has(address) ? waitMs : soon(CONNECT_MS), told);
  }
  function idleAt(address: string): number {
    return idle.get(address)?.length ?? 0;
  }
  function none(): number {
    return 0;
  }
  function nothing(): void {}
  return { send, check, open: none, idle: idleAt, forget: nothing, totalDialled: none, stop: nothing };
}
