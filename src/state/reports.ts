import type { Report } from './report.js';

export type Reports = Map<string, Report>;

export type ReportStep = 'merged' | 'old' | 'gap';

export function newer(a: Report, b: Report): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  return a.count > b.count;
}

export function mergeReport(table: Reports, report: Report): ReportStep {
  const have = table.get(report.reporter);
  if (have && !newer(report, have)) return 'old';
  if (report.since === undefined) {
    table.set(report.reporter, report);
    return 'merged';
  }
  if (!have || have.run !== report.run || have.incarnation !== report.incarnation || have.count !== report.since)
    return 'gap';
  const whole: Report = { ...report, fitness: changedFitness(have.fitness, report.fitness, report.gone ?? []) };
  delete whole.since;
  delete whole.gone;
  table.set(report.reporter, whole);
  return 'merged';
}

function changedFitness(
  have: Report['fitness'],
  changed: Report['fitness'],
  gone: readonly string[],
): Report['fitness'] {
  if (gone.length === 0 && Object.keys(changed).length === 0) return have;
  const out = { ...have, ...changed };
  for (const id of gone) delete out[id];
  return out;
}

export function differenceTo(told: Report | undefined, now: Report): Report {
  if (!told || told.run !== now.run || told.incarnation !== now.incarnation || told.count >= now.count) return now;
  const fitness: Report['fitness'] = {};
  const gone: string[] = [];
  if (told.fitness !== now.fitness) {
    for (const [id, verdict] of Object.entries(now.fitness)) if (told.fitness[id] !== verdict) fitness[id] = verdict;
    for (const id of Object.keys(told.fitness)) if (now.fitness[id] === undefined) gone.push(id);
  }
  return { ...now, since: told.count, fitness, ...(gone.length > 0 ? { gone } : {}) };
}
