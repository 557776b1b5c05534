/** A worker as the placement policies see it. */

/** A worker that may take a request; `knownFraction` is how much of the prompt it holds. */
export type Candidate = {
  readonly index: number;
  readonly id: string;
  readonly address: string;
  readonly zone: string;
  readonly region: string;
  readonly leaving: boolean;
  readonly evacuated: boolean;
  readonly healthy: boolean;
  readonly answersUs: boolean;
  readonly running: number;
  readonly limit: number;
  readonly agreed: boolean;
  readonly knownFraction: number;
};

/** What is known of the request and its caller. */
export type SelectionContext = {
  readonly zone: string;
  readonly region: string;
  readonly ownRegion: string;
  readonly homes: readonly string[] | null;
  readonly partitioned: boolean;
  readonly seed: string;
  readonly avoid: ReadonlySet<number>;
  readonly meanLoad: number;
};
