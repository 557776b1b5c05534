/** The input of the placement policies: a candidate worker and the context of the selection. */

/** A worker that may be selected for a request. */
export type Candidate = {
  readonly index: number;
  readonly id: string;
  readonly address: string;
  readonly zone: string;
  readonly region: string;
  readonly leaving: boolean;
  readonly evacuated: boolean;
  readonly healthy: boolean;
  /** Responds to health checks of this proxy. */
  readonly answersUs: boolean;
  readonly running: number;
  readonly limit: number;
  /** Belongs to the candidates that every proxy derives from the prompt. */
  readonly agreed: boolean;
  /** Fraction of the prompt that the worker has cached. */
  readonly knownFraction: number;
};

/** Properties of the request, its caller and the selecting proxy. */
export type SelectionContext = {
  /** Zone and region of the caller. */
  readonly zone: string;
  readonly region: string;
  /** Region of the selecting proxy. */
  readonly ownRegion: string;
  readonly homes: readonly string[] | null;
  readonly partitioned: boolean;
  /** Key of the hash that spreads prompts over workers. */
  readonly seed: string;
  /** Indexes of workers that were tried already. */
  readonly avoid: ReadonlySet<number>;
  readonly meanLoad: number;
};
