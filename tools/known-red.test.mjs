import { describe, expect, test } from '@jest/globals';
import {
  classifyResults,
  describeResults,
  exitCodeOf,
  loadKnownRed,
  mergeReports,
  parseKnownRed,
} from './known-red.mjs';

const HEADER = 'test, cause, issue\n';
const ENTRY = 'src/a.test.ts: lease ends on time\ta slow clock\tdocs/failures.md, Unproved\n';

function reportOf(suites, overrides = {}) {
  const testResults = Object.entries(suites).map(([name, tests]) => ({
    name: `/repo/${name}`,
    status: tests === null || Object.values(tests).includes('failed') ? 'failed' : 'passed',
    assertionResults: Object.entries(tests ?? {}).map(([fullName, status]) => ({ fullName, status })),
  }));
  const failed = testResults.flatMap((s) => s.assertionResults).filter((a) => a.status === 'failed').length;
  return {
    testResults,
    numFailedTests: failed,
    numRuntimeErrorTestSuites: Object.values(suites).filter((t) => t === null).length,
    wasInterrupted: false,
    ...overrides,
  };
}
function evaluate(text, suites, overrides) {
  const { known, errors } = parseKnownRed(text);
  expect(errors).toEqual([]);
  const report = reportOf(suites, overrides);
  const results = classifyResults(report, known, '/repo');
  const code = report.numFailedTests + report.numRuntimeErrorTestSuites > 0 || report.wasInterrupted ? 1 : 0;
  return { exitCode: exitCodeOf(results, report, code), lines: describeResults(results, known) };
}

describe('known red tests', () => {
  test('a listed test that fails does not fail CI and is reported with its cause', () => {
    const { exitCode, lines } = evaluate(HEADER + ENTRY, {
      'src/a.test.ts': { 'lease ends on time': 'failed', other: 'passed' },
    });
    expect(exitCode).toBe(0);
    expect(lines).toEqual([
      'Known red, passed over: src/a.test.ts: lease ends on time: a slow clock (docs/failures.md, Unproved)',
    ]);
  });

  test('a listed test that passes is reported', () => {
    const { exitCode, lines } = evaluate(HEADER + ENTRY, { 'src/a.test.ts': { 'lease ends on time': 'passed' } });
    expect(exitCode).toBe(0);
    expect(lines).toEqual([
      'Listed in KNOWN-RED.txt, yet it passes; take its line out: src/a.test.ts: lease ends on time',
    ]);
  });

  test('a listed test that did not run is reported', () => {
    expect(evaluate(HEADER + ENTRY, { 'src/b.test.ts': { x: 'passed' } }).lines).toEqual([
      'Listed in KNOWN-RED.txt, not among the tests that ran: src/a.test.ts: lease ends on time',
    ]);
  });

  test('with two merged runs, a known failure in one does not excuse a failure in the other', () => {
    const { known } = parseKnownRed(HEADER + ENTRY);
    const reportWithKnownFailure = reportOf({ 'src/a.test.ts': { 'lease ends on time': 'failed' } });
    function exitCodeWith(other) {
      const report = mergeReports([reportWithKnownFailure, other]);
      return exitCodeOf(classifyResults(report, known, '/repo'), report, 1);
    }
    expect(exitCodeWith(reportOf({ 'src/b.test.ts': { x: 'passed' } }))).toBe(0);
    expect(exitCodeWith(reportOf({ 'src/b.test.ts': { x: 'failed' } }))).toBe(1);
    expect(exitCodeWith(reportOf({ 'src/b.test.ts': null }))).toBe(1);
    expect(exitCodeWith(reportOf({ 'src/b.test.ts': { x: 'passed' } }, { wasInterrupted: true }))).toBe(1);
  });

  test.each([
    ['another test', { 'src/a.test.ts': { 'lease ends on time': 'failed', other: 'failed' } }],
    ['the same name in another file', { 'src/b.test.ts': { 'lease ends on time': 'failed' } }],
    ['a suite that cannot run', { 'src/a.test.ts': { 'lease ends on time': 'failed' }, 'src/b.test.ts': null }],
  ])('%s that fails makes CI fail', (_what, suites) => {
    expect(evaluate(HEADER + ENTRY, suites).exitCode).toBe(1);
  });

  test('CI fails if a run was interrupted or failed for another reason', () => {
    const suites = { 'src/a.test.ts': { 'lease ends on time': 'failed' } };
    expect(evaluate(HEADER + ENTRY, suites, { wasInterrupted: true }).exitCode).toBe(1);
    expect(evaluate(HEADER + ENTRY, suites, { numRuntimeErrorTestSuites: 1 }).exitCode).toBe(1);
    expect(evaluate(HEADER, { 'src/a.test.ts': { x: 'passed' } }, { wasInterrupted: true }).exitCode).toBe(1);
  });

  test.each([
    ['no header', ENTRY],
    ['an entry without an issue', `${HEADER}src/a.test.ts: x\ta cause\n`],
    ['a test listed twice', HEADER + ENTRY + ENTRY],
  ])('%s is an error in the list', (_what, text) => {
    expect(parseKnownRed(text).errors).toHaveLength(1);
  });

  test('the list of this repository is well formed', () => {
    expect(loadKnownRed().errors).toEqual([]);
  });
});
