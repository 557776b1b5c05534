import { describe, expect, test } from '@jest/globals';
import { joined, knownRed, readKnownRed, tell, verdictOf, weigh } from './known-red.mjs';

const HEADER = 'test, cause, issue\n';
const LINE = 'src/a.test.ts: lease ends on time\ta slow clock\tdocs/failures.md, Unproved\n';

function reportOf(suites, more = {}) {
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
    ...more,
  };
}
function judged(text, suites, more) {
  const { known, faults } = readKnownRed(text);
  expect(faults).toEqual([]);
  const report = reportOf(suites, more);
  const found = weigh(report, known, '/repo');
  const code = report.numFailedTests + report.numRuntimeErrorTestSuites > 0 || report.wasInterrupted ? 1 : 0;
  return { verdict: verdictOf(found, report, code), told: tell(found, known) };
}

describe('known red tests', () => {
  test('a listed test that fails is passed over and told with its cause', () => {
    const { verdict, told } = judged(HEADER + LINE, {
      'src/a.test.ts': { 'lease ends on time': 'failed', other: 'passed' },
    });
    expect(verdict).toBe(0);
    expect(told).toEqual([
      'Known red, passed over: src/a.test.ts: lease ends on time: a slow clock (docs/failures.md, Unproved)',
    ]);
  });

  test('a listed test that passes is told', () => {
    const { verdict, told } = judged(HEADER + LINE, { 'src/a.test.ts': { 'lease ends on time': 'passed' } });
    expect(verdict).toBe(0);
    expect(told).toEqual([
      'Listed in KNOWN-RED.txt, yet it passes; take its line out: src/a.test.ts: lease ends on time',
    ]);
  });

  test('a listed test that did not run is told', () => {
    expect(judged(HEADER + LINE, { 'src/b.test.ts': { x: 'passed' } }).told).toEqual([
      'Listed in KNOWN-RED.txt, not among the tests that ran: src/a.test.ts: lease ends on time',
    ]);
  });

  test('of two runs, one whose listed test fails does not cover what fails in the other', () => {
    const { known } = readKnownRed(HEADER + LINE);
    const red = reportOf({ 'src/a.test.ts': { 'lease ends on time': 'failed' } });
    function verdict(other) {
      const report = joined([red, other]);
      return verdictOf(weigh(report, known, '/repo'), report, 1);
    }
    expect(verdict(reportOf({ 'src/b.test.ts': { x: 'passed' } }))).toBe(0);
    expect(verdict(reportOf({ 'src/b.test.ts': { x: 'failed' } }))).toBe(1);
    expect(verdict(reportOf({ 'src/b.test.ts': null }))).toBe(1);
    expect(verdict(reportOf({ 'src/b.test.ts': { x: 'passed' } }, { wasInterrupted: true }))).toBe(1);
  });

  test.each([
    ['another test', { 'src/a.test.ts': { 'lease ends on time': 'failed', other: 'failed' } }],
    ['the same name in another file', { 'src/b.test.ts': { 'lease ends on time': 'failed' } }],
    ['a suite that can not run', { 'src/a.test.ts': { 'lease ends on time': 'failed' }, 'src/b.test.ts': null }],
  ])('%s that fails, fails', (_what, suites) => {
    expect(judged(HEADER + LINE, suites).verdict).toBe(1);
  });

  test('a run that was interrupted, or failed for something else, fails', () => {
    const suites = { 'src/a.test.ts': { 'lease ends on time': 'failed' } };
    expect(judged(HEADER + LINE, suites, { wasInterrupted: true }).verdict).toBe(1);
    expect(judged(HEADER + LINE, suites, { numRuntimeErrorTestSuites: 1 }).verdict).toBe(1);
    expect(judged(HEADER, { 'src/a.test.ts': { x: 'passed' } }, { wasInterrupted: true }).verdict).toBe(1);
  });

  test.each([
    ['no header', LINE],
    ['a line without its issue', `${HEADER}src/a.test.ts: x\ta cause\n`],
    ['a test named twice', HEADER + LINE + LINE],
  ])('%s is a fault of the list', (_what, text) => {
    expect(readKnownRed(text).faults).toHaveLength(1);
  });

  test('the list of this repository is well formed', () => {
    expect(knownRed().faults).toEqual([]);
  });
});
