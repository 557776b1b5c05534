import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { basename } from 'node:path';
import { expect, test } from '@jest/globals';

const sources = execFileSync('git', ['ls-files', '-co', '--exclude-standard', '*.ts', '*.mjs'], { encoding: 'utf8' })
  .split('\n')
  .filter(Boolean);

/** Names of modules in a page that no file ends with; a bare name fits in any folder. */
function unknownIn(text) {
  const named = [...text.matchAll(/`([\w./-]+\.(?:ts|mjs))`/g)].map((m) => m[1]);
  return named.filter((name) =>
    name.includes('/')
      ? !sources.some((s) => s.endsWith(`/${name}`) || s === name)
      : !sources.some((s) => basename(s) === name),
  );
}

test.each(['docs/life-of.md', 'docs/architecture.md', 'standin-platform/README.md'])(
  '%s names only modules that there are',
  (page) => {
    const text = readFileSync(page, 'utf8');
    expect(text).toMatch(/`[\w./-]+\.ts`/);
    expect(unknownIn(text)).toEqual([]);
  },
);

test('a module that is gone is seen', () => {
  expect(unknownIn('see `ledger/gone.ts` and `docs.test.mjs`')).toEqual(['ledger/gone.ts']);
});
