/**
 * The steps of the membership model: what happens to machines, and what the group does about it. A history is allowed
 * while no more disks are lost than the core tolerates; a machine that is gone counts as one until its successor holds
 * everything.
 */
import {
  hasMajority,
  isInTouch,
  isMember,
  isSameIdentity,
  machineOf,
  silentMembers,
  withMachine,
} from './group-state.js';
import type { GroupState, Machine } from './group-state.js';
import { settle } from './membership-policy.js';
import type { MembershipPolicy } from './membership-policy.js';

/** One step of a history, as it is printed. */
export type Step = { readonly label: string; readonly next: GroupState };

/** What a history is explored with. */
export type StepOptions = {
  readonly policy: MembershipPolicy;
  readonly toleratedLosses: number;
  readonly maxNewMachines: number;
  /** Whether a machine that is told to end may come back with its disk. */
  readonly restartsMachines: boolean;
};

/** Returns the number of lost disks that count towards the tolerance. */
export function countedLosses(state: GroupState): number {
  const present = state.machines.filter((machine) => machine.power !== 'gone');
  const lost = present.filter((machine) => machine.lostDisk);
  const incoming = present.filter((machine) => machine.succession === 'new' && !machine.lostDisk);
  return lost.length + Math.max(incoming.length, state.gonesWithoutSuccessor);
}

/** Returns how many members are gone and have a successor: they do not count as lost but still have their votes. */
export function succeededMembers(state: GroupState): number {
  const gone = state.members.filter((member) => machineOf(state, member.name).power === 'gone');
  return Math.max(0, gone.length - state.gonesWithoutSuccessor);
}

function combinations<T>(items: readonly T[], size: number): T[][] {
  if (size === 0) return [[]];
  const [first, ...rest] = items;
  if (first === undefined) return [];
  return [...combinations(rest, size - 1).map((others) => [first, ...others]), ...combinations(rest, size)];
}

/** A new machine that holds everything succeeds one that is gone. */
function withSuccessors(state: GroupState): GroupState {
  if (state.gonesWithoutSuccessor === 0) return state;
  const successor = state.machines.find((machine) => isReadySuccessor(state, machine));
  if (!successor) return state;
  const next = withMachine(state, successor.name, { succession: 'none' });
  return withSuccessors({ ...next, gonesWithoutSuccessor: state.gonesWithoutSuccessor - 1 });
}

function isReadySuccessor(state: GroupState, machine: Machine): boolean {
  return machine.succession === 'ready' && machine.power === 'up' && isMember(state, machine);
}

function withGone(state: GroupState, machine: Machine): GroupState {
  const gone = withMachine(state, machine.name, { power: 'gone', holdsNewest: false, lostDisk: false });
  const isSpare = machine.succession === 'ready' && state.gonesWithoutSuccessor === 0;
  const addedCount = isSpare ? 0 : 1;
  const next = withSuccessors({ ...gone, gonesWithoutSuccessor: state.gonesWithoutSuccessor + addedCount });
  return { ...next, hasUnnoticedEnd: succeededMembers(next) > 0 };
}

function withStarted(state: GroupState): GroupState {
  const name = `m${state.machines.length + 1}`;
  const started: Machine = {
    name,
    power: 'up',
    incarnation: 0,
    holdsNewest: false,
    lostDisk: false,
    succession: 'new',
  };
  return { ...state, machines: [...state.machines, started] };
}

function withLostDisks(state: GroupState, machines: readonly Machine[]): GroupState {
  let next = state;
  for (const { name, incarnation } of machines)
    next = withMachine(next, name, {
      power: 'dark',
      incarnation: incarnation + 1,
      holdsNewest: false,
      lostDisk: true,
    });
  return next;
}

function afterLeave(state: GroupState, machine: Machine, policy: MembershipPolicy): GroupState {
  return isMember(state, machine) && hasMajority(state) ? policy.leave(state, machine) : state;
}

/** Time enough that silent members are removed, and that machines that are back or new hold everything. */
function afterSeconds(state: GroupState, policy: MembershipPolicy): GroupState {
  const next = policy.afterSilence(state);
  const machines = next.machines.map((machine) => (isComplete(next, machine) ? withSynced(machine) : machine));
  return withSuccessors({ ...next, machines, hasUnnoticedEnd: false });
}

function isComplete(state: GroupState, machine: Machine): boolean {
  return machine.power === 'up' && machine.holdsNewest && isMember(state, machine);
}

function withSynced(machine: Machine): Machine {
  return { ...machine, lostDisk: false, succession: machine.succession === 'new' ? 'ready' : machine.succession };
}

/** The order is on the disks of a majority alone when it is acknowledged; each majority in touch is one outcome. */
function acknowledgements(state: GroupState, policy: MembershipPolicy): Step[] {
  if (!hasMajority(state)) return [];
  const prepared = policy.beforeAcknowledgement(state);
  const inTouch = prepared.members.filter((member) => isInTouch(prepared, member));
  const quorumSize = Math.floor(prepared.members.length / 2) + 1;
  return combinations(inTouch, quorumSize).map((quorum) => {
    const machines = prepared.machines.map((machine) => ({
      ...machine,
      holdsNewest: quorum.some((member) => isSameIdentity(member, machine)),
    }));
    const label = `acknowledged by ${quorum.map(({ name }) => name).join('+')}`;
    return { label, next: { ...prepared, machines, hasUnnoticedEnd: false } };
  });
}

function lossesOfDisks(state: GroupState, toleratedLosses: number): Step[] {
  const present = state.machines.filter((machine) => machine.power !== 'gone' && !machine.lostDisk);
  const steps: Step[] = [];
  for (let count = 1; count <= toleratedLosses - countedLosses(state); count += 1)
    for (const lost of combinations(present, count))
      steps.push({ label: `disks lost: ${lost.map(({ name }) => name).join('+')}`, next: withLostDisks(state, lost) });
  return steps;
}

function stepsOfMachine(state: GroupState, machine: Machine, options: StepOptions): Step[] {
  const { name, power } = machine;
  if (power === 'gone') return [];
  const steps: Step[] = [{ label: `${name} switched off for good`, next: withGone(state, machine) }];
  if (power === 'dark') return [...steps, { label: `${name} back`, next: withMachine(state, name, { power: 'up' }) }];
  const left = afterLeave(state, machine, options.policy);
  steps.push({ label: `${name} dark`, next: withMachine(state, name, { power: 'dark' }) });
  steps.push({ label: `${name} told to end`, next: withGone(left, machine) });
  if (options.restartsMachines)
    steps.push({ label: `${name} restarted`, next: withMachine(left, name, { power: 'dark' }) });
  return steps;
}

/** Whether a member that is gone can't be told from another that is silent or was removed, and will come back. */
function isAmbiguous(state: GroupState): boolean {
  if (succeededMembers(state) === 0) return false;
  const away = [...silentMembers(state), ...state.removedSilent];
  return away.some((member) => {
    const machine = machineOf(state, member.name);
    return machine.power === 'dark' && isSameIdentity(machine, member);
  });
}

/** What no rule of membership can be right for is left out: docs/consistency.md, section 3, names both cases. */
function isAllowed(state: GroupState, toleratedLosses: number): boolean {
  const losses = countedLosses(state);
  if (state.hasUnnoticedEnd && losses >= toleratedLosses) return false;
  return losses <= toleratedLosses && !isAmbiguous(state);
}

/** Returns all steps that are allowed in a state. A loss of disks may follow an acknowledgement at once. */
export function stepsFrom(state: GroupState, initialMachines: number, options: StepOptions): Step[] {
  const { policy, toleratedLosses, maxNewMachines } = options;
  const steps = lossesOfDisks(state, toleratedLosses);
  const settled = settle(state, policy);
  for (const machine of settled.machines) steps.push(...stepsOfMachine(settled, machine, options));
  if (settled.machines.length < initialMachines + maxNewMachines)
    steps.push({ label: 'new machine started', next: withStarted(settled) });
  if (hasMajority(settled)) steps.push({ label: 'seconds pass', next: afterSeconds(settled, policy) });
  steps.push(...acknowledgements(settled, policy));
  return steps.filter(({ next }) => isAllowed(next, toleratedLosses));
}

/** Whether the core comes back with the newest acknowledged order once every machine that still exists is up. */
export function comesBack(state: GroupState): boolean {
  const machines = state.machines.map((machine) =>
    machine.power === 'dark' ? { ...machine, power: 'up' as const } : machine,
  );
  const next = { ...state, machines };
  const holders = next.members.filter((member) => isInTouch(next, member) && machineOf(next, member.name).holdsNewest);
  return hasMajority(next) && holders.length > 0;
}
