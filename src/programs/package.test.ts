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
const packageJson = JSON.parse(readFileSync(join(ROOT, 'package.json'), 'utf8')) as Package;
let tempFolder = '';

beforeAll(() => {
  tempFolder = mkdtempSync(join(tmpdir(), 'millfield-'));
  const packageFolder = join(tempFolder, 'node_modules', 'millfield');
  mkdirSync(packageFolder, { recursive: true });
  writeFileSync(join(tempFolder, 'package.json'), JSON.stringify({ name: 'caller', private: true }));
  const source = join(tempFolder, 'source');
  for (const entry of ['package.json', 'README.md', 'LICENSE', 'docs', 'examples'])
    cpSync(join(ROOT, entry), join(source, entry), { recursive: true });
  execFileSync(
    process.execPath,
    [join(ROOT, 'node_modules/typescript/bin/tsc'), '-p', 'tsconfig.build.json', '--outDir', join(source, 'dist')],
    { cwd: ROOT },
  );
  const packOutput = execFileSync('npm', ['pack', '--json', '--ignore-scripts', '--pack-destination', tempFolder], {
    cwd: source,
    encoding: 'utf8',
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  const tarball = /"filename": "([^"]+)"/.exec(packOutput)?.[1] ?? '';
  execFileSync('tar', ['-xzf', join(tempFolder, tarball), '-C', packageFolder, '--strip-components=1']);
  for (const name of Object.keys(packageJson.dependencies)) {
    mkdirSync(dirname(join(tempFolder, 'node_modules', name)), { recursive: true });
    symlinkSync(join(ROOT, 'node_modules', name), join(tempFolder, 'node_modules', name));
  }
});
afterAll(() => rmSync(tempFolder, { recursive: true, force: true }));

function node(...args: string[]): string {
  return execFileSync(process.execPath, args, {
    cwd: tempFolder,
    encoding: 'utf8',
    env: { PATH: process.env['PATH'] ?? '' },
  });
}

describe('the packed package, installed by a caller', () => {
  test('exports millfield/client', () => {
    expect(
      node(
        '--input-type=module',
        '-e',
        "import { createClient } from 'millfield/client'; console.log(typeof createClient({ proxies: [] }).send)",
      ).trim(),
    ).toBe('function');
  });

  test('has a bin program that runs', () => {
    expect(node(join('node_modules', 'millfield', packageJson.bin.millfield), '--version')).toMatch(/\d+\.\d+\.\d+/);
  });
});

test('every npm script that the documentation mentions exists', () => {
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
  expect([...named].filter((n) => packageJson.scripts[n] === undefined)).toEqual([]);
});
