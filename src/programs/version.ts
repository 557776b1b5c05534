/** The version of the program, as package.json has it. */
import { readFileSync } from 'node:fs';

function readVersion(): string {
  const text = readFileSync(new URL('../../package.json', import.meta.url), 'utf8');
  return (JSON.parse(text) as { readonly version: string }).version;
}

/** Version from package.json, such as 1.2.3. */
export const VERSION = readVersion();
