import { readFileSync } from 'node:fs';
import { join, relative } from 'node:path';
import { ROOT } from './children.mjs';

export const HEADER = 'test, cause, issue';
const SCENARIOS_FILE = 'standin-platform/scenarios.ts';
const OVERLOAD_FILE = 'standin-platform/overload/cases.ts';

/**
 * Parses KNOWN-RED.txt: a header line, then one entry a line with a test, its cause and its issue, separated by tabs. A
 * test is written as `path: full name`, a check of a scenario as `standin-platform/scenarios.ts: scenario: check`, a case
 * of overload as `standin-platform/overload/cases.ts: name`. Returns the entries by test, and a message for each malformed
 * line.
 */
export function parseKnownRed(text) {
  const [header, ...lines] = text.split('\n').filter((l) => l.trim() !== '');
  const errors = header === HEADER ? [] : [`the first line should be ${JSON.stringify(HEADER)}`];
  const known = new Map();
  for (const line of lines) {
    const [test, cause, issue, ...extraFields] = line.split('\t').map((part) => part.trim());
    if (!test || !cause || !issue || extraFields.length > 0)
      errors.push(`expected a test, a cause and an issue, separated by tabs: ${JSON.stringify(line)}`);
    else if (known.has(test)) errors.push(`duplicate entry: ${test}`);
    else known.set(test, { cause, issue });
  }
  return { known, errors };
}

export function loadKnownRed() {
  return parseKnownRed(readFileSync(join(ROOT, 'KNOWN-RED.txt'), 'utf8'));
}

function testOfCheck(scenario, check) {
  return `${SCENARIOS_FILE}: ${scenario}: ${check}`;
}
function isScenarioEntry(test) {
  return test.startsWith(`${SCENARIOS_FILE}: `);
}
function testOfCase(name) {
  return `${OVERLOAD_FILE}: ${name}`;
}
function isOverloadEntry(test) {
  return test.startsWith(testOfCase(''));
}

/** Returns a message for each entry of a scenario that names no check of a scenario that exists. */
export function findUnknownChecks(known, scenarios, checks) {
  const tests = scenarios.flatMap((scenario) => checks.map((check) => testOfCheck(scenario, check)));
  const unknown = [...known.keys()].filter((test) => isScenarioEntry(test) && !tests.includes(test));
  return unknown.map((test) => `expected a scenario and one of its checks (${checks.join(', ')}): ${test}`);
}

/** Returns a message for each entry of a case of overload that does not exist. */
export function findUnknownCases(known, names) {
  const tests = names.map(testOfCase);
  const unknown = [...known.keys()].filter((test) => isOverloadEntry(test) && !tests.includes(test));
  return unknown.map((test) => `expected a case of overload: ${test}`);
}

/** Merges the reports of several jest runs into one. */
export function mergeReports(reports) {
  function sum(key) {
    return reports.reduce((total, report) => total + (report[key] ?? 0), 0);
  }
  return {
    testResults: reports.flatMap((report) => report.testResults),
    numFailedTests: sum('numFailedTests'),
    numPassedTests: sum('numPassedTests'),
    numPendingTests: sum('numPendingTests'),
    numRuntimeErrorTestSuites: sum('numRuntimeErrorTestSuites'),
    wasInterrupted: reports.some((report) => report.wasInterrupted),
  };
}

function emptyResults() {
  return { knownFailures: [], knownPasses: [], newFailures: [], brokenSuites: [], notRun: [] };
}

/**
 * Sorts the results of a report that jest wrote with `--json`: known tests that failed, passed or did not run, other
 * tests that failed, and suites that failed without a failed test, which could not run. Entries of scenarios and of overload
 * are left out: jest does not run them.
 */
export function classifyResults(report, known, root = ROOT) {
  const results = emptyResults();
  const listed = new Set([...known.keys()].filter((test) => !isScenarioEntry(test) && !isOverloadEntry(test)));
  const seen = new Set();
  for (const suite of report.testResults) {
    const path = relative(root, suite.name);
    if (suite.status === 'failed' && suite.assertionResults.every((assertion) => assertion.status !== 'failed'))
      results.brokenSuites.push(path);
    for (const assertion of suite.assertionResults) {
      const test = `${path}: ${assertion.fullName}`;
      if (listed.has(test)) {
        seen.add(test);
        if (assertion.status === 'failed') results.knownFailures.push(test);
        if (assertion.status === 'passed') results.knownPasses.push(test);
      } else if (assertion.status === 'failed') results.newFailures.push(test);
    }
  }
  for (const test of listed) if (!seen.has(test)) results.notRun.push(test);
  return results;
}

/** Returns 0 if jest passed, or if known red tests are all that failed; otherwise the exit code of jest. */
export function exitCodeOf(results, report, code) {
  const failedTestsAreKnown =
    results.knownFailures.length > 0 &&
    report.numFailedTests === results.knownFailures.length &&
    results.newFailures.length === 0;
  const isOnlyKnownFailures =
    failedTestsAreKnown &&
    results.brokenSuites.length === 0 &&
    report.numRuntimeErrorTestSuites === 0 &&
    !report.wasInterrupted;
  return code === 0 || isOnlyKnownFailures ? 0 : code;
}

/** Returns the lines that CI prints about known red tests, other failed tests and suites that could not run. */
export function describeResults(results, known) {
  const lines = [];
  const causeOf = (test) => `${known.get(test).cause} (${known.get(test).issue})`;
  for (const test of results.knownFailures) lines.push(`Known red, passed over: ${test}: ${causeOf(test)}`);
  for (const test of results.knownPasses)
    lines.push(`Listed in KNOWN-RED.txt, yet it passes; take its line out: ${test}`);
  for (const test of results.notRun) lines.push(`Listed in KNOWN-RED.txt, not among the tests that ran: ${test}`);
  for (const test of results.newFailures) lines.push(`Failed: ${test}`);
  for (const path of results.brokenSuites) lines.push(`Could not run: ${path}`);
  return lines;
}

/**
 * Tells which failed checks of a scenario are known red and which are new, and the lines to print about them and about
 * listed checks that hold. If the site did not start, its other checks were not made: none of them holds.
 */
export function classifyChecks(scenario, failedChecks, known) {
  const results = emptyResults();
  const failures = failedChecks.map((check) => testOfCheck(scenario, check));
  for (const test of failures) (known.has(test) ? results.knownFailures : results.newFailures).push(test);
  if (!failedChecks.includes('started'))
    for (const test of known.keys())
      if (test.startsWith(testOfCheck(scenario, '')) && !failures.includes(test)) results.knownPasses.push(test);
  const { knownFailures, newFailures } = results;
  return { knownFailures, newFailures, lines: describeResults(results, known) };
}

/**
 * Tells whether a failure of a case of overload is known red, and the lines to print about it. A site that did not start is
 * never known red: what is listed was not played.
 */
export function classifyCase(name, failedChecks, known) {
  const results = emptyResults();
  const test = testOfCase(name);
  const isListed = known.has(test) && !failedChecks.includes('started');
  if (failedChecks.length > 0) (isListed ? results.knownFailures : results.newFailures).push(test);
  else if (known.has(test)) results.knownPasses.push(test);
  const { knownFailures, newFailures } = results;
  return { knownFailures, newFailures, lines: describeResults(results, known) };
}
