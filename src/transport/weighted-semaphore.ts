/** A semaphore whose permits have weights, with a bounded wait. */
import type { Clock, Timer } from './clock.js';

type Waiter = { readonly weight: number; readonly timer: Timer; readonly resolve: (release: Release | null) => void };

/** Gives a permit back; calling it again changes nothing. */
export type Release = () => void;

/** Permits of `capacity` in all. What fits is let through at once, also past heavier ones that wait. */
export class WeightedSemaphore {
  private used = 0;
  private readonly waiters = new Set<Waiter>();

  constructor(
    private readonly capacity: number,
    private readonly clock: Clock,
  ) {}

  /** Resolves to null if the weight does not fit within `maxWaitMs`. */
  acquire(weight: number, maxWaitMs: number): Promise<Release | null> {
    if (this.fits(weight)) return Promise.resolve(this.take(weight));
    return new Promise((resolve) => {
      const timer = this.clock.timer(maxWaitMs, () => {
        this.waiters.delete(waiter);
        resolve(null);
      });
      const waiter: Waiter = { weight, timer, resolve };
      this.waiters.add(waiter);
    });
  }

  private fits(weight: number): boolean {
    return this.used + weight <= this.capacity;
  }

  private take(weight: number): Release {
    this.used += weight;
    let isReleased = false;
    return () => {
      if (isReleased) return;
      isReleased = true;
      this.used -= weight;
      this.admitWaiters();
    };
  }

  private admitWaiters(): void {
    for (const waiter of this.waiters) {
      if (!this.fits(waiter.weight)) continue;
      this.waiters.delete(waiter);
      waiter.timer.cancel();
      waiter.resolve(this.take(waiter.weight));
    }
  }
}
