/** Exit codes of the command line (docs/running.md). */

/** Codes by what they mean. */
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
/** One of these codes. */
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];
