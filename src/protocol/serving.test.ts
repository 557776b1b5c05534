import { describe, expect, test } from '@jest/globals';
import { routeSettings } from '../sim/builders.js';
import { DEFAULT_LIMITS } from '../state/configuration/serving.js';
import type { RouteSettings, ModelTraits, Serving } from '../state/configuration/serving.js';
import { withChanges } from '../state/configuration/settings-tree.js';
import { readConfiguration } from './configuration.js';
import { readServing } from './serving.js';

const MODEL: ModelTraits = {
  at: 0,
  probePath: '/health',
  maxConns: 10,
  coldS: 0,
  coldRateS: 0,
  engine: { batch: 64, kvTokens: 1_000 },
};
function route(overrides: Partial<RouteSettings>): RouteSettings {
  const shares = [
    { model: 'm', share: 90 },
    { model: 'n', share: 10 },
  ];
  return routeSettings({ shares, split: true, homes: ['north'], ...overrides });
}
const VALID_SERVING: Serving = {
  number: 7,
  mappings: { x: route({}), y: route({ prefix: '/p/q/', at: 1 }) },
  models: { m: MODEL, n: { ...MODEL, engine: null, at: 1 } },
  limits: DEFAULT_LIMITS,
};

function errorsAfterChange(path: string[], value: unknown): string[] {
  const read = readServing(withChanges(VALID_SERVING, [value === undefined ? { path } : { path, value }]));
  return read.ok ? [] : read.error.map((error) => `${error.path}: ${error.expected}; ${error.found}`);
}

describe('a served configuration', () => {
  test('a valid one is accepted unchanged', () => {
    expect(readServing(VALID_SERVING)).toEqual({ ok: true, value: VALID_SERVING });
    expect(readConfiguration({ serving: VALID_SERVING }).ok).toBe(true);
  });

  test.each<[string, string[], unknown, string]>([
    [
      'an unknown model',
      ['mappings', 'x', 'shares'],
      [{ model: 'ghost', share: 1 }],
      '/mappings/x/shares/0/model: a model named under models; "ghost"',
    ],
    [
      'a model that was removed',
      ['models', 'n'],
      undefined,
      '/mappings/x/shares/1/model: a model named under models; "n"',
    ],
    [
      'the host and prefix of another route',
      ['mappings', 'y', 'prefix'],
      '/p/',
      '/mappings/y/prefix: a host and prefix that x does not have; "a.example /p/"',
    ],
    [
      'shares that sum to 0',
      ['mappings', 'x', 'shares'],
      [{ model: 'm', share: 0 }],
      '/mappings/x/shares: shares that add up to more than 0; [{"model":"m","share":0}]',
    ],
    ['no shares', ['mappings', 'x', 'shares'], [], '/mappings/x/shares: shares that add up to more than 0; []'],
    [
      'a share below 0',
      ['mappings', 'x', 'shares'],
      [{ model: 'm', share: -1 }],
      `/mappings/x/shares/0/share: a number from 0 to ${Number.MAX_SAFE_INTEGER}; -1`,
    ],
    ['no deadline', ['mappings', 'x', 'deadlineMs'], 0, '/mappings/x/deadlineMs: a number above 0; 0'],
    [
      'a prefix without its final slash',
      ['mappings', 'x', 'prefix'],
      '/p',
      '/mappings/x/prefix: a path that begins and ends with a slash; "/p"',
    ],
    [
      'a prefix without its leading slash',
      ['mappings', 'x', 'prefix'],
      'p/',
      '/mappings/x/prefix: a path that begins and ends with a slash; "p/"',
    ],
    ['homes that are not a list', ['mappings', 'x', 'homes'], 'north', '/mappings/x/homes: a list of regions; "north"'],
    [
      'a home with an empty name',
      ['mappings', 'x', 'homes'],
      [''],
      '/mappings/x/homes/0: a text of up to 256 letters; ""',
    ],
    [
      'an unknown kind',
      ['mappings', 'x', 'kind'],
      'socket',
      '/mappings/x/kind: one of repeatable, once, stream; "socket"',
    ],
    ['no host', ['mappings', 'x', 'host'], undefined, '/mappings/x/host: a host; nothing'],
    ['no number', ['number'], undefined, `/number: a whole number from 1 to ${Number.MAX_SAFE_INTEGER}; nothing`],
    ['no attempts', ['mappings', 'x', 'attempts'], 0, '/mappings/x/attempts: a whole number from 1 to 1000; 0'],
    ['routes in a list', ['mappings'], [], '/mappings: a table; []'],
    ['a text in place of a model', ['models', 'm'], 'm', '/models/m: a model; "m"'],
    ['a limit of 0 bytes', ['limits', 'headerBytes'], 0, '/limits/headerBytes: a number above 0; 0'],
  ])('%s is reported with its path', (_name, path, value, expected) => {
    expect(errorsAfterChange(path, value)).toContain(expected);
  });

  test.each([null, 7, 'text', [], {}])('a malformed document is an error, not a crash: %j', (document) => {
    expect(readServing(document).ok).toBe(false);
  });

  test('inside a complete configuration paths start with /serving', () => {
    const read = readConfiguration({ serving: { ...VALID_SERVING, number: 0 } });
    expect(read.ok ? [] : read.error.map((error) => error.path)).toEqual(['/serving/number']);
  });
});
