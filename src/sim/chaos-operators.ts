/**
 * The operators of a chaos run: they read the configuration, change it on what they read, race each other, give up
 * waiting and send again to another controller, evacuate zones and hand them back. All of their calls go into a history
 * that is judged for linearizability; what the watchers must know of an answer is told to them.
 */
import type { HttpAnswer, HttpError } from '../transport/http.js';
import type { Result } from '../base/result.js';
import { randomInt, createRng } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import { createCallHistory } from './call-history.js';
import type { CallHistory } from './call-history.js';
import type { ChangeAnswer } from './operator-calls.js';
import type { SimFleet } from './sim-fleet.js';
import type { Watchers } from './watchers.js';

export type Operators = {
  readonly amend: () => Promise<void>;
  readonly crowd: () => void;
  readonly evacuate: (zone: string, ms: number) => void;
  readonly firstAccepted: (until: number) => () => number | null;
  readonly handAllBack: () => Promise<boolean>;
  readonly evacuations: () => Readonly<Record<string, boolean>>;
  readonly history: CallHistory;
};

/** How often a change is sent while it has no clear answer. */
const MAX_SENDINGS = 4;
const RESEND_PAUSE_MS = 300;
/** Share of sendings whose answer the operator doesn't wait for, and how long it waits at most then. */
const IMPATIENT_SHARE = 0.15;
const IMPATIENT_MS = 60;
/** Share of confirmed changes that are sent once more. */
const REPEATED_SHARE = 0.15;

export function versionOf(httpAnswer: HttpAnswer): number {
  const second = httpAnswer.body as { readonly version?: unknown } | null;
  return typeof second?.version === 'number' ? second.version : -1;
}
export function configurationOf(httpAnswer: HttpAnswer): unknown {
  return (httpAnswer.body as { readonly configuration?: unknown } | null)?.configuration ?? null;
}
/** What the operators change in a configuration, as the text that stands for its content in their history. */
export function contentOf(httpAnswer: HttpAnswer): string {
  const configuration = configurationOf(httpAnswer) as { readonly deployment?: { readonly lineLimit?: number } } | null;
  return String(configuration?.deployment?.lineLimit ?? 'none');
}

function answerOf(got: Result<HttpAnswer, HttpError>): ChangeAnswer {
  if (!got.ok) return 'unclear';
  const { status } = got.value;
  if (status === 200 || status === 202) return 'confirmed';
  if (status === 409) return 'stale';
  return status === 400 || status === 422 ? 'invalid' : 'unclear';
}

type Change = { readonly request: string; readonly base: number; readonly value: number };

type ChangeSender = {
  /** One sending of a change to any controller; true if it is confirmed. */
  readonly sendOnce: (change: Change) => Promise<ChangeAnswer>;
  /** Sends until the answer is clear, and at times once more. */
  readonly send: (change: Change) => Promise<void>;
};

function createChangeSender(
  fleet: SimFleet,
  watchers: Watchers,
  history: CallHistory,
  anyController: () => number,
  rng: Rng,
): ChangeSender {
  function tellWatchers({ base, value }: Change, answer: ChangeAnswer, reply: HttpAnswer): void {
    if (answer === 'stale' || answer === 'invalid') watchers.refused(value);
    if (answer !== 'confirmed') return;
    const version = versionOf(reply);
    watchers.won(base, version);
    if (reply.status === 200) watchers.acknowledged(version, value);
    else watchers.agreed(version, value);
  }
  async function sendOnce(change: Change): Promise<ChangeAnswer> {
    const { request, base, value } = change;
    const at = anyController();
    const body = { base, changes: [{ path: ['deployment', 'lineLimit'], value }], operation: request };
    const limitMs = rng.next() < IMPATIENT_SHARE ? 1 + randomInt(rng, IMPATIENT_MS) : undefined;
    const noteAnswer = history.changeSent({
      node: `controller ${at + 1}`,
      request,
      base,
      number: null,
      content: String(value),
    });
    const reply = await fleet.operator(at, 'POST', '/v1/configuration/amend', body, limitMs);
    const answer = answerOf(reply);
    if (answer === 'unclear' || !reply.ok) return answer;
    noteAnswer(answer, answer === 'confirmed' ? versionOf(reply.value) : undefined);
    tellWatchers(change, answer, reply.value);
    return answer;
  }
  function pause(ms: number): Promise<void> {
    function later(resolve: () => void): void {
      fleet.world.at(ms, resolve);
    }
    return new Promise(later);
  }
  async function send(change: Change): Promise<void> {
    let answer: ChangeAnswer = 'unclear';
    for (let sending = 1; sending <= MAX_SENDINGS && answer === 'unclear'; sending += 1) {
      answer = await sendOnce(change);
      if (answer === 'unclear') await pause(RESEND_PAUSE_MS * sending * (0.5 + rng.next()));
    }
    if (answer !== 'confirmed' || rng.next() >= REPEATED_SHARE) return;
    await pause(randomInt(rng, 5_000));
    await sendOnce(change);
  }
  return { sendOnce, send };
}

/** Call it once the fleet has its first configuration. */
export async function createOperators(fleet: SimFleet, watchers: Watchers, seed: number): Promise<Operators> {
  const { world } = fleet;
  const rng = createRng(seed * 17 + 3);
  const known: Record<string, boolean> = {};
  const inDoubt = new Map<string, number>();
  let serial = 100;
  const first = await fleet.operator(0, 'GET', '/v1/configuration');
  const initial = first.ok
    ? { number: versionOf(first.value), content: contentOf(first.value) }
    : { number: -1, content: 'none' };
  const history = createCallHistory(world.now, initial);
  const sender = createChangeSender(fleet, watchers, history, anyController, createRng(seed * 13 + 5));

  function anyController(): number {
    return randomInt(rng, fleet.controllers.length);
  }
  function changeTo(base: number, value: number): Change {
    return { request: `change-${value}`, base, value };
  }
  async function newestBase(): Promise<number | null> {
    const floor = watchers.newest();
    const at = anyController();
    const noteRead = history.readSent(`controller ${at + 1}`);
    const read = await fleet.operator(at, 'GET', '/v1/configuration');
    if (!read.ok || read.value.status !== 200) return null;
    const base = versionOf(read.value);
    noteRead(base, contentOf(read.value));
    watchers.read(`controller ${at + 1}`, floor, base, configurationOf(read.value));
    return base;
  }
  async function amend(): Promise<void> {
    const base = await newestBase();
    serial += 1;
    const value = serial;
    if (base !== null) await sender.send(changeTo(base, value));
  }
  async function manyAt(): Promise<void> {
    const base = await newestBase();
    if (base === null) return;
    for (let i = 0; i < 6; i += 1) {
      serial += 1;
      void sender.send(changeTo(i === 5 ? base - 1 : base, i % 2 === 1 ? -serial : serial));
    }
  }
  function crowd(): void {
    void manyAt();
  }
  function evacuate(zone: string, ms: number): void {
    void act(zone, 'evacuate');
    function back(): void {
      watchers.restored(zone);
      void act(zone, 'restore');
    }
    world.at(ms, back);
  }
  async function act(zone: string, what: 'evacuate' | 'restore'): Promise<void> {
    delete known[zone];
    inDoubt.set(zone, (inDoubt.get(zone) ?? 0) + 1);
    const got = await fleet.operator(anyController(), 'POST', `/v1/zones/${zone}/${what}`, {});
    if (!got.ok || got.value.status === 503) return;
    inDoubt.set(zone, (inDoubt.get(zone) ?? 1) - 1);
    if ((inDoubt.get(zone) ?? 0) > 0) return;
    const { status } = got.value;
    if (status === 200 && what === 'evacuate') watchers.evacuated(zone);
    if (status === 200 || status === 202) known[zone] = what === 'evacuate';
  }
  function firstAccepted(until: number): () => number | null {
    let at: number | null = null;
    async function again(): Promise<void> {
      while (at === null && world.now() < until) {
        const base = await newestBase();
        serial += 1;
        if (base !== null && (await sender.sendOnce(changeTo(base, serial))) === 'confirmed') at = world.now();
        else await new Promise<void>(nextTry);
      }
    }
    function nextTry(resolve: () => void): void {
      world.at(200, resolve);
    }
    function told(): number | null {
      return at;
    }
    void again();
    return told;
  }
  function evacuations(): Readonly<Record<string, boolean>> {
    return known;
  }
  async function handAllBack(): Promise<boolean> {
    const read = await fleet.operator(0, 'GET', '/v1/configuration');
    const zones = read.ok ? (read.value.body as { readonly evacuated?: readonly string[] }).evacuated : undefined;
    for (const zone of zones ?? []) {
      watchers.restored(zone);
      inDoubt.delete(zone);
      await act(zone, 'restore');
      if (known[zone] !== false) return false;
    }
    return zones !== undefined;
  }
  return { amend, crowd, evacuate, firstAccepted, handAllBack, evacuations, history };
}
