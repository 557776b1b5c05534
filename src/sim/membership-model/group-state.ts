/**
 * The state of the membership model: machines of the core, the group of members in the replicated log, and which disks
 * hold the newest acknowledged order. Messages, slots and ballots are not modelled: an entry is agreed when a majority
 * of the group is in touch, as sections 1 and 3 of docs/consistency.md show.
 */

/** `dark`: without power, frozen or cut off, with its disk. `gone`: never comes back. */
export type Power = 'up' | 'dark' | 'gone';

/** One machine of the core. */
export type Machine = {
  readonly name: string;
  readonly power: Power;
  /** The identity on its disk; it changes when the disk is lost and when the machine joins anew after its removal. */
  readonly incarnation: number;
  /** Whether its disk holds the newest acknowledged order. */
  readonly holdsNewest: boolean;
  /** Whether it lost its disk and has not been back for some seconds since. */
  readonly lostDisk: boolean;
  /** `new`: started less than some seconds ago. `ready`: may be counted as the successor of one that is gone. */
  readonly succession: 'new' | 'ready' | 'none';
};

/** A member as the replicated log names it. */
export type MemberIdentity = { readonly name: string; readonly incarnation: number };

/** The state of the whole core. */
export type GroupState = {
  readonly machines: readonly Machine[];
  readonly members: readonly MemberIdentity[];
  /** Members that were removed while silent and have not come back. */
  readonly removedSilent: readonly MemberIdentity[];
  /** Machines that are gone and have no successor; each counts as a lost disk. */
  readonly gonesWithoutSuccessor: number;
  /** Whether a machine with a successor was switched off, and neither some seconds nor an order have followed. */
  readonly hasUnnoticedEnd: boolean;
};

/** Returns a core of `size` machines, all of them up and members. */
export function initialState(size: number): GroupState {
  const machines: Machine[] = [];
  for (let i = 1; i <= size; i += 1)
    machines.push({
      name: `m${i}`,
      power: 'up',
      incarnation: 0,
      holdsNewest: true,
      lostDisk: false,
      succession: 'none',
    });
  return {
    machines,
    members: machines.map(({ name, incarnation }) => ({ name, incarnation })),
    removedSilent: [],
    gonesWithoutSuccessor: 0,
    hasUnnoticedEnd: false,
  };
}

/** Returns the machine of this name. */
export function machineOf(state: GroupState, name: string): Machine {
  return state.machines.find((machine) => machine.name === name) as Machine;
}

/** Returns the state with the given changes to one machine. */
export function withMachine(state: GroupState, name: string, changes: Partial<Machine>): GroupState {
  const machines = state.machines.map((machine) => (machine.name === name ? { ...machine, ...changes } : machine));
  return { ...state, machines };
}

/** Whether two identities are the same. */
export function isSameIdentity(left: MemberIdentity, right: MemberIdentity): boolean {
  return left.name === right.name && left.incarnation === right.incarnation;
}

/** Whether the machine of a member has this identity on its disk and is up. */
export function isInTouch(state: GroupState, member: MemberIdentity): boolean {
  const machine = machineOf(state, member.name);
  return machine.power === 'up' && machine.incarnation === member.incarnation;
}

/** Returns the members that don't respond. */
export function silentMembers(state: GroupState): readonly MemberIdentity[] {
  return state.members.filter((member) => !isInTouch(state, member));
}

/** Whether a majority of the group is in touch, so that an entry can be agreed. */
export function hasMajority(state: GroupState): boolean {
  return 2 * (state.members.length - silentMembers(state).length) > state.members.length;
}

/** Whether a machine is a member under the identity on its disk. */
export function isMember(state: GroupState, machine: Machine): boolean {
  return state.members.some((member) => isSameIdentity(member, machine));
}
