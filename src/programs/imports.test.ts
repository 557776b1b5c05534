import { describe, expect, test } from '@jest/globals';
import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, normalize } from 'node:path';

const IMPORT_PATTERN = /\b(?:from|import)\s*\(?\s*['"](\.[^'"]+)['"]/g;

function filesIn(folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter((f) => /\.(ts|mjs)$/.test(f))
    .map((f) => join(folder, f));
}

function importsOf(file: string): string[] {
  const found = [...readFileSync(file, 'utf8').matchAll(IMPORT_PATTERN)].map((m) => m[1] as string);
  return found.map((to) => normalize(join(dirname(file), to)).replace(/\.js$/, '.ts'));
}

function findCycles(imports: ReadonlyMap<string, readonly string[]>): string[] {
  const visited = new Set<string>();
  const path: string[] = [];
  const cycles: string[] = [];
  function visit(file: string): void {
    if (path.includes(file)) {
      cycles.push([...path.slice(path.indexOf(file)), file].join(' > '));
      return;
    }
    if (visited.has(file)) return;
    path.push(file);
    for (const to of imports.get(file) ?? []) visit(to);
    path.pop();
    visited.add(file);
  }
  for (const file of imports.keys()) visit(file);
  return cycles;
}

describe('imports', () => {
  const imports = new Map(
    ['src', 'platform', 'standin-platform', 'tools'].flatMap(filesIn).map((f) => [f, importsOf(f)]),
  );

  test('finds cycles of any length', () => {
    const cycles = findCycles(
      new Map([
        ['a', ['b', 'd']],
        ['b', ['c']],
        ['c', ['a']],
        ['d', ['d']],
      ]),
    );
    expect(cycles).toEqual(['a > b > c > a', 'd > d']);
  });

  test('reads all files and resolves every imported source file', () => {
    expect(imports.size).toBeGreaterThan(200);
    const sources = [...imports].filter(([file]) => !file.startsWith('tools'));
    const unresolved = sources.flatMap(([file, to]) =>
      to.filter((t) => t.endsWith('.ts') && !imports.has(t)).map((t) => `${file}: ${t}`),
    );
    expect(unresolved).toEqual([]);
  });

  test('has no import cycles, type imports included', () => {
    expect(findCycles(imports)).toEqual([]);
  });
});
