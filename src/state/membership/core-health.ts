/**
 * Computes how many further member losses the core (the group of controllers) tolerates, from the view of one
 * controller.
 *
 * Pure functions of the members and their last known status. A member counts only while it is in contact, can write
 * and is complete. The core is operational while one such member reaches a majority of all members, itself included,
 * that count too. A controller without contact to a majority cannot judge the core: it reports that and no figures.
 */

/** The known status of one member at one point in time. */
export type MemberView = {
  readonly id: string;
  readonly name: string;
  /** Whether its last response is recent enough to count; always true for the observing controller itself. */
  readonly inTouch: boolean;
  /** Newest slot that it had learned as of its last response; -1 without a response. */
  readonly learned: number;
  /** Newest slot that it had accepted as of its last response; -1 without a response. */
  readonly top: number;
  readonly writable: boolean;
  /** Whether its copy of the data in question is complete: every required slot of the ledger, or all claims. */
  readonly isComplete: boolean;
  /** Ids of the members that it reports to have lost contact with. */
  readonly unheard: readonly string[];
};

/** Why a member does not count towards the majority of complete members. */
export type ExclusionReason = 'silent' | 'behind' | 'cannotWrite';

/** The health of one member as the observing controller sees it. */
export type MemberHealth = {
  readonly id: string;
  readonly name: string;
  readonly inTouch: boolean;
  readonly learned: number;
  readonly top: number;
  readonly lack: ExclusionReason | null;
  /** Whether the core would stop if this member were lost now; null while unknown. */
  readonly essential: boolean | null;
};

/**
 * - `notMember`: the observing controller is not a member of the core, so it cannot judge it.
 * - `noMajority`: it has no contact with a majority, so it cannot judge the core.
 * - `noWholeQuorum`: the members in contact that are complete form no quorum; the core is stopped or still catching up.
 * - `noSpareLoss`: the core is operational, but the loss of one more member may stop it.
 */
export type CoreWarning = 'notMember' | 'noMajority' | 'noWholeQuorum' | 'noSpareLoss';

/** How many further losses the controllers tolerate. The status response uses these field names. */
export type CoreHealth = {
  readonly members: number;
  readonly quorumSize: number;
  readonly inTouch: number;
  /** Number of members that are in contact, writable and complete; null while unknown. */
  readonly holdingAll: number | null;
  /** Number of losses, of whichever members, after which a quorum of complete members remains; null while unknown. */
  readonly spareLosses: number | null;
  readonly warning: CoreWarning | null;
  readonly details: readonly MemberHealth[];
};

type CountedMembers = { readonly completeMembers: readonly MemberView[]; readonly quorumSize: number };

function quorumOf(members: number): number {
  return Math.floor(members / 2) + 1;
}

function exclusionReasonOf(member: MemberView): ExclusionReason | null {
  if (!member.inTouch) return 'silent';
  if (!member.writable) return 'cannotWrite';
  return member.isComplete ? null : 'behind';
}

function canReachEachOther(left: MemberView, right: MemberView): boolean {
  return !left.unheard.includes(right.id) && !right.unheard.includes(left.id);
}

/** Whether one of the remaining members can act as proposer: it reaches a quorum of them, itself included. */
function canFormQuorum(remaining: readonly MemberView[], quorumSize: number): boolean {
  for (const proposer of remaining) {
    let reachedCount = 0;
    for (const member of remaining) if (canReachEachOther(proposer, member)) reachedCount += 1;
    if (reachedCount >= quorumSize) return true;
  }
  return false;
}

/**
 * Whether the core stays operational whichever members are lost, for this number of losses. A group has at most nine
 * members, so every subset is checked.
 */
function toleratesAnyLossOf(losses: number, { completeMembers: complete, quorumSize }: CountedMembers): boolean {
  for (let lostMask = 0; lostMask < 1 << complete.length; lostMask += 1) {
    const remaining: MemberView[] = [];
    for (let i = 0; i < complete.length; i += 1)
      if ((lostMask & (1 << i)) === 0) remaining.push(complete[i] as MemberView);
    if (complete.length - remaining.length === losses && !canFormQuorum(remaining, quorumSize)) return false;
  }
  return true;
}

function countSpareLosses(counted: CountedMembers): number {
  let spareLosses = 0;
  while (spareLosses < counted.completeMembers.length && toleratesAnyLossOf(spareLosses + 1, counted)) spareLosses += 1;
  return spareLosses;
}

function isEssential(member: MemberView, { completeMembers: complete, quorumSize }: CountedMembers): boolean {
  const remaining: MemberView[] = [];
  for (const other of complete) if (other.id !== member.id) remaining.push(other);
  return !canFormQuorum(remaining, quorumSize);
}

function detailOf(member: MemberView, essential: boolean | null): MemberHealth {
  return {
    id: member.id,
    name: member.name,
    inTouch: member.inTouch,
    learned: member.learned,
    top: member.top,
    lack: exclusionReasonOf(member),
    essential,
  };
}

function unknownHealth(members: readonly MemberView[], inTouch: number, warning: CoreWarning): CoreHealth {
  const details: MemberHealth[] = [];
  for (const member of members) details.push(detailOf(member, null));
  return {
    members: members.length,
    quorumSize: quorumOf(members.length),
    inTouch,
    holdingAll: null,
    spareLosses: null,
    warning,
    details,
  };
}

/** Returns the health of the core as the member `self` sees it; `self` is always in contact with itself. */
export function coreHealth(self: string, members: readonly MemberView[]): CoreHealth {
  const quorumSize = quorumOf(members.length);
  const complete: MemberView[] = [];
  let inTouch = 0;
  let isMember = false;
  for (const member of members) {
    if (member.id === self) isMember = true;
    if (member.inTouch) inTouch += 1;
    if (exclusionReasonOf(member) === null) complete.push(member);
  }
  if (!isMember) return unknownHealth(members, inTouch, 'notMember');
  if (inTouch < quorumSize) return unknownHealth(members, inTouch, 'noMajority');
  const counted: CountedMembers = { completeMembers: complete, quorumSize };
  const isOperational = canFormQuorum(complete, quorumSize);
  const spareLosses = isOperational ? countSpareLosses(counted) : 0;
  const details: MemberHealth[] = [];
  for (const member of members) details.push(detailOf(member, isEssential(member, counted)));
  const warning = !isOperational ? 'noWholeQuorum' : spareLosses === 0 ? 'noSpareLoss' : null;
  return { members: members.length, quorumSize, inTouch, holdingAll: complete.length, spareLosses, warning, details };
}
