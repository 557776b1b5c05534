/** What a stand-in worker is made of and how scenarios steer it; `worker.ts` plays it. */

import type { Clock } from '../src/transport/clock.js';
import type { Rng } from '../src/transport/rng.js';
import type { Records } from './records.js';

/** How a model's engine reads and writes tokens; times in milliseconds. */
export type EngineSpec = {
  readonly tokensPerMs: number;
  readonly stepMs: number;
  readonly tokensPerEvent: number;
  readonly kvTokens: number;
  readonly weights: number;
};

/** What a worker is told when it is made; all of it outlives its restarts. */
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

/** An engine for language models, about as fast as those of the sites. */
export const ENGINE_DEFAULTS = {
  tokensPerMs: 42,
  stepMs: 5.5,
  tokensPerEvent: 5,
  kvTokens: 226_940,
  weights: 1,
} as const;

/** Ways in which a worker may misbehave. */
export type FaultMode =
  'breakOff' | 'behind' | 'surplus' | 'garbage' | 'badStatus' | 'badName' | 'lostAnswer' | 'fail' | 'refuse';
/** A fault and the share of requests that it strikes. */
export type Fault = { readonly mode: FaultMode; readonly share: number };

/** What the platform's list tells of a worker. */
export type Seen = {
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

/** A worker and its switches; `start` begins a new life under a new id. */
export type StandinWorker = {
  readonly start: (over?: { readonly model?: string; readonly coldMs?: number }) => Promise<void>;
  readonly seen: () => Seen;
  readonly drain: (remainingMs: number | null) => void;
  readonly crash: () => Promise<void>;
  readonly end: () => Promise<void>;
  readonly dark: (on: boolean) => void;
  readonly goCold: (ms: number) => void;
  readonly fault: (f: Fault | null) => void;
  readonly lie: (on: boolean) => void;
  readonly loadWeights: (version: number) => void;
  readonly resetIdle: () => void;
  readonly running: () => number;
};

/** Time, randomness and the journal. */
export type WorkerDeps = { readonly clock: Clock; readonly rng: Rng; readonly records: Records };
