import { createEvents } from '../../base/events.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { NodeInfo } from '../../state/node-info.js';
import { isUp, mergeNode } from '../../state/members.js';
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
  readonly events: { readonly on: <K extends keyof MembershipEvents>(name: K, fn: (e: MembershipEvents[K]) => void) => void };
  readonly leave: () => void;
  readonly stop: () => void;
};

const PERIOD_MS = 500;
const DIRECT_MS = 250;
const INDIRECT_MS = 600;
const HELPERS = 3;
const SUSPECT_MS = 2_500;
const NEWS_SHARED = 12;
const FORGET_MS = 600_000;

export function createMembership(self: NodeInfo, contacts: () => Iterable<Address>, peers: Peers, clock: Clock, rng: Rng, log: Log): Membership {
  const events = createEvents<MembershipEvents>();
  const members: Members = new Map([[self.name, self]]);
  const shares = new Map<string, number>();
  const suspectAt = new Map<string, number>();
  const goneAt = new Map<string, number>();
  let round: string[] = [];
  let turns = 0;

  function own(): NodeInfo {
    return members.get(self.name) ?? self;
  }

  function take(news: readonly NodeInfo[]): void {
    for (const n of news) {
      const step = mergeNode(members, self.name, n);
      if (step.refuted) log.warn(`Was held for ${n.status}; refutes it.`);
      if (!step.changed) continue;
      noteStatus(members.get(n.name) as NodeInfo);
    }
  }

  function noteStatus(node: NodeInfo): void {
    shares.set(node.name, 0);
    if (node.status === 'suspect') {
      if (!suspectAt.has(node.name)) suspectAt.set(node.name, clock.mono());
    } else suspectAt.delete(node.name);
    if (isUp(node)) goneAt.delete(node.name);
    else goneAt.set(node.name, clock.mono());
    if (node.name !== self.name) log.info(`${node.name} is ${node.status}.`);
    events.emit('changed', { node });
  }

  function news(): NodeInfo[] {
    const names = [...shares.keys()].sort(fewestFirst).slice(0, NEWS_SHARED);
    const limit = 3 * Math.ceil(Math.log2(members.size + 2));
    const out: NodeInfo[] = [own()];
    for (const name of names) {
      const n = (shares.get(name) ?? 0) + 1;
      if (n > limit) shares.delete(name);
      else shares.set(name, n);
      const node = members.get(name);
      if (node && name !== self.name) out.push(node);
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
    const stranger = !members.has(m.from.name);
    take([m.from, ...m.news]);
    return { kind: 'probeAnswer', reached: true, news: stranger ? everything() : withHeld(m.from) };
  }
  function withHeld(from: NodeInfo): NodeInfo[] {
    const held = members.get(from.name);
    const out = news();
    if (held && (held.status !== 'alive' || held.run !== from.run)) out.push(held);
    return out;
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
    const got = await peers.call(to, { kind: 'probe', from: own(), news: news() }, waitMs);
    if (!got.ok || got.value.kind !== 'probeAnswer') return false;
    take(got.value.news);
    return true;
  }

  async function askHelpers(target: NodeInfo): Promise<boolean> {
    const others: NodeInfo[] = [];
    for (const n of members.values()) if (n.name !== self.name && n.name !== target.name && n.status === 'alive') others.push(n);
    let reached = false;
    async function one(helper: NodeInfo): Promise<void> {
      const got = await peers.call(helper.address, { kind: 'probeFor', target: target.name, news: news() }, INDIRECT_MS);
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
    for (;;) {
      const name = round.pop();
      if (name === undefined) break;
      const node = members.get(name);
      if (node && isUp(node)) return node;
    }
    const up: string[] = [];
    for (const n of members.values()) if (n.name !== self.name && isUp(n)) up.push(n.name);
    round = shuffled(rng, up);
    const name = round.pop();
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
      goneAt.delete(name);
      shares.delete(name);
    }
  }

  async function turn(): Promise<void> {
    expire();
    turns += 1;
    if (turns % 8 === 1) void greetSeed();
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
    for (const contact of contacts()) if (!known.has(contact) && contact !== self.address) await probe(contact, 2 * DIRECT_MS);
    const gone: NodeInfo[] = [];
    for (const n of members.values()) if (n.status === 'dead') gone.push(n);
    const again = shuffled(rng, gone)[0];
    if (again) await probe(again.address, DIRECT_MS);
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
      if (n.name !== self.name && isUp(n)) void peers.tell(n.address, { kind: 'probe', from: gone, news: [] });
    }
  }
  return { all: everything, get, events, leave, stop: ticking.cancel };
}
