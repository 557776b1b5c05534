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
function mapping(more: Partial<RouteSettings>): RouteSettings {
  const shares = [
    { model: 'm', share: 90 },
    { model: 'n', share: 10 },
  ];
  return routeSettings({ shares, split: true, homes: ['north'], ...more });
}
const SOUND: Serving = {
  number: 7,
  mappings: { x: mapping({}), y: mapping({ prefix: '/p/q/', at: 1 }) },
  models: { m: MODEL, n: { ...MODEL, engine: null, at: 1 } },
  limits: DEFAULT_LIMITS,
};

function faults(path: string[], value: unknown): string[] {
  const read = readServing(withChanges(SOUND, [value === undefined ? { path } : { path, value }]));
  return read.ok ? [] : read.error.map((f) => `${f.path}: ${f.expected}; ${f.found}`);
}

describe('a served configuration', () => {
  test('a sound one is taken as it is', () => {
    expect(readServing(SOUND)).toEqual({ ok: true, value: SOUND });
    expect(readConfiguration({ serving: SOUND }).ok).toBe(true);
  });

  test.each<[string, string[], unknown, string]>([
    [
      'an unknown model',
      ['mappings', 'x', 'shares'],
      [{ model: 'ghost', share: 1 }],
      '/mappings/x/shares/0/model: a model named under models; "ghost"',
    ],
    ['a model taken away', ['models', 'n'], undefined, '/mappings/x/shares/1/model: a model named under models; "n"'],
    [
      'the same place',
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
      'a prefix without its end',
      ['mappings', 'x', 'prefix'],
      '/p',
      '/mappings/x/prefix: a path that begins and ends with a slash; "/p"',
    ],
    [
      'a prefix without its start',
      ['mappings', 'x', 'prefix'],
      'p/',
      '/mappings/x/prefix: a path that begins and ends with a slash; "p/"',
    ],
    ['homes that are no list', ['mappings', 'x', 'homes'], 'north', '/mappings/x/homes: a list of regions; "north"'],
    ['a home without a name', ['mappings', 'x', 'homes'], [''], '/mappings/x/homes/0: a text of up to 256 letters; ""'],
    [
      'a kind of its own',
      ['mappings', 'x', 'kind'],
      'socket',
      '/mappings/x/kind: one of repeatable, once, stream; "socket"',
    ],
    ['no host', ['mappings', 'x', 'host'], undefined, '/mappings/x/host: a host; nothing'],
    ['no number', ['number'], undefined, `/number: a whole number from 1 to ${Number.MAX_SAFE_INTEGER}; nothing`],
    ['no dispatches', ['mappings', 'x', 'attempts'], 0, '/mappings/x/attempts: a whole number from 1 to 1000; 0'],
    ['mappings in a list', ['mappings'], [], '/mappings: a table; []'],
    ['a model in a text', ['models', 'm'], 'm', '/models/m: a model; "m"'],
    ['a limit of no bytes', ['limits', 'headerBytes'], 0, '/limits/headerBytes: a number above 0; 0'],
  ])('%s is told by its path', (_name, path, value, said) => {
    expect(faults(path, value)).toContain(said);
  });

  test.each([null, 7, 'text', [], {}])('nonsense is a fault, not a crash: %j', (u) => {
    expect(readServing(u).ok).toBe(false);
  });

  test('inside a whole configuration the path leads there', () => {
    const read = readConfiguration({ serving: { ...SOUND, number: 0 } });
    expect(read.ok ? [] : read.error.map((f) => f.path)).toEqual(['/serving/number']);
  });
});
