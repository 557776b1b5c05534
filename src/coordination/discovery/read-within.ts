/** Bounds the time of a reading of the list. */
import type { Result } from '../../base/result.js';
import type { WorkerEntry } from '../../state/discovery/worker-entry.js';
import type { Clock } from '../../transport/clock.js';
import type { WorkerListError, WorkerListReader } from './worker-list-feed.js';

/** The list, or null if reading takes longer than `ms` milliseconds; the reading itself goes on. */
export function readWithin(
  reader: WorkerListReader,
  clock: Clock,
  ms: number,
): Promise<Result<readonly WorkerEntry[], WorkerListError> | null> {
  function start(resolve: (response: Result<readonly WorkerEntry[], WorkerListError> | null) => void): void {
    function late(): void {
      resolve(null);
    }
    const timer = clock.timer(ms, late);
    function read(response: Result<readonly WorkerEntry[], WorkerListError>): void {
      timer.cancel();
      resolve(response);
    }
    void reader.read().then(read);
  }
  return new Promise(start);
}
