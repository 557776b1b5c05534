/** Parses and validates runbooks (docs/runbooks.md): YAML documents with steps, each of which does one kind of work. */
import { isMap, isScalar, isSeq, LineCounter, parseDocument } from 'yaml';
import type { Node, Pair } from 'yaml';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import { ownValue, setOwnValue } from '../base/own-value.js';

/** A condition on the deployment; `observe.ts` evaluates it. */
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

/** One step; `line` is its line in the file, `ifNot` tells the operator what to do if it fails. */
export type Step = { readonly name: string; readonly line: number; readonly work: Work; readonly ifNot: string };

/** A valid runbook: `inputs` describes each declared input, and the steps have the given values filled in. */
export type Runbook = {
  readonly runbook: string;
  readonly about: string;
  readonly inputs: Readonly<Record<string, string>>;
  readonly steps: readonly Step[];
};

/** An error at a line of the file. */
export type RunbookError = { readonly line: number; readonly reason: string };

type FieldTypes = Readonly<Record<string, 'text' | 'number' | 'flag' | 'any'>>;
type FieldSpec = { readonly required: FieldTypes; readonly optional: FieldTypes };

const CONDITION_FIELDS: Readonly<Record<Condition['tag'], FieldSpec>> = {
  quorate: { required: {}, optional: {} },
  spareLosses: { required: { atLeast: 'number' }, optional: {} },
  goesOnWithout: { required: { name: 'text' }, optional: {} },
  writable: { required: { name: 'text' }, optional: {} },
  claimsReady: { required: { name: 'text' }, optional: {} },
  proxiesConfirmed: { required: {}, optional: {} },
  node: { required: { name: 'text', status: 'text' }, optional: {} },
  member: { required: { name: 'text' }, optional: { address: 'text' } },
  evacuated: { required: { zone: 'text', is: 'flag' }, optional: {} },
  zoneOrders: { required: { zone: 'text', atMost: 'number' }, optional: {} },
  ready: { required: { model: 'text' }, optional: { kind: 'text', atLeast: 'number', atMost: 'number' } },
  setting: { required: { path: 'text', is: 'any' }, optional: {} },
};

const WORK_FIELDS: Readonly<Record<Work['tag'], FieldSpec>> = {
  require: { required: {}, optional: {} },
  wait: { required: { withinS: 'number' }, optional: { heldS: 'number' } },
  evacuate: { required: { zone: 'text' }, optional: {} },
  restore: { required: { zone: 'text' }, optional: {} },
  set: { required: { path: 'text', value: 'any' }, optional: {} },
  forget: { required: { proxy: 'text' }, optional: {} },
  reopenClaims: { required: {}, optional: {} },
  person: { required: { does: 'text' }, optional: {} },
};

const INPUT_PLACEHOLDER = /\$\{([a-zA-Z]+)\}/g;

/** Parses a runbook and fills in the inputs; null validates it without them. Returns all errors at once. */
export function readRunbook(
  text: string,
  inputs: Readonly<Record<string, string>> | null,
): Result<Runbook, readonly RunbookError[]> {
  const counter = new LineCounter();
  const doc = parseDocument(text, { lineCounter: counter });
  const errors: RunbookError[] = [];
  function addError(line: number, reason: string): void {
    errors.push({ line, reason });
  }
  function lineOf(node: unknown): number {
    const range = (node as Node | null)?.range;
    return range ? counter.linePos(range[0]).line : 1;
  }
  for (const yamlError of doc.errors)
    addError(yamlError.linePos?.[0].line ?? 1, yamlError.message.split('\n')[0] as string);
  if (errors.length > 0) return err(errors);
  const root = doc.contents;
  if (!isMap(root)) return err([{ line: 1, reason: 'expected a mapping with runbook, about and steps' }]);

  const declaredInputs: Record<string, string> = {};
  for (const pair of root.items) {
    const key = keyOf(pair);
    if (!['runbook', 'about', 'inputs', 'steps'].includes(key))
      addError(lineOf(pair.key), `unknown key ${key}; expected runbook, about, inputs, steps`);
    if (key !== 'inputs') continue;
    if (!isMap(pair.value)) addError(lineOf(pair.key), 'inputs: expected a mapping of names to descriptions');
    else
      for (const item of pair.value.items)
        setOwnValue(declaredInputs, keyOf(item), isScalar(item.value) ? String(item.value.value) : '');
  }
  for (const name of Object.keys(inputs ?? {}))
    if (!Object.hasOwn(declaredInputs, name))
      addError(
        1,
        `input ${name} is not one of this runbook: ${Object.keys(declaredInputs).join(', ') || 'it takes none'}`,
      );
  if (inputs)
    for (const name of Object.keys(declaredInputs))
      if (!Object.hasOwn(inputs, name)) addError(1, `input ${name} is missing: ${ownValue(declaredInputs, name)}`);

  function keyOf(pair: Pair): string {
    return isScalar(pair.key) ? String(pair.key.value) : '?';
  }
  function requiredText(key: string): string {
    const value = root && isMap(root) ? root.get(key) : undefined;
    if (typeof value !== 'string' || value === '') addError(1, `${key}: expected a non-empty string`);
    return String(value ?? '');
  }
  function substituteInputs(value: unknown, line: number): unknown {
    if (typeof value !== 'string') return value;
    const placeholderOnly = /^\$\{([a-zA-Z]+)\}$/.exec(value);
    for (const match of value.matchAll(INPUT_PLACEHOLDER))
      if (!Object.hasOwn(declaredInputs, match[1] as string))
        addError(line, `input ${match[1]} is not declared under inputs`);
    if (placeholderOnly && inputs) return ownValue(inputs, placeholderOnly[1] as string) ?? value;
    function inputValue(_placeholder: string, name: string): string {
      return ownValue(inputs, name) ?? `\${${name}}`;
    }
    return value.replace(INPUT_PLACEHOLDER, inputValue);
  }
  function hasType(type: FieldTypes[string], value: unknown): boolean {
    if (type === 'any') return value !== undefined;
    if (type === 'text') return typeof value === 'string' && value !== '';
    if (type === 'number') return typeof value === 'number' && Number.isFinite(value) && value >= 0;
    return typeof value === 'boolean';
  }
  function readFields(
    node: unknown,
    spec: FieldSpec,
    subject: string,
    line: number,
    nestedKey: string | null,
  ): Record<string, unknown> {
    const fields: Record<string, unknown> = {};
    const items = isMap(node) ? node.items : [];
    if (
      node !== null &&
      node !== undefined &&
      !isMap(node) &&
      !(isScalar(node) && (node.value === null || node.value === true))
    ) {
      addError(line, `${subject}: expected a mapping`);
      return fields;
    }
    for (const pair of items) {
      const key = keyOf(pair);
      const keyLine = lineOf(pair.key);
      if (key === nestedKey) continue;
      const type = ownValue(spec.required, key) ?? ownValue(spec.optional, key);
      if (!type) {
        addError(
          keyLine,
          `${subject}: unknown value ${key}; expected ${[...Object.keys(spec.required), ...Object.keys(spec.optional), ...(nestedKey ? [nestedKey] : [])].join(', ') || 'none'}`,
        );
        continue;
      }
      const raw: unknown = isScalar(pair.value) ? pair.value.value : (pair.value as Node | null)?.toJS(doc);
      const value = substituteInputs(raw, keyLine);
      if (!hasType(type, value))
        addError(keyLine, `${subject}: ${key} must be a ${type}; found ${JSON.stringify(value)}`);
      setOwnValue(fields, key, value);
    }
    for (const key of Object.keys(spec.required))
      if (!Object.hasOwn(fields, key)) addError(line, `${subject}: ${key} is missing`);
    return fields;
  }
  function readCondition(node: unknown, line: number, subject: string): Condition {
    const pair = isMap(node) ? node.items[0] : undefined;
    const tag = pair ? keyOf(pair) : isScalar(node) ? String(node.value) : '';
    if (!Object.hasOwn(CONDITION_FIELDS, tag) || (isMap(node) && node.items.length !== 1)) {
      addError(
        line,
        `${subject}: expected one condition of ${Object.keys(CONDITION_FIELDS).join(', ')}; found ${tag || 'nothing'}`,
      );
      return { tag: 'quorate' };
    }
    const fields = readFields(
      pair?.value ?? null,
      CONDITION_FIELDS[tag as Condition['tag']],
      tag,
      pair ? lineOf(pair.key) : line,
      null,
    );
    if (tag === 'ready' && fields['atLeast'] === undefined && fields['atMost'] === undefined)
      addError(line, 'ready: atLeast or atMost is missing');
    return { kind: null, atLeast: null, atMost: null, address: null, ...fields, tag } as unknown as Condition;
  }
  function readStep(node: unknown): Step | null {
    const line = lineOf(node);
    if (!isMap(node)) {
      addError(line, 'step: expected a mapping');
      return null;
    }
    let work: Work | null = null;
    for (const pair of node.items) {
      const key = keyOf(pair);
      const keyLine = lineOf(pair.key);
      if (key === 'name' || key === 'ifNot') continue;
      if (!Object.hasOwn(WORK_FIELDS, key)) {
        addError(keyLine, `unknown step ${key}; expected one of ${Object.keys(WORK_FIELDS).join(', ')}`);
        continue;
      }
      if (work) addError(keyLine, `a step does one thing; found ${work.tag} and ${key}`);
      work = readWork(key as Work['tag'], pair.value, keyLine);
    }
    const name = node.get('name');
    if (typeof name !== 'string' || name === '') addError(line, 'step: name is missing');
    if (!work) {
      if (!node.items.some(isWorkKey)) addError(line, `step: expected one of ${Object.keys(WORK_FIELDS).join(', ')}`);
      return null;
    }
    const ifNot = node.get('ifNot');
    return {
      name: String(substituteInputs(name, line)),
      line,
      work,
      ifNot: typeof ifNot === 'string' ? String(substituteInputs(ifNot, line)) : '',
    };
    function isWorkKey(pair: Pair): boolean {
      return !['name', 'ifNot'].includes(keyOf(pair));
    }
  }
  function readWork(tag: Work['tag'], value: unknown, line: number): Work {
    if (tag === 'require') return { tag, condition: readCondition(value, line, 'require') };
    if (tag === 'person' && isScalar(value)) return { tag, does: String(substituteInputs(value.value, line)) };
    if (tag !== 'wait') return { ...readFields(value, WORK_FIELDS[tag], tag, line, null), tag } as Work;
    const conditionNode = isMap(value) ? value.get('until', true) : undefined;
    const fields = readFields(value, WORK_FIELDS.wait, 'wait', line, 'until');
    if (!conditionNode) addError(line, 'wait: until is missing');
    return {
      tag,
      condition: conditionNode ? readCondition(conditionNode, line, 'wait') : { tag: 'quorate' },
      withinS: Number(fields['withinS']),
      heldS: Number(fields['heldS'] ?? 0),
    };
  }

  const steps: Step[] = [];
  const list = root.get('steps', true);
  if (!isSeq(list) || list.items.length === 0) addError(1, 'steps: expected a list of steps');
  else
    for (const item of list.items) {
      const step = readStep(item);
      if (step) steps.push(step);
    }
  const runbook: Runbook = {
    runbook: requiredText('runbook'),
    about: requiredText('about'),
    inputs: declaredInputs,
    steps,
  };
  return errors.length > 0 ? err(errors) : ok(runbook);
}

/** Whether the work changes the deployment, so that the operator must confirm it first. */
export function changesDeployment(work: Work): boolean {
  return work.tag !== 'require' && work.tag !== 'wait';
}
