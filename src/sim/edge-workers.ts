/**
 * Stand-in workers of a simulated edge and the connections to them: a fake of the connection pool whose workers
 * misbehave at random. Each worker records the requests that arrive and which of them it runs.
 */
import type { HeaderNames } from '../protocol/header-names.js';
import type { ConnectionPool, SendEvents, SendError, OutgoingRequest, PendingSend } from '../transport/opaque-http.js';
import type { Rng } from '../transport/rng.js';
import { eventText } from './edge-journal.js';
import type { Arrival, CallerRequest, EdgeJournal } from './edge-journal.js';
import type { Proc, World } from './world.js';

/** Deliberate faults of the connections, used to test that the checker detects them. */
export type EdgeSabotage = 'none' | 'resetToldAsNotConnected' | 'idsIgnored' | 'cutToldAsEnd';

/**
 * What the stand-in workers need. `proc` is the process of the proxy, in which responses are delivered. A request must
 * be in `journal.asked` before it arrives; otherwise it gets no response.
 */
export type EdgeWorkersOptions = {
  readonly world: World;
  readonly proc: Proc;
  readonly headerNames: HeaderNames;
  readonly rng: Rng;
  readonly journal: EdgeJournal;
  readonly sabotage: EdgeSabotage;
  /** Share of attempts at which the worker misbehaves. */
  readonly faultShare: number;
};

type ResponseHead = { readonly status: number; readonly headers: Readonly<Record<string, string>> };

/** A connection to a worker. `staleResponse` is an unread second response to an earlier request on it. */
type Connection = { readonly isNew: boolean; staleResponse: ResponseHead | null };

/** One request at a worker and its response. */
type Exchange = {
  readonly arrival: Arrival;
  readonly request: CallerRequest;
  readonly connection: Connection;
  readonly address: string;
  readonly events: SendEvents;
  readonly lastEvent: number;
  nextSendAt: number;
  isAborted: boolean;
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
const NETWORK_DELAY_MS = 3;
const PROCESSING_MS = 60;
const CHUNK_DELAY_MS = 15;
const UNREACHABLE_MS = 2_500;
const PROBE_SUCCESS_SHARE = 0.4;

/**
 * Creates the connection pool of the relay under test. There is a worker at every address; `open` and `totalDialled`
 * always return 0, and `forget` and `stop` have no effect.
 */
export function createEdgeWorkers(options: EdgeWorkersOptions): ConnectionPool {
  const { world, proc, headerNames, rng, journal } = options;
  const idle = new Map<string, Connection[]>();
  const unreachable = new Set<string>();
  let sealCount = 0;

  function chance(share: number): boolean {
    return rng.next() < share;
  }
  function jittered(ms: number): number {
    return ms * (0.5 + rng.next());
  }
  function runAtProxy(ms: number, callback: () => void): void {
    function deliver(): void {
      world.run(proc, callback);
    }
    world.at(ms, deliver);
  }
  function failSend(events: SendEvents, tag: SendError['tag']): void {
    events.failed({ tag: options.sabotage === 'resetToldAsNotConnected' && tag === 'reset' ? 'notConnected' : tag });
  }

  function send(sending: OutgoingRequest, events: SendEvents): PendingSend {
    const state = { isAborted: false, exchange: null as Exchange | null };
    const reused = !sending.requiresNewConnection && chance(0.7) ? idle.get(sending.address)?.pop() : undefined;
    if (reused) write(reused);
    else runAtProxy(jittered(CONNECT_MS), finishConnect);

    function finishConnect(): void {
      if (state.isAborted) return;
      if (chance(options.faultShare * 0.1) || unreachable.has(sending.address)) {
        failSend(events, 'notConnected');
        return;
      }
      events.connected?.(CONNECT_MS);
      write({ isNew: true, staleResponse: null });
    }
    function write(connection: Connection): void {
      if (chance(options.faultShare * 0.05)) {
        failSend(events, 'resetUnwritten');
        return;
      }
      const headers = sending.headers();
      if (headers === null) {
        returnToPool(sending.address, connection);
        events.failed({ tag: 'withheld' });
        return;
      }
      const isPartlyWritten = chance(options.faultShare * 0.05);
      function arrive(): void {
        if (!isPartlyWritten || chance(0.5))
          state.exchange = startExchange(sending, headers ?? [], connection, events, state.isAborted, isPartlyWritten);
      }
      world.at(jittered(NETWORK_DELAY_MS), arrive);
      function failPartlyWritten(): void {
        if (!state.isAborted) failSend(events, 'resetPartlyWritten');
      }
      if (isPartlyWritten) runAtProxy(jittered(CHUNK_DELAY_MS), failPartlyWritten);
    }
    function abort(): void {
      state.isAborted = true;
      if (state.exchange) state.exchange.isAborted = true;
    }
    return { abort };
  }

  function startExchange(
    sending: OutgoingRequest,
    headers: readonly string[],
    connection: Connection,
    events: SendEvents,
    isAborted: boolean,
    isPartlyWritten: boolean,
  ): Exchange | null {
    const headerValues = new Map<string, string>();
    for (let i = 0; i + 1 < headers.length; i += 2) headerValues.set(headers[i] as string, headers[i + 1] as string);
    const id = headerValues.get(headerNames.attemptId) ?? '';
    const remainingMs = Number(headerValues.get(headerNames.deadline));
    const arrival: Arrival = {
      id,
      worker: sending.address,
      at: world.now(),
      remainingMs,
      body: sending.body?.toString() ?? '',
      seal: null,
      status: 0,
      fullBody: '',
    };
    journal.arrivals.push(arrival);
    function hasId(candidate: CallerRequest): boolean {
      return candidate.id === id;
    }
    const request = journal.asked.find(hasId);
    if (!request || isAborted) return null;
    const lastEvent = Number(headerValues.get(headerNames.lastEvent) ?? 0);
    const exchange: Exchange = {
      arrival,
      request,
      connection,
      address: sending.address,
      events,
      lastEvent,
      nextSendAt: 0,
      isAborted: false,
    };
    if (isPartlyWritten) startRun(exchange);
    else
      behave(
        exchange,
        chance(options.faultShare) ? (BEHAVIOURS[Math.floor(rng.next() * BEHAVIOURS.length)] as Behaviour) : 'serves',
      );
    return exchange;
  }

  function startRun(exchange: Exchange): string {
    exchange.arrival.seal = `seal-${(sealCount += 1)}`;
    exchange.arrival.status = 200;
    exchange.arrival.fullBody = `${exchange.arrival.seal} answers ${exchange.arrival.id}`;
    return exchange.arrival.seal;
  }

  /**
   * Delivers the bytes of one exchange in order. Some bytes are delivered even after the proxy aborted the exchange,
   * like bytes that were already on the way.
   */
  function sendInOrder(exchange: Exchange, ms: number, callback: () => void): void {
    exchange.nextSendAt = Math.max(exchange.nextSendAt, world.now()) + jittered(ms);
    runAtProxy(exchange.nextSendAt - world.now(), callback);
  }
  function sendHead(exchange: Exchange, status: number, headers: Readonly<Record<string, string>>): void {
    function deliver(): void {
      function get(name: string): string | null {
        if (options.sabotage === 'idsIgnored' && name === headerNames.attemptId) return exchange.arrival.id;
        return headers[name] ?? null;
      }
      exchange.events.head(status, Object.entries(headers).flat(), get);
    }
    sendInOrder(exchange, PROCESSING_MS, deliver);
  }
  function sendData(exchange: Exchange, text: string): void {
    function deliver(): void {
      exchange.events.data(Buffer.from(text));
    }
    sendInOrder(exchange, CHUNK_DELAY_MS, deliver);
  }
  function sendFailure(exchange: Exchange, tag: 'reset' | 'garbled'): void {
    function deliver(): void {
      if (exchange.isAborted) return;
      if (options.sabotage === 'cutToldAsEnd') exchange.events.end();
      else failSend(exchange.events, tag);
    }
    sendInOrder(exchange, CHUNK_DELAY_MS, deliver);
  }
  function sendEnd(exchange: Exchange): void {
    function deliver(): void {
      if (exchange.isAborted) return;
      exchange.events.end();
      const staleResponse = chance(options.faultShare * 0.3) ? drawStaleResponse(exchange) : null;
      returnToPool(exchange.address, { isNew: false, staleResponse });
    }
    sendInOrder(exchange, CHUNK_DELAY_MS, deliver);
  }
  function returnToPool(address: string, connection: Connection): void {
    idle.set(address, [...(idle.get(address) ?? []), { isNew: false, staleResponse: connection.staleResponse }]);
  }
  /** Draws a second response to the previous request, which may be unread when the connection is reused. */
  function drawStaleResponse(exchange: Exchange): ResponseHead {
    const ownId = { [headerNames.attemptId]: exchange.arrival.id };
    if (chance(0.5)) return { status: 200, headers: { ...ownId, [headerNames.seal]: exchange.arrival.seal ?? 'none' } };
    return {
      status: chance(0.5) ? 421 : 503,
      headers: chance(0.3) ? { [headerNames.notRun]: '1' } : { ...ownId, [headerNames.notRun]: '1' },
    };
  }

  function behave(exchange: Exchange, behaviour: Behaviour): void {
    const ownId = { [headerNames.attemptId]: exchange.arrival.id };
    const notRunHeaders = { ...ownId, [headerNames.notRun]: '1' };
    if (exchange.connection.staleResponse) {
      startRun(exchange);
      sendHead(exchange, exchange.connection.staleResponse.status, exchange.connection.staleResponse.headers);
      sendData(exchange, 'the rest of another answer');
      sendEnd(exchange);
      return;
    }
    switch (behaviour) {
      case 'refuses':
        sendHead(exchange, chance(0.5) ? 503 : 429, notRunHeaders);
        return sendEnd(exchange);
      case 'refusesWithoutId':
        sendHead(exchange, 503, { [headerNames.notRun]: '1' });
        return sendEnd(exchange);
      case 'wrongWorker':
        sendHead(exchange, 421, ownId);
        return sendEnd(exchange);
      case 'resetBeforeRun':
        return sendFailure(exchange, 'reset');
      case 'foreignRefusal':
        startRun(exchange);
        sendHead(exchange, chance(0.5) ? 421 : 503, { ...notRunHeaders, [headerNames.attemptId]: 'another' });
        return sendEnd(exchange);
      case 'foreignAnswer':
        startRun(exchange);
        sendHead(exchange, 200, { [headerNames.attemptId]: 'another', [headerNames.seal]: 'seal-of-another' });
        sendData(exchange, 'an answer for another');
        return sendEnd(exchange);
      default:
        respondAfterRun(exchange, behaviour, { ...ownId, [headerNames.seal]: startRun(exchange) });
    }
  }

  function respondAfterRun(
    exchange: Exchange,
    behaviour: Behaviour,
    runHeaders: Readonly<Record<string, string>>,
  ): void {
    const ownId = { [headerNames.attemptId]: exchange.arrival.id };
    switch (behaviour) {
      case 'resetAfterRun':
        return sendFailure(exchange, 'reset');
      case 'garbage':
        return sendFailure(exchange, 'garbled');
      case 'silent':
        return becomeUnreachable(exchange);
      case 'encoded':
        sendHead(exchange, 200, { ...runHeaders, 'content-encoding': 'gzip' });
        return sendEnd(exchange);
      case 'withoutSeal':
        sendHead(exchange, 200, ownId);
        return sendEnd(exchange);
      case 'fails':
      case 'fails503':
        exchange.arrival.status = behaviour === 'fails' ? 500 : 503;
        sendHead(exchange, exchange.arrival.status, runHeaders);
        sendData(exchange, 'failed');
        return sendEnd(exchange);
      default:
        if (exchange.request.kind === 'stream' || exchange.request.kind === 'resumable')
          sendStream(exchange, behaviour, runHeaders);
        else sendResponse(exchange, behaviour, runHeaders);
    }
  }

  function sendResponse(exchange: Exchange, behaviour: Behaviour, runHeaders: Readonly<Record<string, string>>): void {
    const { fullBody } = exchange.arrival;
    sendHead(exchange, 200, runHeaders);
    sendData(exchange, fullBody.slice(0, 9));
    if (behaviour === 'cut' || behaviour === 'midEvent') return sendFailure(exchange, 'reset');
    if (behaviour === 'silentMidway') return becomeUnreachable(exchange);
    sendData(exchange, fullBody.slice(9));
    sendEnd(exchange);
  }

  function sendStream(exchange: Exchange, behaviour: Behaviour, runHeaders: Readonly<Record<string, string>>): void {
    const faultAt =
      exchange.lastEvent + 1 + Math.floor(rng.next() * Math.max(1, exchange.request.events - exchange.lastEvent));
    sendHead(exchange, 200, runHeaders);
    for (let count = exchange.lastEvent + 1; count <= exchange.request.events; count += 1) {
      const text = eventText(exchange.arrival.id, count);
      const middle = Math.floor(rng.next() * text.length);
      sendData(exchange, text.slice(0, middle));
      if (count === faultAt && behaviour === 'midEvent') return sendFailure(exchange, 'reset');
      sendData(exchange, text.slice(middle));
      if (count !== faultAt) continue;
      if (behaviour === 'cut') return sendFailure(exchange, 'reset');
      if (behaviour === 'repeatsEvent') sendData(exchange, text);
      if (behaviour === 'silentMidway') {
        becomeUnreachable(exchange);
        exchange.nextSendAt = world.now() + UNREACHABLE_MS;
      }
    }
    sendEnd(exchange);
  }

  /** Makes the worker unreachable for a while; the response of a stream continues after that. */
  function becomeUnreachable(exchange: Exchange): void {
    unreachable.add(exchange.address);
    function becomeReachable(): void {
      unreachable.delete(exchange.address);
    }
    world.at(jittered(UNREACHABLE_MS), becomeReachable);
    if (exchange.request.kind === 'once' || exchange.request.kind === 'repeatable') return;
    exchange.nextSendAt = world.now() + UNREACHABLE_MS;
  }

  function check(address: string, waitMs: number, done: (reached: boolean) => void): void {
    function finishCheck(): void {
      done(!unreachable.has(address) || chance(PROBE_SUCCESS_SHARE * 0.2));
    }
    runAtProxy(unreachable.has(address) ? waitMs : jittered(CONNECT_MS), finishCheck);
  }
  function idleCount(address: string): number {
    return idle.get(address)?.length ?? 0;
  }
  function zero(): number {
    return 0;
  }
  function noop(): void {}
  return { send, check, open: zero, idle: idleCount, forget: noop, totalDialled: zero, stop: noop };
}
