import { describe, expect, test } from '@jest/globals';
import { readFileSync } from 'node:fs';
import { parse } from 'yaml';
import { readConfiguration } from './configuration.js';

function errorPaths(doc: unknown): string[] {
  const read = readConfiguration(doc);
  return read.ok ? [] : read.error.map((error) => error.path);
}

describe('configuration', () => {
  test.each(['kutfo', 'telar'])('the example %s is valid', (name) => {
    expect(errorPaths(parse(readFileSync(`examples/${name}.yaml`, 'utf8')))).toEqual([]);
  });

  test('every error is reported, each with its path', () => {
    expect(
      errorPaths({
        zones: { a: { region: 'north' }, 'b c': {} },
        deployment: { nExtra: -1, colour: 'blue', minTarget: 5, maxTarget: 2, homes: { card: [] } },
        regions: {
          north: { settings: { zones: ['a', 'nowhere'] }, models: { m: { qTar: 'fast' } }, extra: 1 },
          south: { models: { m: { homes: { card: ['west'] } } } },
        },
        mappings: { x: { model: 'ghost' } },
        more: true,
      }).sort(),
    ).toEqual(
      [
        '/deployment/colour',
        '/deployment/homes/card',
        '/deployment/minTarget',
        '/deployment/nExtra',
        '/mappings/x/model',
        '/more',
        '/regions/north/extra',
        '/regions/north/models/m/qTar',
        '/regions/north/settings/zones',
        '/regions/south',
        '/regions/south/models/m',
        '/regions/south/models/m/homes/card',
        '/zones/b c',
        '/zones/b c/region',
      ].sort(),
    );
  });

  test.each([null, 7, 'text', [], { zones: [] }, { zones: {}, regions: 3 }])(
    'a malformed document is an error, not a crash: %j',
    (doc) => {
      const read = readConfiguration(doc);
      expect(read.ok).toBe(
        doc !== null && typeof doc === 'object' && Object.keys(doc).length === 0 && !Array.isArray(doc),
      );
    },
  );
});
