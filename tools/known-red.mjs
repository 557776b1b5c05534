import { readFileSync } from 'node:fs';
import { join, relative } from 'node:path';
import { ROOT } from './children.mjs';

export const HEADER = 'test, cause, issue';

/** Lines `test, cause, issue`, apart by tabs; a test is `path: full name`. Returns faults as texts. */
export function readKnownRed(text) {
  const [header, ...lines] = text.split('\n').filter((l) => l.trim() !== '');
  const faults = header === HEADER ? [] : [`the first line should be ${JSON.stringify(HEADER)}`];
  const known = new Map();
  for (const line of lines) {
    const [test, cause, issue, ...more] = line.split('\t').map((part) => part.trim());
    if (!test || !cause || !issue || more.length > 0)
      faults.push(`not a test, a cause and an issue, apart by tabs: ${JSON.stringify(line)}`);
    else if (known.has(test)) faults.push(`named twice: ${test}`);
    else known.set(test, { cause, issue });
  }
  return { known, faults };
}

export function knownRed() {
  return readKnownRed(readFileSync(join(ROOT, 'KNOWN-RED.txt'), 'utf8'));
}

/** One report of several runs of jest, as if they had been one. */
export function joined(reports) {
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

/** Weighs what jest wrote with `--json` against the known red tests. */
export function weigh(report, known, root = ROOT) {
  const found = { red: [], green: [], failed: [], broken: [], unseen: [] };
  const seen = new Set();
  for (const suite of report.testResults) {
    const path = relative(root, suite.name);
    if (suite.status === 'failed' && suite.assertionResults.every((a) => a.status !== 'failed'))
      found.broken.push(path);
    for (const a of suite.assertionResults) {
      const test = `${path}: ${a.fullName}`;
      if (known.has(test)) {
        seen.add(test);
        if (a.status === 'failed') found.red.push(test);
        if (a.status === 'passed') found.green.push(test);
      } else if (a.status === 'failed') found.failed.push(test);
    }
  }
  for (const test of known.keys()) if (!seen.has(test)) found.unseen.push(test);
  return found;
}

export function verdictOf(found, report, code) {
  const onlyKnown = found.red.length > 0 && report.numFailedTests === found.red.length && found.failed.length === 0;
  const excused =
    onlyKnown && found.broken.length === 0 && report.numRuntimeErrorTestSuites === 0 && !report.wasInterrupted;
  return code === 0 || excused ? 0 : code;
}

export function tell(found, known) {
  const out = [];
  const why = (test) => `${known.get(test).cause} (${known.get(test).issue})`;
  for (const test of found.red) out.push(`Known red, passed over: ${test}: ${why(test)}`);
  for (const test of found.green) out.push(`Listed in KNOWN-RED.txt, yet it passes; take its line out: ${test}`);
  for (const test of found.unseen) out.push(`Listed in KNOWN-RED.txt, not among the tests that ran: ${test}`);
  for (const test of found.failed) out.push(`Failed: ${test}`);
  for (const path of found.broken) out.push(`Could not run: ${path}`);
  return out;
}
