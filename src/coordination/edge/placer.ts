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

export interface Placer {
  place(ask: PlaceAsk): Result<Placed, Failure>;
  choose(where: Where): Choice;
  resolved(model: string): ResolvedModel | null;
  homesOf(model: string, bound: Bound): readonly string[] | null;
}

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

/** The proxies that membership has as up. */
type Ups = {
  readonly all: readonly NodeInfo[];
  readonly byZone: ReadonlyMap<string, readonly NodeInfo[]>;
  readonly zones: ReadonlySet<string>;
};

class PolicyPlacer implements Placer {
  private models = new Map<string, ResolvedModel>();
  private modelsAt = -1;
  private ups: Ups | null = null;
  private readonly roomy: Policy[] = [];

  constructor(private readonly deps: PlacerDeps) {
    this.deps.membership.events.on('changed', () => this.onChanged());

    for (const p of this.deps.policies) if (p.name !== 'room') this.roomy.push(p);
  }

  resolved(model: string): ResolvedModel | null {
    const b = this.deps.follower.controlState();
    if (this.modelsAt !== b.version) {
      this.models = new Map();
      for (const rm of resolveAll(b.configuration)) this.models.set(rm.model, rm);
      this.modelsAt = b.version;
    }
    return this.models.get(model) ?? null;
  }

  private onChanged(): void {
    this.ups = null;
  }

  private proxiesUp(): Ups {
    if (this.ups) return this.ups;
    const all: NodeInfo[] = [];
    const byZone = new Map<string, NodeInfo[]>();
    for (const n of this.deps.membership.all()) {
      if (n.role !== 'proxy' || !isUp(n)) continue;
      all.push(n);
      byZone.set(n.zone, [...(byZone.get(n.zone) ?? []), n]);
    }
    this.ups = { all, byZone, zones: new Set(byZone.keys()) };
    return this.ups;
  }

  private contextOf(where: Where, all: readonly Candidate[]): PlaceContext {
    let share = 0;
    for (const c of all) share += Math.min(1, c.running / c.limit);
    return {
      ...this.callerOf(where),
      ownRegion: this.deps.self.region,
      homes: where.homes,
      partitioned: this.deps.follower.partitioned(),
      seed: this.seedOf(where),
      avoid: where.avoid,
      meanShare: all.length === 0 ? 0 : share / all.length,
    };
  }

  private callerOf(where: Where): { readonly zone: string; readonly region: string } {
    const told =
      where.from === undefined ? undefined : this.deps.follower.controlState().configuration.zones[where.from];
    return told && where.from !== undefined
      ? { zone: where.from, region: told.region }
      : { zone: this.deps.self.zone, region: this.deps.self.region };
  }

  private seedOf(where: Where): string {
    return where.parts[0] ?? newId(this.deps.rng, 's');
  }

  private candidatesOf(where: Where, whole: boolean): Candidate[] {
    const rm = this.resolved(where.model);
    if (!rm) return [];
    const { model, parts, homes } = where;
    return this.deps.table.candidates({
      model,
      parts,
      homes,
      values: rm.values,
      zone: this.deps.self.zone,
      near: this.callerOf(where).zone,
      zonesWithProxy: this.proxiesUp().zones,
      now: this.deps.clock.mono(),
      seed: this.seedOf(where),
      whole,
    });
  }

  private among(where: Where, given: readonly Policy[]): Choice {
    const few = this.candidatesOf(where, false);
    const choice = placeAmong(few, this.contextOf(where, few), given);
    if (choice.tag === 'chosen' || choice.stoppedBy === 'room') return choice;
    const all = this.candidatesOf(where, true);
    return placeAmong(all, this.contextOf(where, all), given);
  }

  choose(where: Where): Choice {
    return this.among(where, this.deps.policies);
  }

  homesOf(model: string, bound: Bound): readonly string[] | null {
    const mapped =
      bound.mapping === null
        ? undefined
        : this.deps.follower.controlState().configuration.mappings?.[bound.mapping]?.kind;
    const kind = mapped ?? bound.kind;
    const allowed = kind === null ? undefined : this.resolved(model)?.values.homes[kind];
    if (!allowed) return bound.asked;
    if (!bound.asked) return allowed;
    const both: string[] = [];
    for (const r of allowed) if (bound.asked.includes(r)) both.push(r);
    return both;
  }

  private pickProxy(
    worker: Candidate,
    homes: readonly string[] | null,
    without: readonly string[],
    seed: string,
  ): NodeInfo | null {
    const { all, byZone } = this.proxiesUp();
    const near = (byZone.get(worker.zone) ?? []).filter(isAlive);
    return this.bestProxy(near, worker, homes, without, seed) ?? this.bestProxy(all, worker, homes, without, seed);
  }

  private bestProxy(
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
      score += (n.name === this.deps.self.name ? 0.99 : hash32(`${seed}|${n.name}`) / 4294967296) * 0.5;
      if (score > top) {
        best = n;
        top = score;
      }
    }
    return best;
  }

  place(ask: PlaceAsk): Result<Placed, Failure> {
    const b = this.deps.follower.controlState();
    if (!this.deps.ready()) return err(shed('notReady'));
    const mapping = ask.mapping === undefined ? null : (b.configuration.mappings?.[ask.mapping] ?? null);
    if (ask.mapping !== undefined && !mapping) return err({ tag: 'unknownModel' });
    const model = mapping?.model ?? ask.model ?? '';
    const rm = this.resolved(model);
    if (!rm) return err({ tag: 'unknownModel' });
    const bound: Bound = { mapping: ask.mapping ?? null, kind: ask.kind ?? null, asked: ask.homes ?? null };
    const homes = this.homesOf(model, bound);
    if (homes !== null && homes.length === 0) return err(shed('outsideHomes'));
    const where: Where = {
      model,
      parts: ask.parts,
      homes,
      avoid: new Set(),
      ...(ask.zone === undefined ? {} : { from: ask.zone }),
    };
    const first = this.among(where, this.deps.policies);
    const choice = first.tag === 'none' && first.stoppedBy === 'room' ? this.among(where, this.roomy) : first;
    if (choice.tag === 'none') return err(shed('noWorker'));
    const requestId = newId(this.deps.rng, 'req');
    const node = this.pickProxy(choice.candidate, homes, ask.without ?? [], requestId);
    if (!node) return err(shed('noWorker'));
    const ticket: Ticket = {
      id: newId(this.deps.rng, 'ticket'),
      requestId,
      proxy: proxyId(node),
      model,
      region: node.region,
      bound,
      repeatable: ask.repeatable,
      expiresAt: this.deps.follower.sharedNow() + TICKET_LIFE_MS,
    };
    return ok({
      proxy: node.name,
      address: node.http,
      ticket: signTicket(ticket, b.ticketKey),
      requestId,
      expiresInMs: TICKET_LIFE_MS,
    });
  }
}

export function createPlacer(deps: PlacerDeps): Placer {
  return new PolicyPlacer(deps);
}
