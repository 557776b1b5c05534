/**
 * Names of the headers that the opaque proxy reads from callers and workers and writes to them.
 * Every deployment may have its own; the adapter of a platform gives those of the platform.
 */

/** The header that carries each piece of information, in lower case. */
export type HeaderNames = {
  readonly attemptId: string;
  readonly deadline: string;
  readonly prefix: string;
  readonly tokens: string;
  readonly urgency: string;
  readonly lastEvent: string;
  readonly seal: string;
  readonly expectWorker: string;
  readonly notRun: string;
  readonly coldMs: string;
};

/** The product's own names. */
export const OPEN_WORDS: HeaderNames = {
  attemptId: 'millfield-attempt',
  deadline: 'millfield-deadline-ms',
  prefix: 'millfield-prefix',
  tokens: 'millfield-tokens',
  urgency: 'millfield-urgency',
  lastEvent: 'last-event-id',
  seal: 'millfield-seal',
  expectWorker: 'millfield-expect-worker',
  notRun: 'millfield-not-run',
  coldMs: 'millfield-cold-ms',
};
