import { parse } from 'smol-toml';
import { EDGE_TUNING } from '../../dist/state/forwarding/edge-tuning.js';

/** The error for an invalid plan of an experiment; `problems` has one line for each error in it. */
export class PlanError extends Error {
  constructor(problems) {
    super(problems.join('\n'));
    this.code = 'ERR_PLAN';
    this.problems = problems;
  }
}

const BACKENDS = ['engine', 'bench'];
const DEFAULT_JOBS = 2;
const MAX_JOBS = 5;

/** Parses and validates a plan; throws a `PlanError` that lists every error with its location. */
export function parsePlan(text) {
  let document;
  try {
    document = parse(text);
  } catch (error) {
    throw new PlanError([`not TOML: ${error.message.split('\n')[0]}`]);
  }
  const problems = [];
  const plan = {
    name: requiredField(document, 'name', isName, 'a name of letters, digits and hyphens', problems),
    backend: requiredField(
      document,
      'backend',
      (value) => BACKENDS.includes(value),
      `one of ${BACKENDS.join(', ')}`,
      problems,
    ),
    jobs: optionalField(document, 'jobs', isJobs, `a whole number from 1 to ${MAX_JOBS}`, DEFAULT_JOBS, problems),
    flags: optionalField(document, 'flags', isTextList, 'a list of flags of the bench', [], problems),
    why: optionalField(document, 'why', isText, 'a line for the journal', '', problems),
    candidates: parseCandidates(document, problems),
    sites: parseSites(document, problems),
  };
  for (const key of Object.keys(document))
    if (!['name', 'backend', 'jobs', 'flags', 'why', 'candidate', 'site'].includes(key))
      problems.push(`${key}: unknown field`);
  if (problems.length > 0) throw new PlanError(problems);
  return plan;
}

/**
 * Lists the runs of a plan. The candidates of one site, day and seed are adjacent, so that the runs of a pair meet the
 * same load.
 */
export function listRuns(plan) {
  const runs = [];
  for (const site of plan.sites)
    for (const day of site.days)
      for (const seed of site.seeds)
        for (const candidate of plan.candidates)
          runs.push({ key: [candidate.name, site.name, day, seed].join('_'), candidate, site, day, seed });
  return runs;
}

function parseCandidates(document, problems) {
  const list = Array.isArray(document.candidate) ? document.candidate : [];
  if (list.length < 2) problems.push('candidate: at least two are compared, the first one with each of the others');
  const candidates = list.map((item, index) => {
    const location = `candidate ${index + 1}`;
    const tuning = item.tuning ?? {};
    for (const [field, value] of Object.entries(tuning)) {
      if (!(field in EDGE_TUNING)) problems.push(`${location}: tuning.${field}: the tuning record has no such field`);
      else if (typeof value !== typeof EDGE_TUNING[field])
        problems.push(`${location}: tuning.${field}: expected a ${typeof EDGE_TUNING[field]}`);
    }
    return {
      name: requiredField(item, 'name', isName, 'a name of letters, digits and hyphens', problems, location),
      commit: optionalField(item, 'commit', isText, 'a revision', 'HEAD', problems, location),
      tuning,
    };
  });
  reportDuplicates(candidates, 'candidate', problems);
  return candidates;
}

function parseSites(document, problems) {
  const list = Array.isArray(document.site) ? document.site : [];
  if (list.length === 0) problems.push('site: at least one is needed');
  const sites = list.map((item, index) => {
    const location = `site ${index + 1}`;
    return {
      name: requiredField(item, 'name', isName, 'a name of letters, digits and hyphens', problems, location),
      path: optionalField(item, 'path', isText, 'the path of a site file', null, problems, location),
      days: optionalField(item, 'days', isTextList, 'a list of names of days', ['drawn'], problems, location),
      seeds: requiredField(item, 'seeds', isSeeds, 'a list of whole numbers above 0', problems, location) ?? [],
    };
  });
  if (document.backend === 'bench')
    sites.forEach(
      (site, index) => site.path === null && problems.push(`site ${index + 1}: path: the bench needs a site file`),
    );
  reportDuplicates(sites, 'site', problems);
  return sites;
}

function reportDuplicates(items, what, problems) {
  const seen = new Set();
  for (const { name } of items) {
    if (seen.has(name)) problems.push(`${what} ${name}: duplicate name`);
    seen.add(name);
  }
}
function requiredField(item, field, isValid, expected, problems, location = '') {
  const value = item[field];
  if (value !== undefined && isValid(value)) return value;
  problems.push(
    `${location === '' ? '' : `${location}: `}${field}: expected ${expected}${value === undefined ? ', it is missing' : ''}`,
  );
  return null;
}
function optionalField(item, field, isValid, expected, defaultValue, problems, location = '') {
  return item[field] === undefined
    ? defaultValue
    : (requiredField(item, field, isValid, expected, problems, location) ?? defaultValue);
}
function isText(value) {
  return typeof value === 'string' && value !== '';
}
function isName(value) {
  return typeof value === 'string' && /^[a-z0-9-]+$/i.test(value);
}
function isTextList(value) {
  return Array.isArray(value) && value.every(isText);
}
function isJobs(value) {
  return Number.isInteger(value) && value >= 1 && value <= MAX_JOBS;
}
function isSeeds(value) {
  return Array.isArray(value) && value.length > 0 && value.every((seed) => Number.isInteger(seed) && seed > 0);
}
