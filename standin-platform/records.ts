/** The journal of a run: what callers, workers, the list and the operator did. `check.ts` judges the product by it. */

/** How a request may be retried: at any time, only if it was not executed, or as a stream. */
export type RequestKind = 'repeatable' | 'once' | 'stream';

/** An event of a stream: event `n` of `of`, with the seal of its run. */
export type EventSeen = { readonly id: number; readonly run: string; readonly n: number; readonly of: number };

/** How an attempt ended for its caller. */
export type AttemptEnd = 'whole' | 'cut' | 'garbage' | 'deadline' | 'silence' | 'noConnection';

/** A caller starts an attempt. */
export type Asked = {
  readonly what: 'asked';
  readonly at: number;
  readonly attempt: string;
  readonly call: string;
  readonly edge: string;
  readonly zone: string;
  readonly region: string;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly digest: string;
  readonly deadlineMs: number;
  readonly lastEvent: number;
  readonly direct: boolean;
};

/** The attempt was written to the socket in full. */
export type Sent = { readonly what: 'sent'; readonly at: number; readonly attempt: string };

/** What the caller received for an attempt. */
export type Answered = {
  readonly what: 'answered';
  readonly at: number;
  readonly attempt: string;
  readonly end: AttemptEnd;
  readonly status: number;
  readonly seal: string | null;
  readonly echo: string | null;
  readonly digest: string;
  readonly events: readonly EventSeen[];
};

/** A caller received bytes that belong to no response, or that are no valid response. */
export type Stray = {
  readonly what: 'stray';
  readonly at: number;
  readonly edge: string;
  readonly attempt: string | null;
  readonly text: string;
};

/** A request arrived at a worker; `visit` identifies this arrival in later records. */
export type Arrived = {
  readonly what: 'arrived';
  readonly at: number;
  readonly visit: string;
  readonly attempt: string | null;
  readonly worker: string;
  readonly model: string;
  readonly zone: string;
  readonly region: string;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly expect: string | null;
  readonly deadlineMs: number;
  readonly lastEvent: number;
  readonly probe: boolean;
  readonly headers: Readonly<Record<string, string>>;
};

/** The worker rejected the request without running it. */
export type Refused = {
  readonly what: 'refused';
  readonly at: number;
  readonly visit: string;
  readonly status: number;
};

/** The worker began to run the request; `seal` is unique to this run. */
export type Ran = {
  readonly what: 'ran';
  readonly at: number;
  readonly visit: string;
  readonly attempt: string;
  readonly digest: string;
  readonly seal: string;
};

/** The run ended, with what the worker sent. */
export type Finished = {
  readonly what: 'finished';
  readonly at: number;
  readonly visit: string;
  readonly seal: string;
  readonly status: number;
  readonly digest: string;
  readonly end: 'whole' | 'brokenOff' | 'dropped' | 'spoiled' | 'crashed';
};

/** A worker started, stopped or changed its state. */
export type Life = {
  readonly what: 'life';
  readonly at: number;
  readonly worker: string;
  readonly model: string;
  readonly zone: string;
  readonly event: 'started' | 'draining' | 'ended' | 'crashed' | 'dark' | 'lit' | 'cold' | 'fellOver';
  readonly coldMs: number;
};

/** The list shows a worker in a new phase. */
export type Listed = {
  readonly what: 'listed';
  readonly at: number;
  readonly worker: string;
  readonly phase: 'serving' | 'draining' | 'gone';
};

/** The list answered a request. */
export type ListCall = { readonly what: 'listCall'; readonly at: number; readonly status: number };

/** A fault of the list began, changed or ended. */
export type ListTrouble = { readonly what: 'listTrouble'; readonly at: number; readonly on: boolean };

/** The operator sends a configuration; `document` is the state after it. */
export type Submitted = {
  readonly what: 'submitted';
  readonly at: number;
  readonly order: string;
  readonly number: number;
  readonly base: number;
  readonly document: unknown;
  readonly valid: boolean;
};

/** The operator begins or ends the evacuation of a zone. */
export type Evacuated = {
  readonly what: 'evacuated';
  readonly at: number;
  readonly order: string;
  readonly zone: string;
  readonly begin: boolean;
};

/** An order got its outcome. */
export type Settled = {
  readonly what: 'settled';
  readonly at: number;
  readonly order: string;
  readonly outcome: 'acknowledged' | 'refused' | 'unclear';
  readonly status: number;
};

/** The configuration that the operator read; null if there was no answer. */
export type ReadBack = { readonly what: 'readBack'; readonly at: number; readonly document: unknown };

/** The run starts, stops, pauses or resumes a machine; `core` tells whether it is a controller. */
export type Planned = {
  readonly what: 'planned';
  readonly at: number;
  readonly edge: string;
  readonly core: boolean;
  readonly fault: 'term' | 'kill' | 'start' | 'freeze' | 'thaw' | 'closing' | 'back';
};

/** Any record of the journal. */
export type JournalRecord =
  | Asked
  | Sent
  | Answered
  | Stray
  | Arrived
  | Refused
  | Ran
  | Finished
  | Life
  | Listed
  | ListCall
  | ListTrouble
  | Submitted
  | Evacuated
  | Settled
  | ReadBack
  | Planned;

/** The record type with this value of `what`. */
export type RecordOf<W extends JournalRecord['what']> = Extract<JournalRecord, { readonly what: W }>;

type WithoutTime<T> = T extends unknown ? Omit<T, 'at'> : never;

/** The journal of one run, in order of time. */
export type Records = {
  readonly add: (rec: WithoutTime<JournalRecord>) => void;
  readonly all: () => readonly JournalRecord[];
  readonly of: <W extends JournalRecord['what']>(what: W) => readonly RecordOf<W>[];
  /** Resolves with the first record that matches, past or future. */
  readonly until: (matches: (rec: JournalRecord) => boolean) => Promise<JournalRecord>;
};

type Waiter = { readonly matches: (rec: JournalRecord) => boolean; readonly resolve: (rec: JournalRecord) => void };

/** Creates an empty journal that stamps each record with the time. */
export function createRecords(now: () => number): Records {
  const entries: JournalRecord[] = [];
  let waiters: Waiter[] = [];

  function add(rec: WithoutTime<JournalRecord>): void {
    const stamped = { ...rec, at: now() } as JournalRecord;
    entries.push(stamped);
    const remaining: Waiter[] = [];
    for (const waiter of waiters) {
      if (waiter.matches(stamped)) waiter.resolve(stamped);
      else remaining.push(waiter);
    }
    waiters = remaining;
  }
  function all(): readonly JournalRecord[] {
    return entries;
  }
  function ofType<W extends JournalRecord['what']>(what: W): readonly RecordOf<W>[] {
    return recordsOfType(entries, what);
  }
  function waitFor(matches: (rec: JournalRecord) => boolean): Promise<JournalRecord> {
    for (const rec of entries) if (matches(rec)) return Promise.resolve(rec);
    function register(resolve: (rec: JournalRecord) => void): void {
      waiters.push({ matches, resolve });
    }
    return new Promise<JournalRecord>(register);
  }
  return { add, all, of: ofType, until: waitFor };
}

/** Returns the records with this value of `what`. */
export function recordsOfType<W extends JournalRecord['what']>(
  records: readonly JournalRecord[],
  what: W,
): readonly RecordOf<W>[] {
  const out: RecordOf<W>[] = [];
  for (const rec of records) if (rec.what === what) out.push(rec as RecordOf<W>);
  return out;
}
