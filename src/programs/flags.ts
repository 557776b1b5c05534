/** Helpers that the commands share: output, validation of flags, exit codes and stop signals. */
import type { ArgsDef } from 'citty';
import { EXIT } from './exit-codes.js';
import type { ExitCode } from './exit-codes.js';
import { ownValue } from '../base/own-value.js';

/** Writes a line to standard error. */
export function printError(text: string): void {
  process.stderr.write(`${text}\n`);
}

/** Writes a line to standard output. */
export function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

function knownFlags(defs: ArgsDef): Set<string> {
  const names = new Set<string>(['help', 'h', 'version', 'v']);
  for (const key of Object.keys(defs)) {
    names.add(key);
    names.add(key.replace(/[A-Z]/g, toDashed));
  }
  return names;
}
function toDashed(character: string): string {
  return `-${character.toLowerCase()}`;
}

/**
 * Whether all flags are known, those with a value have one, and there are not too many positional arguments. Prints the
 * first error.
 */
export function areFlagsValid(rawArgs: readonly string[], defs: ArgsDef): boolean {
  const names = knownFlags(defs);
  let positional = 0;
  let maxPositional = 0;
  for (const def of Object.values(defs)) if (def.type === 'positional') maxPositional += 1;
  for (let i = 0; i < rawArgs.length; i += 1) {
    const arg = rawArgs[i] as string;
    if (!arg.startsWith('-') || arg === '-') {
      positional += 1;
      continue;
    }
    const name = arg.replace(/^--?/, '').split('=')[0] as string;
    const def = ownValue(defs, name) ?? ownValue(defs, toCamelCase(name));
    if (!names.has(name) || def?.type === 'positional') {
      printError(`flag --${name}: expected one of ${[...Object.keys(defs)].join(', ')}; found ${JSON.stringify(arg)}`);
      return false;
    }
    if (def && def.type !== 'boolean' && !arg.includes('=')) {
      i += 1;
      if (i >= rawArgs.length || (rawArgs[i] as string).startsWith('--')) {
        printError(`flag --${name}: expected a value; found nothing`);
        return false;
      }
    }
  }
  if (positional > maxPositional) {
    printError(`arguments: expected at most ${maxPositional}; found ${positional}`);
    return false;
  }
  return true;
}
function toCamelCase(name: string): string {
  return name.replace(/-([a-z])/g, upperCaseLetter);
}
function upperCaseLetter(_match: string, character: string): string {
  return character.toUpperCase();
}

/** Sets the exit code. The process ends by itself, so that all output is written first. */
export function setExitCode(code: ExitCode): void {
  process.exitCode = code;
}

/** Sets the exit code for wrong usage. */
export function setUsageExitCode(): void {
  setExitCode(EXIT.usage);
}

/** Calls `stop` on the first SIGTERM or SIGINT, then ends the process. */
export function onStopSignal(stop: () => Promise<void>): void {
  let stopping = false;
  function onSignal(): void {
    if (stopping) return;
    stopping = true;
    void stop().then(exit);
  }
  function exit(): void {
    process.exit(EXIT.ok);
  }
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}
