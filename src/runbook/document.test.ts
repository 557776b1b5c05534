import { describe, expect, test } from '@jest/globals';
import { readdirSync, readFileSync } from 'node:fs';
import { readRunbook } from './document.js';

const validRunbook = `runbook: r
about: a
inputs:
  zone: the zone
steps:
  - name: first
    require: { quorate: }
  - name: second \${zone}
    evacuate: { zone: "\${zone}" }
  - name: third
    wait: { until: { zoneOrders: { zone: "\${zone}", atMost: 0 } }, withinS: 5 }
`;
function errorsOf(text: string, inputs: Record<string, string> | null = null): string[] {
  const read = readRunbook(text, inputs);
  return read.ok ? [] : read.error.map((f) => `${f.line}: ${f.reason}`);
}

describe('runbook documents', () => {
  test.each(readdirSync('runbooks'))('the shipped %s is valid', (file) => {
    expect(errorsOf(readFileSync(`runbooks/${file}`, 'utf8'))).toEqual([]);
  });

  test('inputs are filled in', () => {
    const read = readRunbook(validRunbook, { zone: 'z9' });
    expect(read.ok && read.value.steps[1]).toMatchObject({
      name: 'second z9',
      work: { tag: 'evacuate', zone: 'z9' },
      line: 8,
    });
  });

  test.each<[string, (s: string) => string, string]>([
    ['an unknown step', (s) => s.replace('    evacuate:', '    explode:'), '9: unknown step explode'],
    ['a missing value', (s) => s.replace(', withinS: 5', ''), '11: wait: withinS is missing'],
    [
      'a missing condition',
      (s) => s.replace('until: { zoneOrders: { zone: "${zone}", atMost: 0 } }, ', ''),
      '11: wait: until is missing',
    ],
    ['an unknown condition', (s) => s.replace('quorate:', 'sunny:'), '7: require: expected one condition'],
    [
      'a value of the wrong type',
      (s) => s.replace('withinS: 5', 'withinS: soon'),
      '11: wait: withinS must be a number',
    ],
    [
      'an unknown value',
      (s) => s.replace('atMost: 0', 'atMost: 0, atWorst: 3'),
      '11: zoneOrders: unknown value atWorst',
    ],
    [
      'an undeclared input',
      (s) => s.replace('"${zone}" }\n  - name: third', '"${region}" }\n  - name: third'),
      '9: input region is not declared',
    ],
    [
      'two kinds of work in one step',
      (s) => s.replace('    evacuate:', '    restore: { zone: a }\n    evacuate:'),
      '10: a step does one thing',
    ],
    ['a step without work', (s) => s.replace('    require: { quorate: }\n', ''), '6: step: expected one of'],
    [
      'a step without a name',
      (s) => s.replace('  - name: first\n    require', '  - require'),
      '6: step: name is missing',
    ],
    ['invalid YAML', (s) => `${s}\n  - name: {`, ''],
    ['no steps', (s) => s.slice(0, s.indexOf('  - name')), '1: steps: expected a list'],
  ])('%s is rejected with its line', (_what, edit, expected) => {
    const errors = errorsOf(edit(validRunbook));
    expect(errors.some((f) => f.startsWith(expected))).toBe(true);
  });

  test('missing and undeclared inputs are rejected', () => {
    expect(errorsOf(validRunbook, {})).toEqual(['1: input zone is missing: the zone']);
    expect(errorsOf(validRunbook, { zone: 'z', planet: 'mars' })).toEqual([
      '1: input planet is not one of this runbook: zone',
    ]);
  });
});
