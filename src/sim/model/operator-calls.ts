/**
 * The callers of a model history: ordinary proposals, operator changes and
 * their re-sendings, and reads. Calls run beside the history; each records what
 * it was answered, if it was.
 */
import { DEFAULT_LIMITS } from '../../state/configuration/serving.js';
import type { Serving } from '../../state/configuration/serving.js';
import type { ChangeFact } from './answer-facts.js';
import type { ModelGroup } from './model-group.js';
import type { ModelNode } from './model-node.js';

const PROPOSE_MS = 1_500;
const READ_TIMEOUT_MS = 900;
const FIRST_TOKEN = 20_000;

export type OperatorCalls = {
  readonly propose: (node: ModelNode, bytes: number) => void;
  readonly change: (node: ModelNode, onOlder: boolean) => void;
  readonly resend: (node: ModelNode, index: number) => void;
  readonly read: (node: ModelNode) => void;
  /** How many calls were answered with success. */
  readonly confirmed: () => number;
};

/** A whole configuration; the token in its limits tells it from all others. */
function draftOf(change: ChangeFact): Serving {
  return { number: change.number, mappings: {}, models: {}, limits: { ...DEFAULT_LIMITS, headerBytes: change.token } };
}

export function createOperatorCalls(group: ModelGroup): OperatorCalls {
  const { answers, slots } = group.facts;
  const sent: ChangeFact[] = [];
  let proposals = 0;
  let sendings = 0;
  let confirmedCalls = 0;

  async function propose(node: ModelNode, bytes: number): Promise<void> {
    const ledger = node.controller?.ledger;
    if (!ledger) return;
    proposals += 1;
    const id = `model-${proposals}`;
    const floor = answers.floor();
    const command = { tag: 'evacuation' as const, zone: `zone-${proposals}`, begun: true };
    const got = await ledger.propose({ id, cause: 'x'.repeat(bytes), act: command }, PROPOSE_MS);
    if (!got.ok) return;
    confirmedCalls += 1;
    answers.noteAgreed(id, got.value.slot, slots.batchOf(got.value.slot), floor);
  }

  function digestOf(change: ChangeFact): string {
    sendings += 1;
    return group.sabotage.changesDigests ? `digest-${sendings}` : `digest-${change.token}`;
  }
  async function send(node: ModelNode, change: ChangeFact): Promise<void> {
    if (!node.operator) return;
    const got = await node.operator.replace(change.base, draftOf(change), digestOf(change));
    if (got.ok) {
      confirmedCalls += 1;
      answers.noteTaken(change.token);
    } else if (got.error.tag === 'stale') answers.noteRefused(change.token);
    else if (got.error.tag === 'invalid') group.facts.fail('valid', `change ${change.token} was called invalid`);
  }
  function change(node: ModelNode, onOlder: boolean): void {
    const newest = answers.newestNumber();
    const base = onOlder ? (sent[sent.length - 1]?.base ?? newest) : newest;
    const made = { token: FIRST_TOKEN + sent.length, base, number: Math.max(newest, base) + 1 + (sent.length % 3) };
    sent.push(made);
    answers.recordChange(made);
    void send(node, made);
  }
  function resend(node: ModelNode, index: number): void {
    const earlier = sent[index % Math.max(1, sent.length)];
    if (earlier) void send(node, earlier);
  }

  async function read(node: ModelNode): Promise<void> {
    const ledger = node.controller?.ledger;
    if (!ledger) return;
    const floor = answers.floor();
    const isCommitted = group.sabotage.readsAlone === true || (await ledger.linearizableRead(READ_TIMEOUT_MS));
    if (!isCommitted) return;
    confirmedCalls += 1;
    answers.noteSettled(node.name, ledger.controlState().slot, floor);
  }

  function startPropose(node: ModelNode, bytes: number): void {
    void propose(node, bytes);
  }
  function startRead(node: ModelNode): void {
    void read(node);
  }
  function confirmed(): number {
    return confirmedCalls;
  }
  return { propose: startPropose, change, resend, read: startRead, confirmed };
}
