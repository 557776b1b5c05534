/** What all commands share: output, usage errors and signals. */
import type { ArgsDef } from 'citty';
import { EXIT } from './exit-codes.js';
import type { ExitCode } from './exit-codes.js';

/** Writes a line to standard error. */
export function complain(text: string): void {
  process.stderr.write(`${text}\n`);
}

/** Writes a line to standard output. */
export function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

function known(defs: ArgsDef): Set<string> {
  const out = new Set<string>(['help', 'h', 'version', 'v']);
  for (const key of Object.keys(defs)) {
    out.add(key);
    out.add(key.replace(/[A-Z]/g, dashed));
  }
  return out;
}
function dashed(character: string): string {
  return `-${character.toLowerCase()}`;
}

/** Whether all flags are known; complains of the first that is not. */
export function flagsFit(rawArgs: readonly string[], defs: ArgsDef): boolean {
  const names = known(defs);
  let positional = 0;
  let room = 0;
  for (const def of Object.values(defs)) if (def.type === 'positional') room += 1;
  for (let i = 0; i < rawArgs.length; i += 1) {
    const arg = rawArgs[i] as string;
    if (!arg.startsWith('-') || arg === '-') {
      positional += 1;
      continue;
    }
    const name = arg.replace(/^--?/, '').split('=')[0] as string;
    const def = defs[name] ?? defs[camel(name)];
    if (!names.has(name) || def?.type === 'positional') {
      complain(`flag --${name}: expected one of ${[...Object.keys(defs)].join(', ')}; found ${JSON.stringify(arg)}`);
      return false;
    }
    if (def && def.type !== 'boolean' && !arg.includes('=')) {
      i += 1;
      if (i >= rawArgs.length || (rawArgs[i] as string).startsWith('--')) {
        complain(`flag --${name}: expected a value; found nothing`);
        return false;
      }
    }
  }
  if (positional > room) {
    complain(`arguments: expected ${room} at most; found ${positional}`);
    return false;
  }
  return true;
}
function camel(name: string): string {
  return name.replace(/-([a-z])/g, upper);
}
function upper(_m: string, character: string): string {
  return character.toUpperCase();
}

/** Ends with this code once output is written. */
export function leave(code: ExitCode): void {
  process.exitCode = code;
}

/** Ends with the code for wrong usage. */
export function leaveUsage(): void {
  leave(EXIT.usage);
}

/** Calls `stop` on SIGTERM or SIGINT, then ends the process. */
export function onStop(stop: () => Promise<void>): void {
  let stopping = false;
  function signalled(): void {
    if (stopping) return;
    stopping = true;
    void stop().then(gone);
  }
  function gone(): void {
    process.exit(EXIT.ok);
  }
  process.on('SIGTERM', signalled);
  process.on('SIGINT', signalled);
}
