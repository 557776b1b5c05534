/** The version in package.json. */
import { readFileSync } from 'node:fs';

function readVersion(): string {
  const text = readFileSync(new URL('../../package.json', import.meta.url), 'utf8');
  return (JSON.parse(text) as { readonly version: string }).version;
}

/** Version of the program. */
export const VERSION = readVersion();
