/** Configuration and controls of a stand-in worker, which `worker.ts` implements. */

import type { Clock } from '../src/transport/clock.js';
import type { Rng } from '../src/transport/rng.js';
import type { Records } from './records.js';

/** Speed and memory of a model's engine; times in milliseconds. */
export type EngineSpec = {
  readonly tokensPerMs: number;
  readonly stepMs: number;
  readonly tokensPerEvent: number;
  readonly kvTokens: number;
  readonly weights: number;
};

/** Configuration of a worker, kept over its restarts. */
export type WorkerSpec = {
  readonly ip: string;
  readonly port: number;
  readonly model: string;
  readonly zone: string;
  readonly region: string;
  readonly capacity: number;
  readonly queue: number;
  readonly maxConns: number;
  readonly idleMs: number;
  readonly healthPath: string;
  readonly workMs: number;
  readonly bytes: number;
  readonly coldRateS: number;
  readonly closeEvery: number;
  readonly engine: EngineSpec | null;
};

/** A plain web worker. */
export const WORKER_DEFAULTS = {
  capacity: 8,
  queue: 16,
  maxConns: 96,
  idleMs: 15_000,
  healthPath: '/health',
  workMs: 20,
  bytes: 800,
  coldRateS: 0,
  closeEvery: 60,
  engine: null,
} as const;

/** An engine for language models, about as fast as the engines of the sites. */
export const ENGINE_DEFAULTS = {
  tokensPerMs: 42,
  stepMs: 5.5,
  tokensPerEvent: 5,
  kvTokens: 226_940,
  weights: 1,
} as const;

/** Faults in which a response has no end. */
export type EndlessMode = 'endless' | 'endlessTiny';
/** Faults that a worker can show; `endless` and `endlessTiny` send large and tiny pieces until the caller closes. */
export type FaultMode =
  | EndlessMode
  | 'breakOff'
  | 'behind'
  | 'surplus'
  | 'garbage'
  | 'badStatus'
  | 'badName'
  | 'lostAnswer'
  | 'fail'
  | 'refuse';
/** A fault and the share of requests that it affects. */
export type Fault = { readonly mode: FaultMode; readonly share: number };

/** A worker as the platform's list shows it. */
export type ListedWorker = {
  readonly id: string;
  readonly address: string;
  readonly model: string;
  readonly zone: string;
  readonly capacity: number;
  readonly phase: 'serving' | 'draining' | 'gone';
  readonly coldLeftMs: number;
  readonly remainingMs: number | null;
  readonly weights: number | null;
};

/** A worker and its controls; `start` begins a new incarnation with a new id. */
export type StandinWorker = {
  readonly start: (overrides?: { readonly model?: string; readonly coldMs?: number }) => Promise<void>;
  readonly seen: () => ListedWorker;
  /** Shows the worker as draining, while it still serves; it ends after `remainingMs`, or never if that is null. */
  readonly drain: (remainingMs: number | null) => void;
  readonly crash: () => Promise<void>;
  readonly end: () => Promise<void>;
  /** Makes the worker accept requests without answering any until it is switched off. */
  readonly setUnresponsive: (on: boolean) => void;
  /** Makes the worker slow, and prone to crash under load, for this long. */
  readonly startColdPeriod: (durationMs: number) => void;
  readonly fault: (newFault: Fault | null) => void;
  /** Makes health checks succeed even while the worker drains. */
  readonly setAlwaysHealthy: (on: boolean) => void;
  readonly loadWeights: (version: number) => void;
  readonly resetIdleConnections: () => void;
  readonly running: () => number;
};

/** The clock, the random numbers and the journal of a worker. */
export type WorkerDeps = { readonly clock: Clock; readonly rng: Rng; readonly records: Records };
