export type OpenWords = {
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

export const OPEN_WORDS: OpenWords = {
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
