/** What each command of a history does to the group. */
import type { ModelCommand } from './history.js';
import type { ModelGroup } from './model-group.js';
import type { ModelNode } from './model-node.js';
import type { OperatorCalls } from './operator-calls.js';

/** More machines than this at a time would only make histories slow. */
const MOST_NODES = 6;

function present(group: ModelGroup): ModelNode[] {
  const out: ModelNode[] = [];
  for (const node of group.nodes) if (!node.retired) out.push(node);
  return out;
}

/** The node at an index, counted modulo those that are there. */
function nodeAt(group: ModelGroup, index: number): ModelNode {
  const nodes = present(group);
  return nodes[index % nodes.length] as ModelNode;
}

/** The node that a caller reaches: calls go to those that run, while any does. */
function callee(group: ModelGroup, index: number): ModelNode {
  const running: ModelNode[] = [];
  for (const node of present(group)) if (node.controller) running.push(node);
  return running[index % Math.max(1, running.length)] ?? nodeAt(group, index);
}

function startAll(group: ModelGroup): void {
  for (const node of group.nodes) group.start(node);
}

function losePower(group: ModelGroup, node: ModelNode, atWrite: number): void {
  if (atWrite === 0) group.losePower(node);
  else node.strikeIn = atWrite;
}

function loseDisk(group: ModelGroup, node: ModelNode): void {
  if (!node.ending && group.bearsLossOf(node)) group.loseDisk(node);
}

function cutBetween(group: ModelGroup, from: ModelNode, to: ModelNode, bothWays: boolean): void {
  if (from === to) return;
  group.world.cut(from.name, to.name);
  if (bothWays) group.world.cut(to.name, from.name);
}

function isolate(group: ModelGroup, node: ModelNode, bothWays: boolean): void {
  for (const other of present(group)) cutBetween(group, node, other, bothWays);
}

function join(group: ModelGroup): void {
  if (present(group).length < MOST_NODES) group.start(group.add());
}

const STOP_MS = 7_000;

/** Told to end: it leaves by its own entry where it can, and is not started again. */
async function leave(group: ModelGroup, node: ModelNode): Promise<void> {
  if (node.ending || node.retired || !group.bearsLossOf(node)) return;
  node.ending = true;
  await node.controller?.stop(STOP_MS);
  group.kill(node);
  group.retire(node);
}

function replaceLost(group: ModelGroup, node: ModelNode, afterMs: number): void {
  if (node.ending || !group.bearsLossOf(node)) return;
  group.losePower(node);
  group.retire(node);
  const replacement = group.add();
  function arrive(): void {
    group.start(replacement);
  }
  group.world.at(afterMs, arrive);
}

function replacePlanned(group: ModelGroup, node: ModelNode, afterMs: number): void {
  join(group);
  function end(): void {
    void leave(group, node);
  }
  group.world.at(afterMs, end);
}

/** Takes away all that disturbs: cuts, frozen machines, lost and late frames. */
export function calm(group: ModelGroup): void {
  group.lostShare = 0;
  group.net.setFrameDisturbance({ delayProbability: 0, duplicateProbability: 0, reorderProbability: 0 });
  group.world.healAll();
  for (const node of group.nodes) {
    node.strikeIn = null;
    if (node.host.frozen) group.world.thaw(node.host);
  }
}

export function applyCommand(group: ModelGroup, calls: OperatorCalls, command: ModelCommand): void {
  switch (command.kind) {
    case 'propose':
      return calls.propose(callee(group, command.node), command.bytes);
    case 'change':
      return calls.change(callee(group, command.node), command.onOlder);
    case 'resend':
      return calls.resend(callee(group, command.node), command.change);
    case 'read':
      return calls.read(callee(group, command.node));
    case 'kill':
      return group.kill(nodeAt(group, command.node));
    case 'powerLoss':
      return losePower(group, nodeAt(group, command.node), command.atWrite);
    case 'powerLossOfAll':
      for (const node of present(group)) group.losePower(node);
      return;
    case 'diskLoss':
      return loseDisk(group, nodeAt(group, command.node));
    case 'startAll':
      return startAll(group);
    case 'start':
      return group.start(nodeAt(group, command.node));
    case 'freeze':
      return group.world.freeze(nodeAt(group, command.node).host);
    case 'thawAll':
      for (const node of group.nodes) if (node.host.frozen) group.world.thaw(node.host);
      return;
    case 'cut':
      return cutBetween(group, nodeAt(group, command.from), nodeAt(group, command.to), command.bothWays);
    case 'isolate':
      return isolate(group, nodeAt(group, command.node), command.bothWays);
    case 'heal':
      return group.world.healAll();
    case 'disturb':
      group.lostShare = command.lost;
      return group.net.setFrameDisturbance({
        delayProbability: command.slow,
        duplicateProbability: command.twice,
        reorderProbability: command.overtake,
      });
    case 'join':
      return join(group);
    case 'leave':
      void leave(group, nodeAt(group, command.node));
      return;
    case 'replaceLost':
      return replaceLost(group, nodeAt(group, command.node), command.afterMs);
    case 'replacePlanned':
      return replacePlanned(group, nodeAt(group, command.node), command.afterMs);
  }
}
