import type { Report, ReportChange, ToldReport } from './report.js';

export type Reports = Map<string, Report>;

export type ReportStep = 'merged' | 'old' | 'gap';

function newer(a: ToldReport, b: Report): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  return a.count > b.count;
}

export function isChange(r: ToldReport): r is ReportChange {
  return 'since' in r;
}

export function mergeReport(table: Reports, told: ToldReport): ReportStep {
  const have = table.get(told.reporter);
  if (have && !newer(told, have)) return 'old';
  if (!isChange(told)) {
    table.set(told.reporter, told);
    return 'merged';
  }
  if (!have || have.run !== told.run || have.incarnation !== told.incarnation || have.count !== told.since) return 'gap';
  const { gone, fitness, requests, ...rest } = told;
  const whole: Report & { since?: number } = { ...have, ...rest, requests: requests ? { ...have.requests, ...requests } : have.requests, fitness: fitness || gone ? changedFitness(have.fitness, fitness ?? {}, gone ?? []) : have.fitness };
  delete whole.since;
  table.set(told.reporter, whole);
  return 'merged';
}

function changedFitness(have: Report['fitness'], changed: Report['fitness'], gone: readonly string[]): Report['fitness'] {
  const out = { ...have, ...changed };
  for (const id of gone) delete out[id];
  return out;
}

const PLAIN = ['shed', 'dispatched', 'retried', 'slot', 'http', 'ready', 'zone', 'region'] as const;

export function differenceTo(told: Report | undefined, now: Report): ToldReport {
  if (!told || told.run !== now.run || told.incarnation !== now.incarnation || told.count >= now.count) return now;
  const out: Record<string, unknown> = { reporter: now.reporter, run: now.run, incarnation: now.incarnation, count: now.count, since: told.count };
  for (const key of PLAIN) if (told[key] !== now[key]) out[key] = now[key];
  const requests = changedIn(told.requests, now.requests);
  if (requests) out['requests'] = requests;
  const fitness = changedIn(told.fitness, now.fitness);
  if (fitness) out['fitness'] = fitness;
  const gone: string[] = [];
  if (told.fitness !== now.fitness) for (const id of Object.keys(told.fitness)) if (now.fitness[id] === undefined) gone.push(id);
  if (gone.length > 0) out['gone'] = gone;
  return out as ReportChange;
}

function changedIn<T>(told: Readonly<Record<string, T>>, now: Readonly<Record<string, T>>): Record<string, T> | null {
  if (told === now) return null;
  const out: Record<string, T> = {};
  for (const [key, value] of Object.entries(now)) if (told[key] !== value) out[key] = value;
  return Object.keys(out).length > 0 ? out : null;
}
