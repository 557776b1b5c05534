/**
 * Which nodes are there: probes one node in turn, directly and through helpers, suspects and forgets, and passes news on
 * with probes (after SWIM, Das, Gupta and Motivala, 2002). All nodes run one; it decides nothing about the ledger.
 */
import { createEvents } from '../../base/events.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { NodeInfo, NodeNews } from '../../state/node-info.js';
import { briefNews, isUp, mergeNode, sumOf, wholeNews } from '../../state/members.js';
import type { Members } from '../../state/members.js';
import { every } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { shuffled } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from './peers.js';

export type MembershipEvents = { readonly changed: { readonly node: NodeInfo } };

export type Membership = {
  readonly all: () => readonly NodeInfo[];
  readonly get: (name: string) => NodeInfo | null;
  readonly events: {
    readonly on: <K extends keyof MembershipEvents>(name: K, fn: (e: MembershipEvents[K]) => void) => void;
  };
  readonly leave: () => void;
  readonly stop: () => void;
};

const PERIOD_MS = 500;
const DIRECT_MS = 250;
const INDIRECT_MS = 600;
const HELPERS = 3;
const SUSPECT_MS = 2_500;
const NEWS_BYTES = 1_000;
const TIMES_TOLD = 4;
const FAR_EACH = 4;
const SEED_EACH = 8;
const GONE_EACH = 3;
const COMPARE_MS = 10_000;
const FORGET_MS = 600_000;

export function createMembership(
  self: NodeInfo,
  contacts: () => Iterable<Address>,
  peers: Peers,
  clock: Clock,
  rng: Rng,
  log: Log,
): Membership {
  const events = createEvents<MembershipEvents>();
  const members: Members = new Map([[self.name, self]]);
  const shares = new Map<string, number>();
  const suspectAt = new Map<string, number>();
  const goneAt = new Map<string, number>();
  const rounds: Record<'near' | 'far', string[]> = { near: [], far: [] };
  let turns = 0;
  let introduced = false;
  let sum: number | null = null;
  let comparedAt = clock.mono();

  function own(): NodeInfo {
    return members.get(self.name) ?? self;
  }

  function take(news: readonly (NodeInfo | NodeNews)[], all = false): void {
    for (const told of news) {
      const n = wholeNews(members, self.name, told);
      if (!n || (!isUp(n) && !members.has(n.name) && !(all && n.status === 'dead'))) continue;
      const step = mergeNode(members, self.name, n);
      if (step.refuted) log.warn(`Was held for ${n.status}; refutes it.`);
      if (!step.changed) continue;
      noteStatus(members.get(n.name) as NodeInfo, !all);
    }
  }

  function noteStatus(node: NodeInfo, spread = true): void {
    sum = null;
    if (spread) shares.set(node.name, 0);
    if (node.status === 'suspect') {
      if (!suspectAt.has(node.name)) suspectAt.set(node.name, clock.mono());
    } else suspectAt.delete(node.name);
    if (isUp(node)) goneAt.delete(node.name);
    else goneAt.set(node.name, clock.mono());
    if (node.name !== self.name) log.info(`${node.name} is ${node.status}.`);
    events.emit('changed', { node });
  }

  function news(): (NodeInfo | NodeNews)[] {
    const names = [...shares.keys()].sort(fewestFirst);
    const out: (NodeInfo | NodeNews)[] = [];
    let bytes = 0;
    for (const name of names) {
      const node = members.get(name);
      const told = node?.status === 'alive' ? node : node && briefNews(node);
      bytes += told ? JSON.stringify(told).length : 0;
      if (bytes > NEWS_BYTES) break;
      const n = (shares.get(name) ?? 0) + 1;
      if (n >= TIMES_TOLD) shares.delete(name);
      else shares.set(name, n);
      if (told) out.push(told);
    }
    return out;
    function fewestFirst(a: string, b: string): number {
      return (shares.get(a) ?? 0) - (shares.get(b) ?? 0);
    }
  }

  function everything(): NodeInfo[] {
    return [...members.values()];
  }

  function onProbe(m: MessageOf<'probe'>): Message {
    take(m.news, m.all === true && m.news.length > 1);
    take([m.from]);
    const held = members.get(m.from.name);
    const stranger = held?.run !== m.from.run;
    const out = m.all === true ? everything() : news();
    if (held && (held.status !== 'alive' || stranger)) out.push(held);
    if (m.all !== true && (stranger || m.news.some(introduces))) out.push(own());
    return {
      kind: 'probeAnswer',
      reached: true,
      from: briefNews(own()),
      sum: ownSum(),
      ...(stranger ? { stranger } : {}),
      news: out,
    };
    function introduces(n: NodeInfo | NodeNews): boolean {
      return n.name === m.from.name && 'address' in n;
    }
  }
  async function onProbeFor(m: MessageOf<'probeFor'>): Promise<Message> {
    take(m.news);
    const node = members.get(m.target);
    const reached = node ? await probe(node.address, DIRECT_MS) : false;
    return { kind: 'probeAnswer', reached, news: news() };
  }
  peers.on('probe', onProbe);
  peers.on('probeFor', onProbeFor);

  async function probe(to: Address, waitMs: number): Promise<boolean> {
    const all = introduced ? {} : { all: true };
    const got = await peers.call(
      to,
      { kind: 'probe', from: briefNews(own()), ...all, news: introduced ? news() : [own(), ...news()] },
      waitMs,
    );
    if (!got.ok || got.value.kind !== 'probeAnswer') return false;
    take(got.value.news, !introduced);
    introduced = true;
    if (got.value.from) take([got.value.from]);
    const unknown = got.value.from !== undefined && members.get(got.value.from.name)?.run !== got.value.from.run;
    if (got.value.stranger === true || unknown) void introduce(to);
    else if (
      got.value.sum !== undefined &&
      got.value.sum !== ownSum() &&
      shares.size === 0 &&
      clock.mono() - comparedAt > COMPARE_MS
    )
      void compare(to);
    return true;
  }
  function ownSum(): number {
    sum ??= sumOf(members);
    return sum;
  }
  async function compare(to: Address): Promise<void> {
    comparedAt = clock.mono();
    const got = await peers.call(
      to,
      { kind: 'probe', from: briefNews(own()), all: true, news: everything() },
      INDIRECT_MS,
    );
    if (got.ok && got.value.kind === 'probeAnswer') take(got.value.news, true);
  }
  async function introduce(to: Address): Promise<void> {
    const got = await peers.call(to, { kind: 'probe', from: briefNews(own()), news: [own()] }, 2 * DIRECT_MS);
    if (got.ok && got.value.kind === 'probeAnswer') take(got.value.news);
  }

  async function askHelpers(target: NodeInfo): Promise<boolean> {
    const others: NodeInfo[] = [];
    for (const n of members.values())
      if (n.name !== self.name && n.name !== target.name && n.status === 'alive') others.push(n);
    let reached = false;
    async function one(helper: NodeInfo): Promise<void> {
      const got = await peers.call(
        helper.address,
        { kind: 'probeFor', target: target.name, news: news() },
        INDIRECT_MS,
      );
      if (got.ok && got.value.kind === 'probeAnswer') {
        take(got.value.news);
        if (got.value.reached) reached = true;
      }
    }
    const asks: Promise<void>[] = [];
    for (const helper of shuffled(rng, others).slice(0, HELPERS)) asks.push(one(helper));
    await Promise.all(asks);
    return reached;
  }

  function nextTarget(): NodeInfo | null {
    const order = turns % FAR_EACH === 0 ? (['far', 'near'] as const) : (['near', 'far'] as const);
    for (const which of order) {
      const node = nextOf(which);
      if (node) return node;
    }
    return null;
  }
  function nextOf(which: 'near' | 'far'): NodeInfo | null {
    function isOf(n: NodeInfo): boolean {
      return n.name !== self.name && isUp(n) && (n.region === self.region) === (which === 'near');
    }
    for (let name = rounds[which].pop(); name !== undefined; name = rounds[which].pop()) {
      const node = members.get(name);
      if (node && isOf(node)) return node;
    }
    const up: string[] = [];
    for (const n of members.values()) if (isOf(n)) up.push(n.name);
    rounds[which] = shuffled(rng, up);
    const name = rounds[which].pop();
    return name === undefined ? null : (members.get(name) ?? null);
  }

  function expire(): void {
    const now = clock.mono();
    for (const [name, at] of suspectAt) {
      const node = members.get(name);
      if (!node || now - at < SUSPECT_MS) continue;
      const dead: NodeInfo = { ...node, status: 'dead' };
      members.set(name, dead);
      noteStatus(dead);
    }
    for (const [name, at] of goneAt) {
      if (now - at < FORGET_MS) continue;
      members.delete(name);
      sum = null;
      goneAt.delete(name);
      shares.delete(name);
    }
  }

  async function turn(): Promise<void> {
    expire();
    turns += 1;
    if (turns % SEED_EACH === 1) void greetSeed();
    if (turns % GONE_EACH === 0) void greetGone();
    const target = nextTarget();
    if (!target) return;
    if (await probe(target.address, DIRECT_MS)) return;
    if (await askHelpers(target)) return;
    const held = members.get(target.name);
    if (!held || held.status !== 'alive' || held.incarnation !== target.incarnation) return;
    const suspect: NodeInfo = { ...held, status: 'suspect' };
    members.set(target.name, suspect);
    noteStatus(suspect);
  }

  async function greetSeed(): Promise<void> {
    const known = new Set<Address>();
    for (const n of members.values()) if (n.status === 'alive') known.add(n.address);
    for (const contact of contacts())
      if (!known.has(contact) && contact !== self.address) await probe(contact, 2 * DIRECT_MS);
    await greetOne(isDead);
  }
  // A controller that was cut off while the others were replaced knows none of those that are there now: they have to greet it.
  async function greetGone(): Promise<void> {
    if (self.role === 'controller') await greetOne(isDeadController);
  }
  async function greetOne(isWanted: (n: NodeInfo) => boolean): Promise<void> {
    const gone: NodeInfo[] = [];
    for (const n of members.values()) if (isWanted(n)) gone.push(n);
    const again = shuffled(rng, gone)[0];
    if (again) await probe(again.address, DIRECT_MS);
  }
  function isDead(n: NodeInfo): boolean {
    return n.status === 'dead';
  }
  function isDeadController(n: NodeInfo): boolean {
    return n.role === 'controller' && isDead(n);
  }

  function tick(): void {
    void turn();
  }
  const ticking = every(clock, PERIOD_MS, tick);
  tick();

  function get(name: string): NodeInfo | null {
    return members.get(name) ?? null;
  }
  function leave(): void {
    const gone: NodeInfo = { ...own(), status: 'left' };
    for (const n of members.values()) {
      if (n.name !== self.name && isUp(n))
        void peers.tell(n.address, { kind: 'probe', from: briefNews(gone), news: [] });
    }
  }
  return { all: everything, get, events, leave, stop: ticking.cancel };
}
