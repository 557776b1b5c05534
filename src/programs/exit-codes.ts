/** Exit codes of the command line (docs/running.md). */

/** Exit codes by meaning. */
export const EXIT = {
  ok: 0,
  internal: 1,
  usage: 2,
  cannotListen: 3,
  disk: 4,
  refused: 5,
  notConfirmed: 6,
  unreachable: 7,
} as const;
/** Any of the exit codes. */
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];
