/** Reads and checks runbooks (docs/runbooks.md): YAML with steps, each with one kind of work. */
import { isMap, isScalar, isSeq, LineCounter, parseDocument } from 'yaml';
import type { Node, Pair } from 'yaml';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';

/** What must hold for a step; each is observed by `observe.ts`. */
export type Condition =
  | { readonly tag: 'quorate' }
  | { readonly tag: 'spareLosses'; readonly atLeast: number }
  | { readonly tag: 'goesOnWithout'; readonly name: string }
  | { readonly tag: 'writable'; readonly name: string }
  | { readonly tag: 'claimsReady'; readonly name: string }
  | { readonly tag: 'proxiesConfirmed' }
  | { readonly tag: 'node'; readonly name: string; readonly status: string }
  | { readonly tag: 'member'; readonly name: string; readonly address: string | null }
  | { readonly tag: 'evacuated'; readonly zone: string; readonly is: boolean }
  | { readonly tag: 'zoneOrders'; readonly zone: string; readonly atMost: number }
  | {
      readonly tag: 'ready';
      readonly model: string;
      readonly kind: string | null;
      readonly atLeast: number | null;
      readonly atMost: number | null;
    }
  | { readonly tag: 'setting'; readonly path: string; readonly is: unknown };

/** What a step does. */
export type Work =
  | { readonly tag: 'require'; readonly condition: Condition }
  | { readonly tag: 'wait'; readonly condition: Condition; readonly withinS: number; readonly heldS: number }
  | { readonly tag: 'evacuate'; readonly zone: string }
  | { readonly tag: 'restore'; readonly zone: string }
  | { readonly tag: 'set'; readonly path: string; readonly value: unknown }
  | { readonly tag: 'forget'; readonly proxy: string }
  | { readonly tag: 'reopenClaims' }
  | { readonly tag: 'person'; readonly does: string };

/** One step; `line` is where it stands in the file, `ifNot` what to do if it fails. */
export type Step = { readonly name: string; readonly line: number; readonly work: Work; readonly ifNot: string };

/** A checked runbook with its inputs filled in. */
export type Runbook = {
  readonly runbook: string;
  readonly about: string;
  readonly inputs: Readonly<Record<string, string>>;
  readonly steps: readonly Step[];
};

/** What is wrong at a line of the file. */
export type DocError = { readonly line: number; readonly reason: string };

type Fields = Readonly<Record<string, 'text' | 'number' | 'flag' | 'any'>>;
type Form = { readonly needs: Fields; readonly may: Fields };

const CONDITIONS: Readonly<Record<Condition['tag'], Form>> = {
  quorate: { needs: {}, may: {} },
  spareLosses: { needs: { atLeast: 'number' }, may: {} },
  goesOnWithout: { needs: { name: 'text' }, may: {} },
  writable: { needs: { name: 'text' }, may: {} },
  claimsReady: { needs: { name: 'text' }, may: {} },
  proxiesConfirmed: { needs: {}, may: {} },
  node: { needs: { name: 'text', status: 'text' }, may: {} },
  member: { needs: { name: 'text' }, may: { address: 'text' } },
  evacuated: { needs: { zone: 'text', is: 'flag' }, may: {} },
  zoneOrders: { needs: { zone: 'text', atMost: 'number' }, may: {} },
  ready: { needs: { model: 'text' }, may: { kind: 'text', atLeast: 'number', atMost: 'number' } },
  setting: { needs: { path: 'text', is: 'any' }, may: {} },
};

const WORKS: Readonly<Record<Work['tag'], Form>> = {
  require: { needs: {}, may: {} },
  wait: { needs: { withinS: 'number' }, may: { heldS: 'number' } },
  evacuate: { needs: { zone: 'text' }, may: {} },
  restore: { needs: { zone: 'text' }, may: {} },
  set: { needs: { path: 'text', value: 'any' }, may: {} },
  forget: { needs: { proxy: 'text' }, may: {} },
  reopenClaims: { needs: {}, may: {} },
  person: { needs: { does: 'text' }, may: {} },
};

const HOLD = /\$\{([a-zA-Z]+)\}/g;

/** Reads a runbook with the given inputs; all that is wrong comes at once. */
export function readRunbook(
  text: string,
  inputs: Readonly<Record<string, string>> | null,
): Result<Runbook, readonly DocError[]> {
  const counter = new LineCounter();
  const doc = parseDocument(text, { lineCounter: counter });
  const faults: DocError[] = [];
  function addError(line: number, reason: string): void {
    faults.push({ line, reason });
  }
  function lineOf(node: unknown): number {
    const range = (node as Node | null)?.range;
    return range ? counter.linePos(range[0]).line : 1;
  }
  for (const yAMLError of doc.errors)
    addError(yAMLError.linePos?.[0].line ?? 1, yAMLError.message.split('\n')[0] as string);
  if (faults.length > 0) return err(faults);
  const top = doc.contents;
  if (!isMap(top)) return err([{ line: 1, reason: 'expected a table with runbook, about and steps' }]);

  const declared: Record<string, string> = {};
  for (const pair of top.items) {
    const key = keyOf(pair);
    if (!['runbook', 'about', 'inputs', 'steps'].includes(key))
      addError(lineOf(pair.key), `unknown key ${key}; expected runbook, about, inputs, steps`);
    if (key !== 'inputs') continue;
    if (!isMap(pair.value)) addError(lineOf(pair.key), 'inputs: expected a table of names and what they mean');
    else
      for (const item of pair.value.items) declared[keyOf(item)] = isScalar(item.value) ? String(item.value.value) : '';
  }
  for (const name of Object.keys(inputs ?? {}))
    if (!Object.hasOwn(declared, name))
      addError(1, `input ${name} is not one of this runbook: ${Object.keys(declared).join(', ') || 'it takes none'}`);
  if (inputs)
    for (const name of Object.keys(declared))
      if (!Object.hasOwn(inputs, name)) addError(1, `input ${name} is missing: ${declared[name]}`);

  function keyOf(pair: Pair): string {
    return isScalar(pair.key) ? String(pair.key.value) : '?';
  }
  function textAt(key: string): string {
    const value = top && isMap(top) ? top.get(key) : undefined;
    if (typeof value !== 'string' || value === '') addError(1, `${key}: expected a text`);
    return String(value ?? '');
  }
  function filled(value: unknown, line: number): unknown {
    if (typeof value !== 'string') return value;
    const whole = /^\$\{([a-zA-Z]+)\}$/.exec(value);
    for (const regExpExecArray of value.matchAll(HOLD))
      if (!Object.hasOwn(declared, regExpExecArray[1] as string))
        addError(line, `input ${regExpExecArray[1]} is not declared under inputs`);
    if (whole && inputs) return inputs[whole[1] as string] ?? value;
    function put(_all: string, name: string): string {
      return inputs?.[name] ?? `\${${name}}`;
    }
    return value.replace(HOLD, put);
  }
  function typeFits(type: Fields[string], value: unknown): boolean {
    if (type === 'any') return value !== undefined;
    if (type === 'text') return typeof value === 'string' && value !== '';
    if (type === 'number') return typeof value === 'number' && Number.isFinite(value) && value >= 0;
    return typeof value === 'boolean';
  }
  function fieldsOf(
    node: unknown,
    form: Form,
    what: string,
    line: number,
    inner: string | null,
  ): Record<string, unknown> {
    const out: Record<string, unknown> = {};
    const items = isMap(node) ? node.items : [];
    if (
      node !== null &&
      node !== undefined &&
      !isMap(node) &&
      !(isScalar(node) && (node.value === null || node.value === true))
    ) {
      addError(line, `${what}: expected a table`);
      return out;
    }
    for (const pair of items) {
      const key = keyOf(pair);
      const at = lineOf(pair.key);
      if (key === inner) continue;
      const type = form.needs[key] ?? form.may[key];
      if (!type) {
        addError(
          at,
          `${what}: unknown value ${key}; expected ${[...Object.keys(form.needs), ...Object.keys(form.may), ...(inner ? [inner] : [])].join(', ') || 'none'}`,
        );
        continue;
      }
      const raw: unknown = isScalar(pair.value) ? pair.value.value : (pair.value as Node | null)?.toJS(doc);
      const value = filled(raw, at);
      if (!typeFits(type, value)) addError(at, `${what}: ${key} must be a ${type}; found ${JSON.stringify(value)}`);
      out[key] = value;
    }
    for (const key of Object.keys(form.needs))
      if (!Object.hasOwn(out, key)) addError(line, `${what}: ${key} is missing`);
    return out;
  }
  function conditionOf(node: unknown, line: number, what: string): Condition {
    const pair = isMap(node) ? node.items[0] : undefined;
    const tag = pair ? keyOf(pair) : isScalar(node) ? String(node.value) : '';
    if (!Object.hasOwn(CONDITIONS, tag) || (isMap(node) && node.items.length !== 1)) {
      addError(
        line,
        `${what}: expected one condition of ${Object.keys(CONDITIONS).join(', ')}; found ${tag || 'nothing'}`,
      );
      return { tag: 'quorate' };
    }
    const fields = fieldsOf(
      pair?.value ?? null,
      CONDITIONS[tag as Condition['tag']],
      tag,
      pair ? lineOf(pair.key) : line,
      null,
    );
    if (tag === 'ready' && fields['atLeast'] === undefined && fields['atMost'] === undefined)
      addError(line, 'ready: atLeast or atMost is missing');
    return { kind: null, atLeast: null, atMost: null, address: null, ...fields, tag } as unknown as Condition;
  }
  function stepOf(node: unknown): Step | null {
    const line = lineOf(node);
    if (!isMap(node)) {
      addError(line, 'step: expected a table');
      return null;
    }
    let work: Work | null = null;
    for (const pair of node.items) {
      const key = keyOf(pair);
      const at = lineOf(pair.key);
      if (key === 'name' || key === 'ifNot') continue;
      if (!Object.hasOwn(WORKS, key)) {
        addError(at, `unknown step ${key}; expected one of ${Object.keys(WORKS).join(', ')}`);
        continue;
      }
      if (work) addError(at, `a step does one thing; found ${work.tag} and ${key}`);
      work = workOf(key as Work['tag'], pair.value, at);
    }
    const name = node.get('name');
    if (typeof name !== 'string' || name === '') addError(line, 'step: name is missing');
    if (!work) {
      if (!node.items.some(unknownWork)) addError(line, `step: expected one of ${Object.keys(WORKS).join(', ')}`);
      return null;
    }
    const ifNot = node.get('ifNot');
    return {
      name: String(filled(name, line)),
      line,
      work,
      ifNot: typeof ifNot === 'string' ? String(filled(ifNot, line)) : '',
    };
    function unknownWork(pair: Pair): boolean {
      return !['name', 'ifNot'].includes(keyOf(pair));
    }
  }
  function workOf(tag: Work['tag'], value: unknown, line: number): Work {
    if (tag === 'require') return { tag, condition: conditionOf(value, line, 'require') };
    if (tag === 'person' && isScalar(value)) return { tag, does: String(filled(value.value, line)) };
    if (tag !== 'wait') return { ...fieldsOf(value, WORKS[tag], tag, line, null), tag } as Work;
    const until = isMap(value) ? value.get('until', true) : undefined;
    const fields = fieldsOf(value, WORKS.wait, 'wait', line, 'until');
    if (!until) addError(line, 'wait: until is missing');
    return {
      tag,
      condition: until ? conditionOf(until, line, 'wait') : { tag: 'quorate' },
      withinS: Number(fields['withinS']),
      heldS: Number(fields['heldS'] ?? 0),
    };
  }

  const steps: Step[] = [];
  const list = top.get('steps', true);
  if (!isSeq(list) || list.items.length === 0) addError(1, 'steps: expected a list of steps');
  else
    for (const item of list.items) {
      const step = stepOf(item);
      if (step) steps.push(step);
    }
  const made: Runbook = { runbook: textAt('runbook'), about: textAt('about'), inputs: declared, steps };
  return faults.length > 0 ? err(faults) : ok(made);
}

/** Whether the work changes the deployment, so that a person must confirm it. */
export function harms(work: Work): boolean {
  return work.tag !== 'require' && work.tag !== 'wait';
}
