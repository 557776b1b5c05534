/**
 * Runs one history against real controllers: they found their ledger, the steps
 * are taken one by one, then all that disturbs is taken away and the group must
 * serve again, holding all that it confirmed. The rules are looked at as facts
 * come in, and the run ends at the first that did not hold.
 */
import { memberId } from '../../state/consensus/control-state.js';
import { applyCommand, calm } from './apply-command.js';
import type { Broken } from './broken.js';
import { createFacts } from './facts.js';
import type { ModelHistory } from './history.js';
import { createModelGroup } from './model-group.js';
import type { ModelGroup, Sabotage } from './model-group.js';
import type { ModelNode } from './model-node.js';
import { createOperatorCalls } from './operator-calls.js';

export type HistoryEnd = {
  readonly broken: readonly Broken[];
  /** Figures of what the history did, to see that histories are not idle. */
  readonly slots: number;
  readonly confirmed: number;
  readonly adopted: number;
  readonly simulatedMs: number;
};

const FOUND_MS = 6_000;
const RECOVER_MS = 20_000;
const CHECK_MS = 100;
const READ_TIMEOUT_MS = 1_000;

function living(group: ModelGroup): ModelNode[] {
  const out: ModelNode[] = [];
  for (const node of group.nodes) if (!node.retired && !node.ending) out.push(node);
  return out;
}

function isWhole(group: ModelGroup): boolean {
  for (const node of living(group)) if (!node.controller?.ledger.isMember()) return false;
  return true;
}

/** What a node holds, to be read beside a rule that did not hold. */
function portraitOf(node: ModelNode): string {
  const ledger = node.controller?.ledger;
  if (!ledger) return `${node.name} has no ledger`;
  const state = ledger.controlState();
  const members: string[] = [];
  for (const member of state.members) members.push(memberId(member).slice(0, 8));
  return `${memberId(ledger.self).slice(0, 8)} holds slot ${state.slot}, accepted up to ${ledger.top()}, members ${members.join(' ')}`;
}

/** All are started, and each must settle with a majority at or past all that was answered. */
async function recover(group: ModelGroup): Promise<void> {
  const { world, facts } = group;
  calm(group);
  for (const node of group.nodes) group.start(node);
  const settled = new Set<string>();
  const until = world.now() + RECOVER_MS;
  const floor = facts.answers.floor();

  async function linearizableRead(node: ModelNode): Promise<void> {
    const ledger = node.controller?.ledger;
    if (!ledger || !(await ledger.linearizableRead(READ_TIMEOUT_MS))) return;
    facts.answers.noteSettled(node.name, ledger.controlState().slot, floor);
    settled.add(node.name);
  }
  function isDone(): boolean {
    for (const node of living(group)) if (!settled.has(node.name)) return false;
    return true;
  }
  while (!isDone() && world.now() < until && facts.broken.length === 0) {
    for (const node of living(group)) if (!settled.has(node.name)) void linearizableRead(node);
    await world.advance(CHECK_MS);
  }
  for (const node of living(group))
    if (!settled.has(node.name))
      facts.fail('recovers', `${node.name} did not settle within ${RECOVER_MS} ms: ${portraitOf(node)}`);
}

export async function runHistory(history: ModelHistory, sabotage: Sabotage = {}): Promise<HistoryEnd> {
  const facts = createFacts();
  const group = createModelGroup(history.worldSeed, history.controllers, history.ringFiles, facts, sabotage);
  const calls = createOperatorCalls(group);
  const { world } = group;
  function bootstrapped(): boolean {
    return isWhole(group);
  }
  for (const node of group.nodes) group.start(node);
  if (!(await world.until(FOUND_MS, bootstrapped)))
    facts.fail('bootstraps', `not all were members within ${FOUND_MS} ms`);
  for (const { command, waitMs } of history.steps) {
    if (facts.broken.length > 0) break;
    applyCommand(group, calls, command);
    group.look();
    await world.advance(waitMs);
    group.look();
  }
  if (facts.broken.length === 0) await recover(group);
  facts.answers.judge();
  return {
    broken: facts.broken,
    slots: facts.slots.count(),
    confirmed: calls.confirmed(),
    adopted: facts.slots.adopted(),
    simulatedMs: world.now(),
  };
}
