/**
 * Names of the headers that the opaque proxy exchanges with callers and workers. Each deployment may use its own names;
 * a platform's adapter supplies those of the platform.
 */

/** The header name, in lower case, that carries each value. */
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

/** The default header names, used where no platform supplies its own. */
export const DEFAULT_HEADER_NAMES: HeaderNames = {
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
