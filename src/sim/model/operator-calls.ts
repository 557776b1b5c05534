/**
 * The calls of a model history: proposals, operator changes, resent changes and
 * reads. Calls run concurrently with the history; each records its answer, if it
 * gets one.
 */
import { DEFAULT_LIMITS } from '../../state/configuration/serving.js';
import type { Serving } from '../../state/configuration/serving.js';
import type { OperatorChange } from './answer-checker.js';
import type { ModelGroup } from './model-group.js';
import type { ModelNode } from './model-node.js';

const PROPOSE_TIMEOUT_MS = 1_500;
const READ_TIMEOUT_MS = 900;
const FIRST_TOKEN = 20_000;

/** Starts calls to controllers, without waiting for their answers. */
export type OperatorCalls = {
  readonly propose: (node: ModelNode, bytes: number) => void;
  readonly change: (node: ModelNode, onOlder: boolean) => void;
  readonly resend: (node: ModelNode, index: number) => void;
  readonly read: (node: ModelNode) => void;
  /** Number of calls that succeeded. */
  readonly confirmed: () => number;
};

/** A complete configuration, identified by the token in its limits. */
function configurationOf(change: OperatorChange): Serving {
  return { number: change.number, mappings: {}, models: {}, limits: { ...DEFAULT_LIMITS, headerBytes: change.token } };
}

/** Creates the caller of a group. */
export function createOperatorCalls(group: ModelGroup): OperatorCalls {
  const { answers, slots } = group.checker;
  const sent: OperatorChange[] = [];
  let proposalCount = 0;
  let sendCount = 0;
  let confirmedCount = 0;

  async function propose(node: ModelNode, bytes: number): Promise<void> {
    const ledger = node.controller?.ledger;
    if (!ledger) return;
    proposalCount += 1;
    const id = `model-${proposalCount}`;
    const answeredSlot = answers.newestAnsweredSlot();
    const command = { tag: 'evacuation' as const, zone: `zone-${proposalCount}`, begun: true };
    const result = await ledger.propose({ id, cause: 'x'.repeat(bytes), act: command }, PROPOSE_TIMEOUT_MS);
    if (!result.ok) return;
    confirmedCount += 1;
    answers.recordConfirmedProposal(id, result.value.slot, slots.batchOf(result.value.slot), answeredSlot);
  }

  function digestOf(change: OperatorChange): string {
    sendCount += 1;
    return group.injectedFaults.changesDigests ? `digest-${sendCount}` : `digest-${change.token}`;
  }
  async function send(node: ModelNode, change: OperatorChange): Promise<void> {
    if (!node.operator) return;
    const result = await node.operator.replace(change.base, configurationOf(change), digestOf(change));
    if (result.ok) {
      confirmedCount += 1;
      answers.recordConfirmedChange(change.token);
    } else if (result.error.tag === 'stale') answers.recordRejectedChange(change.token);
    else if (result.error.tag === 'invalid')
      group.checker.reportViolation('valid', `change ${change.token} was rejected as invalid`);
  }
  function change(node: ModelNode, onOlder: boolean): void {
    const newest = answers.newestNumber();
    const base = onOlder ? (sent[sent.length - 1]?.base ?? newest) : newest;
    const newChange = {
      token: FIRST_TOKEN + sent.length,
      base,
      number: Math.max(newest, base) + 1 + (sent.length % 3),
    };
    sent.push(newChange);
    answers.recordSentChange(newChange);
    void send(node, newChange);
  }
  function resend(node: ModelNode, index: number): void {
    const earlier = sent[index % Math.max(1, sent.length)];
    if (earlier) void send(node, earlier);
  }

  async function read(node: ModelNode): Promise<void> {
    const ledger = node.controller?.ledger;
    if (!ledger) return;
    const answeredSlot = answers.newestAnsweredSlot();
    const isCommitted =
      group.injectedFaults.readsWithoutQuorum === true || (await ledger.linearizableRead(READ_TIMEOUT_MS));
    if (!isCommitted) return;
    confirmedCount += 1;
    answers.recordRead(node.name, ledger.controlState().slot, answeredSlot);
  }

  function startProposal(node: ModelNode, bytes: number): void {
    void propose(node, bytes);
  }
  function startRead(node: ModelNode): void {
    void read(node);
  }
  function confirmed(): number {
    return confirmedCount;
  }
  return { propose: startProposal, change, resend, read: startRead, confirmed };
}
