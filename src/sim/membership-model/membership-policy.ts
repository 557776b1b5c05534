/**
 * The rules of membership that the model compares: the one in force, by the size that the group is meant to have, and
 * the former one, which removed and replaced silent members whatever the size.
 */
import { hasMajority, isInTouch, isMember, isSameIdentity, silentMembers } from './group-state.js';
import type { GroupState, Machine, MemberIdentity } from './group-state.js';

/** What the group does by itself. Each function is called only while a majority is in touch. */
export interface MembershipPolicy {
  /** Admits a machine that is no member. */
  admit(state: GroupState, joiner: Machine): GroupState;
  /** What happens some seconds after members have fallen silent. */
  afterSilence(state: GroupState): GroupState;
  /** What happens before an order is acknowledged. */
  beforeAcknowledgement(state: GroupState): GroupState;
  /** A member that is told to end leaves. */
  leave(state: GroupState, leaving: Machine): GroupState;
}

function withoutMember(state: GroupState, member: MemberIdentity): GroupState {
  return { ...state, members: state.members.filter((other) => !isSameIdentity(other, member)) };
}

function withReplaced(state: GroupState, old: MemberIdentity, member: MemberIdentity): GroupState {
  const members = state.members.map((other) => (isSameIdentity(other, old) ? member : other));
  return { ...state, members };
}

function identityOf({ name, incarnation }: MemberIdentity): MemberIdentity {
  return { name, incarnation };
}

function withoutName(identities: readonly MemberIdentity[], name: string): readonly MemberIdentity[] {
  return identities.filter((identity) => identity.name !== name);
}

/** The rule in force: silent members are removed above the target size 2f + 1 only. */
export class TargetSizePolicy implements MembershipPolicy {
  private readonly targetSize: number;

  constructor(toleratedLosses: number) {
    this.targetSize = 2 * toleratedLosses + 1;
  }

  admit(state: GroupState, joiner: Machine): GroupState {
    const sameName = state.members.find((member) => member.name === joiner.name);
    const members = sameName
      ? withReplaced(state, sameName, identityOf(joiner)).members
      : [...state.members, identityOf(joiner)];
    return { ...state, members, removedSilent: withoutName(state.removedSilent, joiner.name) };
  }

  afterSilence(state: GroupState): GroupState {
    return this.removeSilent(state);
  }

  beforeAcknowledgement(state: GroupState): GroupState {
    return this.removeSilent(state);
  }

  private removeSilent(state: GroupState): GroupState {
    let next = state;
    while (next.members.length > this.targetSize && hasMajority(next)) {
      const [silent] = silentMembers(next);
      if (!silent) return next;
      next = { ...withoutMember(next, silent), removedSilent: [...next.removedSilent, silent] };
    }
    return next;
  }

  leave(state: GroupState, leaving: Machine): GroupState {
    if (state.members.length > this.targetSize) return withoutMember(state, leaving);
    const restored = state.removedSilent.at(-1);
    if (!restored) return state;
    const removedSilent = state.removedSilent.filter((other) => !isSameIdentity(other, restored));
    return { ...withReplaced(state, leaving, restored), removedSilent };
  }
}

const MIN_ODD_SIZE_TO_SHRINK = 5;

/** The former rule, with the cases that refuted it: a silent member was replaced or removed at any size. */
export class FormerPolicy implements MembershipPolicy {
  admit(state: GroupState, joiner: Machine): GroupState {
    const replaced = state.members.find((member) => member.name === joiner.name) ?? silentMembers(state)[0];
    if (replaced) return withReplaced(state, replaced, identityOf(joiner));
    return { ...state, members: [...state.members, identityOf(joiner)] };
  }

  afterSilence(state: GroupState): GroupState {
    let next = state;
    for (;;) {
      const silent = silentMembers(next);
      const [first] = silent;
      const isEven = next.members.length % 2 === 0;
      const mayRemove = isEven || (silent.length >= 2 && next.members.length >= MIN_ODD_SIZE_TO_SHRINK);
      if (!first || !mayRemove || !hasMajority(next)) return next;
      next = withoutMember(next, first);
    }
  }

  beforeAcknowledgement(state: GroupState): GroupState {
    return state;
  }

  leave(state: GroupState, leaving: Machine): GroupState {
    return state.members.length % 2 === 0 ? withoutMember(state, leaving) : state;
  }
}

/** Lets all machines that are up and no members join, and all members learn everything, while a majority is in touch. */
export function settle(state: GroupState, policy: MembershipPolicy): GroupState {
  let next = state;
  for (const { name } of state.machines) {
    if (!hasMajority(next)) return next;
    const machine = next.machines.find((other) => other.name === name) as Machine;
    if (machine.power !== 'up' || isMember(next, machine)) continue;
    const wasRemoved = next.removedSilent.some((removed) => isSameIdentity(removed, machine));
    const joiner = { ...machine, incarnation: machine.incarnation + (wasRemoved ? 1 : 0) };
    const machines = next.machines.map((other) => (other.name === name ? joiner : other));
    next = policy.admit({ ...next, machines }, joiner);
  }
  return withAllCaughtUp(next);
}

function withAllCaughtUp(state: GroupState): GroupState {
  const inTouch = state.members.filter((member) => isInTouch(state, member)).map(({ name }) => name);
  if (!hasMajority(state) || !state.machines.some((m) => inTouch.includes(m.name) && m.holdsNewest)) return state;
  const machines = state.machines.map((machine) =>
    inTouch.includes(machine.name) ? { ...machine, holdsNewest: true } : machine,
  );
  return { ...state, machines };
}
