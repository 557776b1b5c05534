export type Kind = 'repeatable' | 'once' | 'stream';

export type EventSeen = { readonly id: number; readonly run: string; readonly n: number; readonly of: number };

export type Ended = 'whole' | 'cut' | 'garbage' | 'deadline' | 'silence' | 'noConnection';

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

export type Sent = { readonly what: 'sent'; readonly at: number; readonly attempt: string };

export type Answered = {
  readonly what: 'answered';
  readonly at: number;
  readonly attempt: string;
  readonly end: Ended;
  readonly status: number;
  readonly seal: string | null;
  readonly echo: string | null;
  readonly digest: string;
  readonly events: readonly EventSeen[];
};

export type Stray = {
  readonly what: 'stray';
  readonly at: number;
  readonly edge: string;
  readonly attempt: string | null;
  readonly text: string;
};

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

export type Refused = {
  readonly what: 'refused';
  readonly at: number;
  readonly visit: string;
  readonly status: number;
};

export type Ran = {
  readonly what: 'ran';
  readonly at: number;
  readonly visit: string;
  readonly attempt: string;
  readonly digest: string;
  readonly seal: string;
};

export type Finished = {
  readonly what: 'finished';
  readonly at: number;
  readonly visit: string;
  readonly seal: string;
  readonly status: number;
  readonly digest: string;
  readonly end: 'whole' | 'brokenOff' | 'dropped' | 'spoiled' | 'crashed';
};

export type Life = {
  readonly what: 'life';
  readonly at: number;
  readonly worker: string;
  readonly model: string;
  readonly zone: string;
  readonly event: 'started' | 'draining' | 'ended' | 'crashed' | 'dark' | 'lit' | 'cold' | 'fellOver';
  readonly coldMs: number;
};

export type Listed = {
  readonly what: 'listed';
  readonly at: number;
  readonly worker: string;
  readonly phase: 'serving' | 'draining' | 'gone';
};

export type ListCall = { readonly what: 'listCall'; readonly at: number; readonly status: number };

export type ListTrouble = { readonly what: 'listTrouble'; readonly at: number; readonly on: boolean };

export type Submitted = {
  readonly what: 'submitted';
  readonly at: number;
  readonly order: string;
  readonly number: number;
  readonly base: number;
  readonly document: unknown;
  readonly valid: boolean;
};

export type Evacuated = {
  readonly what: 'evacuated';
  readonly at: number;
  readonly order: string;
  readonly zone: string;
  readonly begin: boolean;
};

export type Settled = {
  readonly what: 'settled';
  readonly at: number;
  readonly order: string;
  readonly outcome: 'acknowledged' | 'refused' | 'unclear';
  readonly status: number;
};

export type ReadBack = { readonly what: 'readBack'; readonly at: number; readonly document: unknown };

export type Planned = {
  readonly what: 'planned';
  readonly at: number;
  readonly edge: string;
  readonly core: boolean;
  readonly fault: 'term' | 'kill' | 'start' | 'freeze' | 'thaw' | 'closing' | 'back';
};

export type Rec =
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

export type Told<W extends Rec['what']> = Extract<Rec, { readonly what: W }>;

type Without<T> = T extends unknown ? Omit<T, 'at'> : never;

export type Records = {
  readonly note: (rec: Without<Rec>) => void;
  readonly all: () => readonly Rec[];
  readonly of: <W extends Rec['what']>(what: W) => readonly Told<W>[];
  readonly until: (fits: (rec: Rec) => boolean) => Promise<Rec>;
};

type Waiting = { readonly fits: (rec: Rec) => boolean; readonly resolve: (rec: Rec) => void };

export function createRecords(now: () => number): Records {
  const kept: Rec[] = [];
  let waiting: Waiting[] = [];

  function note(rec: Without<Rec>): void {
    const full = { ...rec, at: now() } as Rec;
    kept.push(full);
    const still: Waiting[] = [];
    for (const waiter of waiting) {
      if (waiter.fits(full)) waiter.resolve(full);
      else still.push(waiter);
    }
    waiting = still;
  }
  function all(): readonly Rec[] {
    return kept;
  }
  function indexOf<W extends Rec['what']>(what: W): readonly Told<W>[] {
    return onlyOf(kept, what);
  }
  function until(fits: (rec: Rec) => boolean): Promise<Rec> {
    for (const rec of kept) if (fits(rec)) return Promise.resolve(rec);
    function wait(resolve: (rec: Rec) => void): void {
      waiting.push({ fits, resolve });
    }
    return new Promise<Rec>(wait);
  }
  return { note, all, of: indexOf, until };
}

export function onlyOf<W extends Rec['what']>(records: readonly Rec[], what: W): readonly Told<W>[] {
  const out: Told<W>[] = [];
  for (const rec of records) if (rec.what === what) out.push(rec as Told<W>);
  return out;
}
