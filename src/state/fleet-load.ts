import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

export const UsageRowsShape = Type.Record(
  Type.String(),
  Type.Tuple([Type.Integer(), Type.Integer(), Type.Integer(), Type.Integer(), Type.Integer()]),
);
export type UsageRows = Static<typeof UsageRowsShape>;

export const ToldUsageShape = Type.Object({
  name: Type.String(),
  run: Type.String(),
  count: Type.Integer(),
  rows: UsageRowsShape,
});
export type ToldUsage = Static<typeof ToldUsageShape>;

type Held = { readonly told: ToldUsage; readonly at: number };

export interface FleetLoad {
  take(told: ToldUsage, now: number): boolean;
  sums(now: number): UsageRows;
}

class ReportedFleetLoad implements FleetLoad {
  private readonly held = new Map<string, Held>();

  constructor(private readonly staleMs: number) {}

  take(told: ToldUsage, now: number): boolean {
    const have = this.held.get(told.name);
    if (have && have.told.run === told.run && have.told.count >= told.count) return false;
    this.held.set(told.name, { told, at: now });
    return true;
  }

  sums(now: number): UsageRows {
    const out: UsageRows = {};
    for (const [name, h] of this.held) {
      if (now - h.at > this.staleMs) {
        this.held.delete(name);
        continue;
      }
      for (const [id, row] of Object.entries(h.told.rows)) addTo(out, id, row);
    }
    return out;
  }
}

export function createFleetLoad(staleMs: number): FleetLoad {
  return new ReportedFleetLoad(staleMs);
}

export type UsageRow = UsageRows[string];

function addTo(out: UsageRows, id: string, row: UsageRow): void {
  const had = out[id];
  out[id] = had ? [had[0] + row[0], had[1] + row[1], had[2] + row[2], had[3] + row[3], had[4] + row[4]] : [...row];
}

export function sumOf(a: UsageRows, b: UsageRows): UsageRows {
  const out: UsageRows = { ...a };
  for (const [id, row] of Object.entries(b)) addTo(out, id, row);
  return out;
}
