import { hash32 } from '../../base/digest.js';
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { NodeInfo } from '../../state/node-info.js';
import type { Failure, PlaceAsk, Placed, ShedReason } from '../../protocol/caller-wire.js';
import type { Candidate, PlaceContext } from '../../state/candidate.js';
import { placeAmong } from '../../state/policies.js';
import type { Choice, Policy } from '../../state/policies.js';
import { resolveAll } from '../../state/settings-tree.js';
import type { ResolvedModel } from '../../state/settings-tree.js';
import { isUp } from '../../state/members.js';
import { signTicket } from '../../state/ticket.js';
import type { Bound, Ticket } from '../../state/ticket.js';
import type { WorkerTable } from '../../state/worker-table.js';
import type { Clock } from '../../transport/clock.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Follower } from '../ledger/follower.js';
import type { Membership } from '../members/membership.js';

export type Where = {
  readonly from?: string;
  readonly model: string;
  readonly parts: readonly string[];
  readonly homes: readonly string[] | null;
  readonly avoid: ReadonlySet<number>;
};

export type Placer = {
  readonly place: (ask: PlaceAsk) => Result<Placed, Failure>;
  readonly choose: (where: Where) => Choice;
  readonly resolved: (model: string) => ResolvedModel | null;
  readonly homesOf: (model: string, bound: Bound) => readonly string[] | null;
};

export type ProxySelf = {
  readonly name: string;
  readonly run: string;
  readonly zone: string;
  readonly region: string;
  readonly http: string;
};

export const TICKET_LIFE_MS = 30_000;

export function proxyId(node: { readonly name: string; readonly run: string }): string {
  return `${node.name}#${node.run}`;
}

export function shed(reason: ShedReason): Failure {
  return { tag: 'shed', notRun: true, reason };
}

export type PlacerDeps = {
  readonly self: ProxySelf;
  readonly ready: () => boolean;
  readonly follower: Follower;
  readonly membership: Membership;
  readonly table: WorkerTable;
  readonly policies: readonly Policy[];
  readonly clock: Clock;
  readonly rng: Rng;
};

function isAlive(n: NodeInfo): boolean {
  return n.status === 'alive';
}

export function createPlacer(deps: PlacerDeps): Placer {
  const { self, ready, follower, membership, table, policies, clock, rng } = deps;
  let models = new Map<string, ResolvedModel>();
  let modelsAt = -1;

  function resolved(model: string): ResolvedModel | null {
    const b = follower.controlState();
    if (modelsAt !== b.version) {
      models = new Map();
      for (const rm of resolveAll(b.configuration)) models.set(rm.model, rm);
      modelsAt = b.version;
    }
    return models.get(model) ?? null;
  }

  type Ups = {
    readonly all: readonly NodeInfo[];
    readonly byZone: ReadonlyMap<string, readonly NodeInfo[]>;
    readonly zones: ReadonlySet<string>;
  };
  let ups: Ups | null = null;
  function onChanged(): void {
    ups = null;
  }
  membership.events.on('changed', onChanged);

  function proxiesUp(): Ups {
    if (ups) return ups;
    const all: NodeInfo[] = [];
    const byZone = new Map<string, NodeInfo[]>();
    for (const n of membership.all()) {
      if (n.role !== 'proxy' || !isUp(n)) continue;
      all.push(n);
      byZone.set(n.zone, [...(byZone.get(n.zone) ?? []), n]);
    }
    ups = { all, byZone, zones: new Set(byZone.keys()) };
    return ups;
  }

  function contextOf(where: Where, all: readonly Candidate[]): PlaceContext {
    let share = 0;
    for (const c of all) share += Math.min(1, c.running / c.limit);
    return {
      ...callerOf(where),
      ownRegion: self.region,
      homes: where.homes,
      partitioned: follower.partitioned(),
      seed: seedOf(where),
      avoid: where.avoid,
      meanShare: all.length === 0 ? 0 : share / all.length,
    };
  }

  function callerOf(where: Where): { readonly zone: string; readonly region: string } {
    const told = where.from === undefined ? undefined : follower.controlState().configuration.zones[where.from];
    return told && where.from !== undefined
      ? { zone: where.from, region: told.region }
      : { zone: self.zone, region: self.region };
  }

  function seedOf(where: Where): string {
    return where.parts[0] ?? newId(rng, 's');
  }

  function candidatesOf(where: Where, whole: boolean): Candidate[] {
    const rm = resolved(where.model);
    if (!rm) return [];
    const { model, parts, homes } = where;
    return table.candidates({
      model,
      parts,
      homes,
      values: rm.values,
      zone: self.zone,
      near: callerOf(where).zone,
      zonesWithProxy: proxiesUp().zones,
      now: clock.mono(),
      seed: seedOf(where),
      whole,
    });
  }

  function among(where: Where, given: readonly Policy[]): Choice {
    const few = candidatesOf(where, false);
    const choice = placeAmong(few, contextOf(where, few), given);
    if (choice.tag === 'chosen' || choice.stoppedBy === 'room') return choice;
    const all = candidatesOf(where, true);
    return placeAmong(all, contextOf(where, all), given);
  }

  function choose(where: Where): Choice {
    return among(where, policies);
  }

  const roomy: Policy[] = [];
  for (const p of policies) if (p.name !== 'room') roomy.push(p);

  function homesOf(model: string, bound: Bound): readonly string[] | null {
    const mapped =
      bound.mapping === null ? undefined : follower.controlState().configuration.mappings?.[bound.mapping]?.kind;
    const kind = mapped ?? bound.kind;
    const allowed = kind === null ? undefined : resolved(model)?.values.homes[kind];
    if (!allowed) return bound.asked;
    if (!bound.asked) return allowed;
    const both: string[] = [];
    for (const r of allowed) if (bound.asked.includes(r)) both.push(r);
    return both;
  }

  function pickProxy(
    worker: Candidate,
    homes: readonly string[] | null,
    without: readonly string[],
    seed: string,
  ): NodeInfo | null {
    const { all, byZone } = proxiesUp();
    const near = (byZone.get(worker.zone) ?? []).filter(isAlive);
    return bestProxy(near, worker, homes, without, seed) ?? bestProxy(all, worker, homes, without, seed);
  }

  function bestProxy(
    among: readonly NodeInfo[],
    worker: Candidate,
    homes: readonly string[] | null,
    without: readonly string[],
    seed: string,
  ): NodeInfo | null {
    let best: NodeInfo | null = null;
    let top = -Infinity;
    for (const n of among) {
      if (without.includes(n.name) || (homes !== null && !homes.includes(n.region))) continue;
      let score = n.status === 'alive' ? 0 : -2;
      if (n.zone === worker.zone) score += 3;
      else if (n.region === worker.region) score += 2;
      score += (n.name === self.name ? 0.99 : hash32(`${seed}|${n.name}`) / 4294967296) * 0.5;
      if (score > top) {
        best = n;
        top = score;
      }
    }
    return best;
  }

  function place(ask: PlaceAsk): Result<Placed, Failure> {
    const b = follower.controlState();
    if (!ready()) return err(shed('notReady'));
    const mapping = ask.mapping === undefined ? null : (b.configuration.mappings?.[ask.mapping] ?? null);
    if (ask.mapping !== undefined && !mapping) return err({ tag: 'unknownModel' });
    const model = mapping?.model ?? ask.model ?? '';
    const rm = resolved(model);
    if (!rm) return err({ tag: 'unknownModel' });
    const bound: Bound = { mapping: ask.mapping ?? null, kind: ask.kind ?? null, asked: ask.homes ?? null };
    const homes = homesOf(model, bound);
    if (homes !== null && homes.length === 0) return err(shed('outsideHomes'));
    const where: Where = {
      model,
      parts: ask.parts,
      homes,
      avoid: new Set(),
      ...(ask.zone === undefined ? {} : { from: ask.zone }),
    };
    const first = among(where, policies);
    const choice = first.tag === 'none' && first.stoppedBy === 'room' ? among(where, roomy) : first;
    if (choice.tag === 'none') return err(shed('noWorker'));
    const requestId = newId(rng, 'req');
    const node = pickProxy(choice.candidate, homes, ask.without ?? [], requestId);
    if (!node) return err(shed('noWorker'));
    const ticket: Ticket = {
      id: newId(rng, 'ticket'),
      requestId,
      proxy: proxyId(node),
      model,
      region: node.region,
      bound,
      repeatable: ask.repeatable,
      expiresAt: follower.sharedNow() + TICKET_LIFE_MS,
    };
    return ok({
      proxy: node.name,
      address: node.http,
      ticket: signTicket(ticket, b.ticketKey),
      requestId,
      expiresInMs: TICKET_LIFE_MS,
    });
  }

  return { place, choose, resolved, homesOf };
}
