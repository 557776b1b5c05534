import { afterAll, beforeAll, describe, expect, test } from '@jest/globals';
import { execFileSync } from 'node:child_process';
import { cpSync, mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';

const ROOT = resolve('.');
type Package = {
  readonly scripts: Record<string, string>;
  readonly dependencies: Record<string, string>;
  readonly bin: { readonly millfield: string };
};
const own = JSON.parse(readFileSync(join(ROOT, 'package.json'), 'utf8')) as Package;
let folder = '';

beforeAll(() => {
  folder = mkdtempSync(join(tmpdir(), 'millfield-'));
  const at = join(folder, 'node_modules', 'millfield');
  mkdirSync(at, { recursive: true });
  writeFileSync(join(folder, 'package.json'), JSON.stringify({ name: 'caller', private: true }));
  const source = join(folder, 'source');
  for (const part of ['package.json', 'README.md', 'LICENSE', 'docs', 'examples'])
    cpSync(join(ROOT, part), join(source, part), { recursive: true });
  execFileSync(
    process.execPath,
    [join(ROOT, 'node_modules/typescript/bin/tsc'), '-p', 'tsconfig.build.json', '--outDir', join(source, 'dist')],
    { cwd: ROOT },
  );
  const told = execFileSync('npm', ['pack', '--json', '--ignore-scripts', '--pack-destination', folder], {
    cwd: source,
    encoding: 'utf8',
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  const file = /"filename": "([^"]+)"/.exec(told)?.[1] ?? '';
  execFileSync('tar', ['-xzf', join(folder, file), '-C', at, '--strip-components=1']);
  for (const name of Object.keys(own.dependencies)) {
    mkdirSync(dirname(join(folder, 'node_modules', name)), { recursive: true });
    symlinkSync(join(ROOT, 'node_modules', name), join(folder, 'node_modules', name));
  }
});
afterAll(() => rmSync(folder, { recursive: true, force: true }));

function node(...args: string[]): string {
  return execFileSync(process.execPath, args, {
    cwd: folder,
    encoding: 'utf8',
    env: { PATH: process.env['PATH'] ?? '' },
  });
}

describe('the packed package, in a folder of a caller', () => {
  test('gives millfield/client to a caller', () => {
    expect(
      node(
        '--input-type=module',
        '-e',
        "import { createClient } from 'millfield/client'; console.log(typeof createClient({ proxies: [] }).send)",
      ).trim(),
    ).toBe('function');
  });

  test('runs its program', () => {
    expect(node(join('node_modules', 'millfield', own.bin.millfield), '--version')).toMatch(/\d+\.\d+\.\d+/);
  });
});

test('every npm script that the documents name exists', () => {
  const pages = [
    'README.md',
    ...readdirSync('docs', { recursive: true })
      .map((f) => join('docs', String(f)))
      .filter((f) => f.endsWith('.md')),
  ];
  const named = new Set(
    pages.flatMap((p) => [...readFileSync(p, 'utf8').matchAll(/npm\s+run\s+([a-z]+)/g)].map((m) => m[1] as string)),
  );
  expect([...named].sort()).toEqual(expect.arrayContaining(['bench', 'build', 'replay', 'soak']));
  expect([...named].filter((n) => own.scripts[n] === undefined)).toEqual([]);
});
