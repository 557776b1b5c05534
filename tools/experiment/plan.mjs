import { parse } from 'smol-toml';
import { EDGE_TUNING } from '../../dist/state/forwarding/edge-tuning.js';

/** A plan of an experiment that can't be carried out; `problems` has one line for each fault. */
export class PlanError extends Error {
  constructor(problems) {
    super(problems.join('\n'));
    this.code = 'ERR_PLAN';
    this.problems = problems;
  }
}

const BACKENDS = ['engine', 'bench'];
const DEFAULT_JOBS = 2;
const MOST_JOBS = 5;

/** Reads and checks a plan; throws a `PlanError` that names every fault with its place. */
export function readPlan(text) {
  let document;
  try {
    document = parse(text);
  } catch (error) {
    throw new PlanError([`not TOML: ${error.message.split('\n')[0]}`]);
  }
  const problems = [];
  const plan = {
    name: wanted(document, 'name', isName, 'a name of letters, digits and hyphens', problems),
    backend: wanted(
      document,
      'backend',
      (value) => BACKENDS.includes(value),
      `one of ${BACKENDS.join(', ')}`,
      problems,
    ),
    jobs: optional(document, 'jobs', isJobs, `a whole number from 1 to ${MOST_JOBS}`, DEFAULT_JOBS, problems),
    flags: optional(document, 'flags', isTexts, 'a list of flags of the bench', [], problems),
    why: optional(document, 'why', isText, 'a line for the journal', '', problems),
    candidates: candidatesIn(document, problems),
    sites: sitesIn(document, problems),
  };
  for (const key of Object.keys(document))
    if (!['name', 'backend', 'jobs', 'flags', 'why', 'candidate', 'site'].includes(key))
      problems.push(`${key}: unknown field`);
  if (problems.length > 0) throw new PlanError(problems);
  return plan;
}

/** Every run of a plan: the candidates of one site, day and seed follow each other, so that pairs meet the same load. */
export function runsOf(plan) {
  const runs = [];
  for (const site of plan.sites)
    for (const day of site.days)
      for (const seed of site.seeds)
        for (const candidate of plan.candidates)
          runs.push({ key: [candidate.name, site.name, day, seed].join('_'), candidate, site, day, seed });
  return runs;
}

function candidatesIn(document, problems) {
  const list = Array.isArray(document.candidate) ? document.candidate : [];
  if (list.length < 2) problems.push('candidate: at least two are compared, the first one with each of the others');
  const candidates = list.map((item, index) => {
    const at = `candidate ${index + 1}`;
    const tuning = item.tuning ?? {};
    for (const [field, value] of Object.entries(tuning)) {
      if (!(field in EDGE_TUNING)) problems.push(`${at}: tuning.${field}: the tuning record has no such field`);
      else if (typeof value !== typeof EDGE_TUNING[field])
        problems.push(`${at}: tuning.${field}: expected a ${typeof EDGE_TUNING[field]}`);
    }
    return {
      name: wanted(item, 'name', isName, 'a name of letters, digits and hyphens', problems, at),
      commit: optional(item, 'commit', isText, 'a revision', 'HEAD', problems, at),
      tuning,
    };
  });
  repeated(candidates, 'candidate', problems);
  return candidates;
}

function sitesIn(document, problems) {
  const list = Array.isArray(document.site) ? document.site : [];
  if (list.length === 0) problems.push('site: at least one is needed');
  const sites = list.map((item, index) => {
    const at = `site ${index + 1}`;
    return {
      name: wanted(item, 'name', isName, 'a name of letters, digits and hyphens', problems, at),
      path: optional(item, 'path', isText, 'the path of a site file', null, problems, at),
      days: optional(item, 'days', isTexts, 'a list of names of days', ['drawn'], problems, at),
      seeds: wanted(item, 'seeds', isSeeds, 'a list of whole numbers above 0', problems, at) ?? [],
    };
  });
  if (document.backend === 'bench')
    sites.forEach(
      (site, index) => site.path === null && problems.push(`site ${index + 1}: path: the bench needs a site file`),
    );
  repeated(sites, 'site', problems);
  return sites;
}

function repeated(items, what, problems) {
  const seen = new Set();
  for (const { name } of items) {
    if (seen.has(name)) problems.push(`${what} ${name}: named twice`);
    seen.add(name);
  }
}
function wanted(item, field, fits, expected, problems, at = '') {
  const value = item[field];
  if (value !== undefined && fits(value)) return value;
  problems.push(
    `${at === '' ? '' : `${at}: `}${field}: expected ${expected}${value === undefined ? ', it is missing' : ''}`,
  );
  return null;
}
function optional(item, field, fits, expected, otherwise, problems, at = '') {
  return item[field] === undefined ? otherwise : (wanted(item, field, fits, expected, problems, at) ?? otherwise);
}
function isText(value) {
  return typeof value === 'string' && value !== '';
}
function isName(value) {
  return typeof value === 'string' && /^[a-z0-9-]+$/i.test(value);
}
function isTexts(value) {
  return Array.isArray(value) && value.every(isText);
}
function isJobs(value) {
  return Number.isInteger(value) && value >= 1 && value <= MOST_JOBS;
}
function isSeeds(value) {
  return Array.isArray(value) && value.length > 0 && value.every((seed) => Number.isInteger(seed) && seed > 0);
}
