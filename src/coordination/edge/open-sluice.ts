import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { MessageOf } from '../../protocol/messages.js';
import type { NodeInfo } from '../../state/node-info.js';
import type { Report } from '../../state/report.js';
import type { OpenWords } from '../../protocol/open-words.js';
import { createDispatchBudget } from '../../state/dispatch-budget.js';
import { createDoorTable } from '../../state/door-table.js';
import type { DoorTable } from '../../state/door-table.js';
import type { EdgeTuning } from '../../state/edge-tuning.js';
import { createWorkerBook } from '../../state/worker-book.js';
import { every, pause } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { LogRoot } from '../../transport/log.js';
import type { OpenDoor, Outlets } from '../../transport/open-http.js';
import type { Rng } from '../../transport/rng.js';
import type { Address, Wire, WireFault } from '../../transport/wire.js';
import { createFollower } from '../ledger/follower.js';
import { nextLife } from '../ledger/life.js';
import { createMembership } from '../members/membership.js';
import { followMovedHeads } from '../members/moved-heads.js';
import { createPeers } from '../members/peers.js';
import type { Peers } from '../members/peers.js';
import type { ListFeed } from './list-feed.js';
import { createRelay } from './relay.js';
import type { RelayTally } from './relay.js';

export type OpenSluiceIdentity = {
  readonly name: string;
  readonly run: string;
  readonly zone: string;
  readonly region: string;
  readonly listen: Address;
  readonly front: Address;
  readonly seeds: readonly Address[];
};

export type OpenSluiceDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly wire: Wire;
  readonly door: OpenDoor;
  readonly outlets: Outlets;
  readonly logs: LogRoot;
  readonly words: OpenWords;
  readonly tuning: EdgeTuning;
  readonly feed: (peers: Peers, headgates: () => readonly Address[]) => ListFeed;
};

export type OpenSluice = {
  readonly front: Address;
  readonly ready: () => boolean;
  readonly tally: () => RelayTally;
  readonly drain: (longestMs: number) => Promise<void>;
  readonly stop: () => Promise<void>;
};

const REPORT_MS = 500;
const USAGE_MS = 300;
const LOOK_MS = 250;
const LOOK_OPENING_MS = 20;
const USAGE_KEPT_MS = 800;
/** A proxy that was told to stop takes all that comes for so long, and then only what will end before it must. */
const INTAKE_MS = 2_900;
/** What is taken late has to end by so much before the process does. */
const END_SLACK_MS = 300;
/** For so long of that it may still be named where no other is left; an answer that names it is used for a second. */
const NAMED_MS = INTAKE_MS - 1_000;
const LINGER_MS = 3_000;
const LAST_CALL_MS = 1_500;

export async function startOpenSluice(
  id: OpenSluiceIdentity,
  deps: OpenSluiceDeps,
): Promise<Result<OpenSluice, WireFault>> {
  const { clock, rng, logs, tuning } = deps;
  const log = logs.part('sluice');
  const peers = createPeers(deps.wire, clock, logs.part('peers'));
  const life = await nextLife(null, log);
  const follower = await createFollower(id, id.seeds, peers, clock, null, logs.part('follow'));
  const opened = await peers.open(id.listen);
  if (!opened.ok) return opened;
  const node: NodeInfo = {
    name: id.name,
    run: id.run,
    zone: id.zone,
    region: id.region,
    http: id.front,
    role: 'sluice',
    incarnation: life,
    address: id.listen,
    status: 'alive',
  };
  const membership = createMembership(node, follower.headgates, peers, clock, rng, logs.part('members'));
  followMovedHeads(membership, follower.belief, peers);
  const book = createWorkerBook({ name: id.name, zone: id.zone, region: id.region, held: deps.outlets.idle }, tuning);
  const budget = createDispatchBudget({
    ratio: tuning.retryRatio,
    slack: tuning.retrySlack,
    windowMs: tuning.retryWindowMs,
  });
  const feed = deps.feed(peers, follower.headgates);
  let table: DoorTable | null = null;
  let tableEpoch = -1;
  let closing = false;
  let mayBeNamed = true;
  let endsAt: number | null = null;
  let intakeUntil = 0;

  function current(): DoorTable | null {
    return follower.fresh() && feed.asOf() !== null ? table : null;
  }
  function isClosing(): boolean {
    return closing;
  }
  function lastEndAt(): number | null {
    return endsAt !== null && clock.mono() >= intakeUntil ? endsAt - END_SLACK_MS : null;
  }
  function ready(): boolean {
    return !closing && current() !== null;
  }
  const relay = createRelay({
    words: deps.words,
    tuning,
    book,
    budget,
    outlets: deps.outlets,
    clock,
    rng,
    log: logs.part('relay'),
    table: current,
    closing: isClosing,
    lastEndAt,
  });

  function onMoved(): void {
    const b = follower.belief();
    const serving = b.configuration.serving;
    if (serving && b.epoch !== tableEpoch) {
      tableEpoch = b.epoch;
      table = createDoorTable(serving);
      limit();
    }
    function preemptive(model: string): readonly string[] {
      return b.zoneSets[model]?.preemptive ?? [];
    }
    function coldMs(model: string): number {
      return (table?.traits(model)?.coldS ?? 0) * 1_000;
    }
    book.takeZones(b.evacuated, preemptive, clock.mono(), coldMs);
    book.sharers(b.sluices);
    budget.sharers(Object.keys(b.sluices).length);
    relay.wake();
  }
  follower.events.on('moved', onMoved);
  function onList(): void {
    book.takeList(feed.entries(), clock.mono());
    relay.wake();
  }
  feed.events.on('changed', onList);
  onMoved();

  const door = await deps.door.open(id.front, relay.handle);
  if (!door.ok) {
    await peers.close();
    return err(door.fault);
  }
  const front = door.value;
  function limit(): void {
    const limits = table?.serving.limits;
    if (limits) front.limit({ headerMs: limits.headerMs, idleMs: limits.idleMs });
  }
  limit();

  let count = 0;
  let incarnation = life;
  function onOutlived(m: MessageOf<'outlived'>): null {
    if (m.reporter === id.name && m.incarnation >= incarnation) incarnation = m.incarnation + 1;
    return null;
  }
  peers.on('outlived', onOutlived);
  function report(): void {
    const t = relay.tally();
    count += 1;
    const fitness: Report['fitness'] = {};
    const now = clock.mono();
    for (const row of book.rows())
      if (row.present && row.fails >= 3 && row.badUntil > now) fitness[row.entry.id] = 'unfit';
    const told: Report = {
      reporter: id.name,
      run: id.run,
      incarnation,
      count,
      requests: t.requests,
      shed: t.shed,
      dispatched: t.dispatched,
      retried: t.retried,
      slot: follower.belief().slot,
      fitness,
      http: id.front,
      ready: ready(),
      zone: id.zone,
      region: id.region,
      ...(closing && mayBeNamed ? { draining: true } : {}),
    };
    follower.tellAll({ kind: 'reports', reports: [told] });
  }
  const reporting = every(clock, REPORT_MS, report);
  let told = 0;
  let toldAt = 0;
  let lastTold = '';
  let quiet = true;
  function tellUsage(): void {
    const rows = book.usage(clock.mono());
    const nothing = Object.keys(rows).length === 0;
    const text = JSON.stringify(rows);
    const now = clock.mono();
    if ((nothing && quiet) || (text === lastTold && now - toldAt < USAGE_KEPT_MS)) return;
    quiet = nothing;
    lastTold = text;
    toldAt = now;
    told += 1;
    follower.tellAll({ kind: 'usage', told: { name: id.name, run: id.run, count: told, rows } });
  }
  const telling = every(clock, USAGE_MS, tellUsage);
  function onCrowd(m: MessageOf<'crowd'>): null {
    book.takeCrowd(m.rows, clock.mono());
    relay.wake();
    return null;
  }
  peers.on('crowd', onCrowd);
  let wasReady = false;
  function look(): void {
    relay.turn();
    const now = ready();
    if (now !== wasReady) {
      log.info(now ? 'Serves.' : 'Serves no more.');
      wasReady = now;
      report();
    }
  }
  let looking = clock.wakeup(LOOK_OPENING_MS, lookAgain);
  function lookAgain(): void {
    look();
    looking = clock.wakeup(wasReady ? LOOK_MS : LOOK_OPENING_MS, lookAgain);
  }
  function stopLooking(): void {
    looking.cancel();
  }
  log.info(`Opaque door at ${id.front}, peers at ${opened.value.address}.`);

  async function drain(longestMs: number): Promise<void> {
    const from = clock.mono();
    closing = true;
    endsAt = from + longestMs;
    intakeUntil = from + INTAKE_MS;
    look();
    report();
    membership.leave();
    for (;;) {
      const passed = clock.mono() - from;
      if (passed >= longestMs) break;
      if (passed >= LINGER_MS && relay.tally().open === 0) break;
      if (passed >= NAMED_MS && mayBeNamed) {
        mayBeNamed = false;
        report();
      }
      if (passed >= longestMs - LAST_CALL_MS) front.stopListening();
      await pause(clock, 50);
    }
  }
  async function stop(): Promise<void> {
    reporting.cancel();
    telling.cancel();
    stopLooking();
    feed.stop();
    membership.stop();
    follower.stop();
    deps.outlets.stop();
    await front.close();
    await peers.close();
    log.info('Stopped.');
  }
  return ok({ front: front.address, ready, tally: relay.tally, drain, stop });
}
