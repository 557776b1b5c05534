import { describe, expect, test } from '@jest/globals';
import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, normalize } from 'node:path';

const IMPORTED = /\b(?:from|import)\s*\(?\s*['"](\.[^'"]+)['"]/g;

function filesIn(folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter((f) => /\.(ts|mjs)$/.test(f))
    .map((f) => join(folder, f));
}

function importsOf(file: string): string[] {
  const found = [...readFileSync(file, 'utf8').matchAll(IMPORTED)].map((m) => m[1] as string);
  return found.map((to) => normalize(join(dirname(file), to)).replace(/\.js$/, '.ts'));
}

function circlesIn(imports: ReadonlyMap<string, readonly string[]>): string[] {
  const done = new Set<string>();
  const path: string[] = [];
  const circles: string[] = [];
  function visit(file: string): void {
    if (path.includes(file)) {
      circles.push([...path.slice(path.indexOf(file)), file].join(' > '));
      return;
    }
    if (done.has(file)) return;
    path.push(file);
    for (const to of imports.get(file) ?? []) visit(to);
    path.pop();
    done.add(file);
  }
  for (const file of imports.keys()) visit(file);
  return circles;
}

describe('imports', () => {
  const imports = new Map(
    ['src', 'platform', 'standin-platform', 'tools'].flatMap(filesIn).map((f) => [f, importsOf(f)]),
  );

  test('a circle is seen, in however many steps', () => {
    const circles = circlesIn(
      new Map([
        ['a', ['b', 'd']],
        ['b', ['c']],
        ['c', ['a']],
        ['d', ['d']],
      ]),
    );
    expect(circles).toEqual(['a > b > c > a', 'd > d']);
  });

  test('all files are read, and what they name is found', () => {
    expect(imports.size).toBeGreaterThan(200);
    const sources = [...imports].filter(([file]) => !file.startsWith('tools'));
    const lost = sources.flatMap(([file, to]) =>
      to.filter((t) => t.endsWith('.ts') && !imports.has(t)).map((t) => `${file}: ${t}`),
    );
    expect(lost).toEqual([]);
  });

  test('no files import each other in a circle, types included', () => {
    expect(circlesIn(imports)).toEqual([]);
  });
});
