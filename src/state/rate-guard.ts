export type RateGuard = { readonly room: (now: number, most: number) => boolean; readonly take: (now: number) => void };

export function createRateGuard(windowMs: number): RateGuard {
  let at: number[] = [];
  function room(now: number, most: number): boolean {
    while (at.length > 0 && now - (at[0] as number) >= windowMs) at.shift();
    return at.length + 1 <= most;
  }
  function take(now: number): void {
    at.push(now);
    if (at.length > 4_096) at = at.slice(-2_048);
  }
  return { room, take };
}
