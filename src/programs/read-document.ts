/** Reads documents that operators pass to commands, in YAML or JSON. */
import { readFileSync } from 'node:fs';
import { parse as parseYaml } from 'yaml';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';

/** Returns the parsed document of a file, or the reason why it cannot be read or parsed. */
export function readDocument(path: string): Result<unknown, string> {
  try {
    return ok(parseYaml(readFileSync(path, 'utf8')));
  } catch (error) {
    return err(error instanceof Error ? error.message : String(error));
  }
}
