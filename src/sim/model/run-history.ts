/**
 * Runs a history against real controllers: they bootstrap their ledger, the steps
 * run one by one, then all disturbances end and the group must serve again with
 * everything that it confirmed. Rules are checked on each observation, and the
 * run ends at the first violation.
 */
import { memberId } from '../../state/consensus/control-state.js';
import { applyCommand, stopDisturbances } from './apply-command.js';
import type { RuleViolation } from './rule-violation.js';
import { createRuleChecker } from './rule-checker.js';
import type { ModelHistory } from './history.js';
import { createModelGroup } from './model-group.js';
import type { ModelGroup, InjectedFaults } from './model-group.js';
import type { ModelNode } from './model-node.js';
import { createOperatorCalls } from './operator-calls.js';

/** The violations in a history, and counts of its slots, confirmed calls, installed snapshots and simulated time. */
export type HistoryResult = {
  readonly broken: readonly RuleViolation[];
  /** These counts show that a history was not idle. */
  readonly slots: number;
  readonly confirmed: number;
  readonly adopted: number;
  readonly simulatedMs: number;
};

const BOOTSTRAP_TIMEOUT_MS = 6_000;
const RECOVERY_TIMEOUT_MS = 20_000;
const CHECK_INTERVAL_MS = 100;
const READ_TIMEOUT_MS = 1_000;

function activeNodes(group: ModelGroup): ModelNode[] {
  const out: ModelNode[] = [];
  for (const node of group.nodes) if (!node.retired && !node.stopping) out.push(node);
  return out;
}

function areAllMembers(group: ModelGroup): boolean {
  for (const node of activeNodes(group)) if (!node.controller?.ledger.isMember()) return false;
  return true;
}

/** Describes the ledger state of a node for the report of a violation. */
function describeNode(node: ModelNode): string {
  const ledger = node.controller?.ledger;
  if (!ledger) return `${node.name} has no ledger`;
  const state = ledger.controlState();
  const members: string[] = [];
  for (const member of state.members) members.push(memberId(member).slice(0, 8));
  return `${memberId(ledger.self).slice(0, 8)} holds slot ${state.slot}, accepted up to ${ledger.top()}, members ${members.join(' ')}`;
}

/**
 * Ends all disturbances and starts all nodes; each must complete a linearizable read that includes the newest
 * slot that a caller was answered for.
 */
async function verifyRecovery(group: ModelGroup): Promise<void> {
  const { world, checker } = group;
  stopDisturbances(group);
  for (const node of group.nodes) group.start(node);
  const recovered = new Set<string>();
  const deadline = world.now() + RECOVERY_TIMEOUT_MS;
  const answeredSlot = checker.answers.newestAnsweredSlot();

  async function linearizableRead(node: ModelNode): Promise<void> {
    const ledger = node.controller?.ledger;
    if (!ledger || !(await ledger.linearizableRead(READ_TIMEOUT_MS))) return;
    checker.answers.recordRead(node.name, ledger.controlState().slot, answeredSlot);
    recovered.add(node.name);
  }
  function haveAllRecovered(): boolean {
    for (const node of activeNodes(group)) if (!recovered.has(node.name)) return false;
    return true;
  }
  while (!haveAllRecovered() && world.now() < deadline && checker.broken.length === 0) {
    for (const node of activeNodes(group)) if (!recovered.has(node.name)) void linearizableRead(node);
    await world.advance(CHECK_INTERVAL_MS);
  }
  for (const node of activeNodes(group))
    if (!recovered.has(node.name))
      checker.reportViolation(
        'recovers',
        `${node.name} completed no linearizable read within ${RECOVERY_TIMEOUT_MS} ms: ${describeNode(node)}`,
      );
}

/** Runs a history to its end or to the first violation. */
export async function runHistory(history: ModelHistory, injectedFaults: InjectedFaults = {}): Promise<HistoryResult> {
  const checker = createRuleChecker();
  const group = createModelGroup(history.worldSeed, history.controllers, history.ringFiles, checker, injectedFaults);
  const operatorCalls = createOperatorCalls(group);
  const { world } = group;
  function isBootstrapped(): boolean {
    return areAllMembers(group);
  }
  for (const node of group.nodes) group.start(node);
  if (!(await world.until(BOOTSTRAP_TIMEOUT_MS, isBootstrapped)))
    checker.reportViolation('bootstraps', `not all controllers became members within ${BOOTSTRAP_TIMEOUT_MS} ms`);
  for (const { command, waitMs } of history.steps) {
    if (checker.broken.length > 0) break;
    applyCommand(group, operatorCalls, command);
    group.recordUnavailable();
    await world.advance(waitMs);
    group.recordUnavailable();
  }
  if (checker.broken.length === 0) await verifyRecovery(group);
  checker.answers.checkOutcomes();
  return {
    broken: checker.broken,
    slots: checker.slots.count(),
    confirmed: operatorCalls.confirmed(),
    adopted: checker.slots.adopted(),
    simulatedMs: world.now(),
  };
}
