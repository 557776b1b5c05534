import { describe, expect, test } from '@jest/globals';
import {
  classifyCase,
  classifyChecks,
  classifyResults,
  describeResults,
  exitCodeOf,
  findUnknownCases,
  findUnknownChecks,
  loadKnownRed,
  mergeReports,
  parseKnownRed,
} from './known-red.mjs';
import { OVERLOAD_CASES } from '../standin-platform/overload/cases.js';
import { SCENARIO_CHECKS, SCENARIOS } from '../standin-platform/scenarios.js';

const HEADER = 'test, cause, issue\n';
const ENTRY = 'src/a.test.ts: lease ends on time\ta slow clock\tdocs/failures.md, Unproved\n';
const CHECK = 'standin-platform/scenarios.ts: proxy-stopped: servedShare';
const CHECK_ENTRY = `${CHECK}\ta late caller\t39\n`;

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
function classify(text, scenario, failedChecks) {
  const { known, errors } = parseKnownRed(text);
  expect(errors).toEqual([]);
  return classifyChecks(scenario, failedChecks, known);
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

describe('known red checks of scenarios', () => {
  test('a listed check that fails does not fail CI and is reported with its cause', () => {
    expect(classify(HEADER + ENTRY + CHECK_ENTRY, 'proxy-stopped', ['servedShare'])).toEqual({
      knownFailures: [CHECK],
      newFailures: [],
      lines: [`Known red, passed over: ${CHECK}: a late caller (39)`],
    });
  });

  test.each(['started', 'rules', 'exits'])('another check of the same scenario, %s, makes CI fail', (check) => {
    const test = `standin-platform/scenarios.ts: proxy-stopped: ${check}`;
    const alone = classify(HEADER + CHECK_ENTRY, 'proxy-stopped', [check]);
    expect(alone).toMatchObject({ knownFailures: [], newFailures: [test] });
    expect(alone.lines).toContain(`Failed: ${test}`);
    const together = classify(HEADER + CHECK_ENTRY, 'proxy-stopped', [check, 'servedShare']);
    expect(together).toEqual({
      knownFailures: [CHECK],
      newFailures: [test],
      lines: [`Known red, passed over: ${CHECK}: a late caller (39)`, `Failed: ${test}`],
    });
  });

  test.each(['proxy-stopped-twice', 'proxy', 'worker-crash'])(
    'the same check of another scenario, %s, makes CI fail',
    (scenario) => {
      const test = `standin-platform/scenarios.ts: ${scenario}: servedShare`;
      expect(classify(HEADER + CHECK_ENTRY, scenario, ['servedShare'])).toEqual({
        knownFailures: [],
        newFailures: [test],
        lines: [`Failed: ${test}`],
      });
      expect(classify(HEADER + CHECK_ENTRY, scenario, []).lines).toEqual([]);
    },
  );

  test('a listed check that holds is reported, also if another check fails', () => {
    const line = `Listed in KNOWN-RED.txt, yet it passes; take its line out: ${CHECK}`;
    expect(classify(HEADER + CHECK_ENTRY, 'proxy-stopped', [])).toEqual({
      knownFailures: [],
      newFailures: [],
      lines: [line],
    });
    expect(classify(HEADER + CHECK_ENTRY, 'proxy-stopped', ['rules']).lines).toContain(line);
  });

  test('a listed check is not said to hold if the site did not start', () => {
    expect(classify(HEADER + CHECK_ENTRY, 'proxy-stopped', ['started']).lines).toEqual([
      'Failed: standin-platform/scenarios.ts: proxy-stopped: started',
    ]);
  });

  test('jest does not report a listed check of a scenario as not run', () => {
    expect(evaluate(HEADER + CHECK_ENTRY, { 'src/a.test.ts': { x: 'passed' } })).toEqual({ exitCode: 0, lines: [] });
  });

  test('a listed check of a scenario excuses no failure of jest', () => {
    const sameName = { 'standin-platform/scenarios.ts': { 'proxy-stopped: servedShare': 'failed' } };
    expect(evaluate(HEADER + CHECK_ENTRY, sameName)).toEqual({ exitCode: 1, lines: [`Failed: ${CHECK}`] });
    const sameNameElsewhere = { 'standin-platform/site.test.ts': { 'proxy-stopped: servedShare': 'failed' } };
    expect(evaluate(HEADER + CHECK_ENTRY, sameNameElsewhere).exitCode).toBe(1);
    expect(evaluate(HEADER + CHECK_ENTRY, { 'standin-platform/scenarios.ts': null }).exitCode).toBe(1);
  });

  test('a listed test of jest excuses no check of a scenario', () => {
    expect(classify(HEADER + ENTRY, 'lease ends on time', ['rules']).newFailures).toHaveLength(1);
  });

  test.each(['proxy-stopped', 'proxy-stopped: served', 'proxy: servedShare', 'proxy-stopped: servedShare: rules'])(
    'an entry of scenarios.ts for "%s", which is no check, is an error in the list',
    (name) => {
      const { known } = parseKnownRed(`${HEADER}${ENTRY}standin-platform/scenarios.ts: ${name}\ta cause\t39\n`);
      expect(findUnknownChecks(known, ['proxy-stopped'], SCENARIO_CHECKS)).toHaveLength(1);
    },
  );

  test('each listed check of this repository exists', () => {
    const names = SCENARIOS.map((scenario) => scenario.name);
    expect(findUnknownChecks(loadKnownRed().known, names, SCENARIO_CHECKS)).toEqual([]);
  });
});

describe('known red cases of overload', () => {
  const CASE = 'standin-platform/overload/cases.ts: bodies without end';
  const CASE_ENTRY = `${CASE}\tno bound\t45\n`;
  function classifyOverload(text, name, failedChecks) {
    const { known, errors } = parseKnownRed(text);
    expect(errors).toEqual([]);
    return classifyCase(name, failedChecks, known);
  }

  test('a listed case that fails is reported with its cause', () => {
    expect(classifyOverload(HEADER + CASE_ENTRY, 'bodies without end', ['memory'])).toEqual({
      knownFailures: [CASE],
      newFailures: [],
      lines: [`Known red, passed over: ${CASE}: no bound (45)`],
    });
  });

  test('a listed case that passes is reported', () => {
    expect(classifyOverload(HEADER + CASE_ENTRY, 'bodies without end', []).lines).toEqual([
      `Listed in KNOWN-RED.txt, yet it passes; take its line out: ${CASE}`,
    ]);
  });

  test.each([
    ['another case', 'bodies', ['memory']],
    ['a listed case whose site did not start', 'bodies without end', ['started']],
  ])('%s makes CI fail', (_what, name, failedChecks) => {
    const test = `standin-platform/overload/cases.ts: ${name}`;
    expect(classifyOverload(HEADER + CASE_ENTRY, name, failedChecks)).toEqual({
      knownFailures: [],
      newFailures: [test],
      lines: [`Failed: ${test}`],
    });
  });

  test('jest neither runs a listed case nor excuses a failure with it', () => {
    expect(evaluate(HEADER + CASE_ENTRY, { 'src/a.test.ts': { x: 'passed' } })).toEqual({ exitCode: 0, lines: [] });
    const sameName = { 'standin-platform/overload/cases.ts': { 'bodies without end': 'failed' } };
    expect(evaluate(HEADER + CASE_ENTRY, sameName).exitCode).toBe(1);
  });

  test('an entry for a case that does not exist is an error in the list', () => {
    const { known } = parseKnownRed(HEADER + CASE_ENTRY);
    expect(findUnknownCases(known, ['other'])).toHaveLength(1);
    expect(findUnknownCases(known, ['bodies without end'])).toEqual([]);
  });

  test('each listed case of this repository exists', () => {
    const names = OVERLOAD_CASES.map((each) => each.name);
    expect(findUnknownCases(loadKnownRed().known, names)).toEqual([]);
  });
});
