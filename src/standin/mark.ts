export type Mark = {
  readonly key: string | null;
  readonly kind: string | null;
  readonly homes: readonly string[] | null;
};

const LEAD = 'mark';

export function bootstrapDigest(mark: Mark, unique: string): string {
  return [LEAD, mark.key ?? '', mark.kind ?? '', (mark.homes ?? []).join('+'), unique].join('|');
}

export function readMark(text: string): Mark | null {
  const [lead, key, kind, homes] = text.split('|');
  if (lead !== LEAD) return null;
  return { key: key || null, kind: kind || null, homes: homes ? homes.split('+') : null };
}

export function markIn(parts: readonly { readonly hash: string }[]): string | null {
  for (const p of parts) if (readMark(p.hash)) return p.hash;
  return null;
}
