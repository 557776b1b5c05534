import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect, test } from '@jest/globals';
import { ESLint } from 'eslint';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const RULE = 'names/keyed-records';

async function linesReported(code) {
  const eslint = new ESLint({ cwd: ROOT });
  const [result] = await eslint.lintText(code, { filePath: join(ROOT, 'src/state/scaling/rates.ts') });
  return result.messages.filter(({ ruleId }) => ruleId === RULE).map(({ line }) => line);
}

// Guards against tables of names from outside in plain objects: a service named `constructor` made every report malformed.
test('the lint reports a plain object that is accessed by a name, and no Map, array or fixed key', async () => {
  const code = [
    'declare const counts: Record<string, number>;',
    'declare const maybe: { readonly [name: string]: number } | undefined;',
    'declare const list: readonly number[];',
    "declare const key: 'a' | 'b';",
    'declare const name: string;',
    'const table = new Map<string, number>();',
    'counts[name] = (counts[name] ?? 0) + 1;',
    'void maybe?.[name];',
    'void [counts[key], list[0], table.get(name)];',
    'delete counts[name];',
  ].join('\n');
  expect(await linesReported(code)).toEqual([7, 7, 8]);
});
