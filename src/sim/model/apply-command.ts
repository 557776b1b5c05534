/** Applies the commands of a history to the group. */
import type { ModelCommand } from './history.js';
import type { ModelGroup } from './model-group.js';
import type { ModelNode } from './model-node.js';
import type { OperatorCalls } from './operator-calls.js';

/** Limit of machines at a time; more would only make histories slow. */
const MAX_NODES = 6;

function presentNodes(group: ModelGroup): ModelNode[] {
  const out: ModelNode[] = [];
  for (const node of group.nodes) if (!node.retired) out.push(node);
  return out;
}

/** The node at an index, taken modulo the number of nodes present. */
function nodeAt(group: ModelGroup, index: number): ModelNode {
  const nodes = presentNodes(group);
  return nodes[index % nodes.length] as ModelNode;
}

/** The node that a call goes to: a running one, if there is any. */
function nodeForCall(group: ModelGroup, index: number): ModelNode {
  const running: ModelNode[] = [];
  for (const node of presentNodes(group)) if (node.controller) running.push(node);
  return running[index % Math.max(1, running.length)] ?? nodeAt(group, index);
}

function startAll(group: ModelGroup): void {
  for (const node of group.nodes) group.start(node);
}

function losePower(group: ModelGroup, node: ModelNode, atWrite: number): void {
  if (atWrite === 0) group.losePower(node);
  else node.operationsUntilPowerLoss = atWrite;
}

function loseDisk(group: ModelGroup, node: ModelNode): void {
  if (!node.stopping && group.toleratesLossOf(node)) group.loseDisk(node);
}

function blockTraffic(group: ModelGroup, from: ModelNode, to: ModelNode, bothWays: boolean): void {
  if (from === to) return;
  group.world.cut(from.name, to.name);
  if (bothWays) group.world.cut(to.name, from.name);
}

function isolate(group: ModelGroup, node: ModelNode, bothWays: boolean): void {
  for (const other of presentNodes(group)) blockTraffic(group, node, other, bothWays);
}

function join(group: ModelGroup): void {
  if (presentNodes(group).length < MAX_NODES) group.start(group.add());
}

const STOP_TIMEOUT_MS = 7_000;

/** Stops a node for good: it leaves with an entry of its own if it can, and is not started again. */
async function leave(group: ModelGroup, node: ModelNode): Promise<void> {
  if (node.stopping || node.retired || !group.toleratesLossOf(node)) return;
  node.stopping = true;
  await node.controller?.stop(STOP_TIMEOUT_MS);
  group.kill(node);
  group.retire(node);
}

function replaceLost(group: ModelGroup, node: ModelNode, afterMs: number): void {
  if (node.stopping || !group.toleratesLossOf(node)) return;
  group.losePower(node);
  group.retire(node);
  const replacement = group.add();
  function startReplacement(): void {
    group.start(replacement);
  }
  group.world.at(afterMs, startReplacement);
}

function replacePlanned(group: ModelGroup, node: ModelNode, afterMs: number): void {
  join(group);
  function stopNode(): void {
    void leave(group, node);
  }
  group.world.at(afterMs, stopNode);
}

/** Ends all disturbances: partitions, frozen machines, scheduled losses of power, lost and delayed frames. */
export function stopDisturbances(group: ModelGroup): void {
  group.frameLossRate = 0;
  group.net.setFrameDisturbance({ delayProbability: 0, duplicateProbability: 0, reorderProbability: 0 });
  group.world.healAll();
  for (const node of group.nodes) {
    node.operationsUntilPowerLoss = null;
    if (node.host.frozen) group.world.thaw(node.host);
  }
}

/** Applies one command; calls and stops that it starts run on in the background. */
export function applyCommand(group: ModelGroup, operatorCalls: OperatorCalls, command: ModelCommand): void {
  switch (command.kind) {
    case 'propose':
      return operatorCalls.propose(nodeForCall(group, command.node), command.bytes);
    case 'change':
      return operatorCalls.change(nodeForCall(group, command.node), command.onOlder);
    case 'resend':
      return operatorCalls.resend(nodeForCall(group, command.node), command.change);
    case 'read':
      return operatorCalls.read(nodeForCall(group, command.node));
    case 'kill':
      return group.kill(nodeAt(group, command.node));
    case 'powerLoss':
      return losePower(group, nodeAt(group, command.node), command.atWrite);
    case 'powerLossOfAll':
      for (const node of presentNodes(group)) group.losePower(node);
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
      return blockTraffic(group, nodeAt(group, command.from), nodeAt(group, command.to), command.bothWays);
    case 'isolate':
      return isolate(group, nodeAt(group, command.node), command.bothWays);
    case 'heal':
      return group.world.healAll();
    case 'disturb':
      group.frameLossRate = command.lost;
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
