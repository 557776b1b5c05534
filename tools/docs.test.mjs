import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { basename } from 'node:path';
import { expect, test } from '@jest/globals';

const sourceFiles = execFileSync('git', ['ls-files', '-co', '--exclude-standard', '*.ts', '*.mjs'], {
  encoding: 'utf8',
})
  .split('\n')
  .filter(Boolean);

/** Returns the module paths in a page that match no source file; a name without a folder matches in any folder. */
function unknownModulesIn(text) {
  const modulePaths = [...text.matchAll(/`([\w./-]+\.(?:ts|mjs))`/g)].map((m) => m[1]);
  return modulePaths.filter((name) =>
    name.includes('/')
      ? !sourceFiles.some((s) => s.endsWith(`/${name}`) || s === name)
      : !sourceFiles.some((s) => basename(s) === name),
  );
}

test.each(['docs/life-of.md', 'docs/architecture.md', 'standin-platform/README.md'])(
  '%s names only modules that exist',
  (page) => {
    const text = readFileSync(page, 'utf8');
    expect(text).toMatch(/`[\w./-]+\.ts`/);
    expect(unknownModulesIn(text)).toEqual([]);
  },
);

test('a module that does not exist is found', () => {
  expect(unknownModulesIn('see `ledger/gone.ts` and `docs.test.mjs`')).toEqual(['ledger/gone.ts']);
});
