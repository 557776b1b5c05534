/**
 * How many further losses the core of controllers bears, as one controller sees it.
 *
 * Pure functions from the members and what was heard of each. A member counts only while it is in touch and
 * holds everything; the core goes on while one such member reaches a majority of all members, itself included,
 * that are in touch and hold everything too. A controller that hears no majority knows nothing of the core: it
 * says so and gives no figure.
 */

/** What is known of one member at a moment. */
export type MemberView = {
  readonly id: string;
  readonly name: string;
  /** It answered within the last moments; always true of the controller that looks. */
  readonly inTouch: boolean;
  /** Newest slot it had learned when it answered; -1 if it never did. */
  readonly learned: number;
  /** Newest slot it had accepted when it answered; -1 if it never did. */
  readonly top: number;
  readonly writable: boolean;
  /** Whether it holds all of what is judged: every settled slot of the ledger, or all claims. */
  readonly holdsAll: boolean;
  /** Ids of the members that it says it does not hear. */
  readonly unheard: readonly string[];
};

/** Why a member does not count towards the majority that holds everything. */
export type Lack = 'silent' | 'behind' | 'cannotWrite';

/** One member, as the controller that looks sees it. */
export type MemberHealth = {
  readonly id: string;
  readonly name: string;
  readonly inTouch: boolean;
  readonly learned: number;
  readonly top: number;
  readonly lack: Lack | null;
  /** The core would stop if this member were lost now; null while that is not known. */
  readonly essential: boolean | null;
};

/**
 * - `notMember`: the controller belongs to no core, so it knows nothing.
 * - `noMajority`: it hears no majority, so it knows nothing.
 * - `noWholeQuorum`: no majority in touch holds everything; the core is stopped or still catches up.
 * - `noSpareLoss`: the core works, and the loss of one more member may stop it.
 */
export type CoreWarning = 'notMember' | 'noMajority' | 'noWholeQuorum' | 'noSpareLoss';

/** How many further losses the controllers tolerate. Field names are those of the status answer. */
export type CoreHealth = {
  readonly members: number;
  readonly quorumSize: number;
  readonly inTouch: number;
  /** Members in touch that hold everything; null while not known. */
  readonly holdingAll: number | null;
  /** Losses, of the worst members, after which a majority in touch still holds everything; null while not known. */
  readonly spareLosses: number | null;
  readonly warning: CoreWarning | null;
  readonly details: readonly MemberHealth[];
};

type Counted = { readonly whole: readonly MemberView[]; readonly quorumSize: number };

function quorumOf(members: number): number {
  return Math.floor(members / 2) + 1;
}

function lackOf(member: MemberView): Lack | null {
  if (!member.inTouch) return 'silent';
  if (!member.writable) return 'cannotWrite';
  return member.holdsAll ? null : 'behind';
}

function reach(left: MemberView, right: MemberView): boolean {
  return !left.unheard.includes(right.id) && !right.unheard.includes(left.id);
}

/** Whether the members that remain include one that reaches a majority of whole ones, itself among them. */
function goesOn(remaining: readonly MemberView[], quorumSize: number): boolean {
  for (const proposer of remaining) {
    let reached = 0;
    for (const member of remaining) if (reach(proposer, member)) reached += 1;
    if (reached >= quorumSize) return true;
  }
  return false;
}

/** Whether the core goes on after any loss of so many members. Members are nine at most, so all choices are tried. */
function bearsAny(losses: number, { whole: complete, quorumSize }: Counted): boolean {
  for (let lost = 0; lost < 1 << complete.length; lost += 1) {
    const remaining: MemberView[] = [];
    for (let i = 0; i < complete.length; i += 1) if ((lost & (1 << i)) === 0) remaining.push(complete[i] as MemberView);
    if (complete.length - remaining.length === losses && !goesOn(remaining, quorumSize)) return false;
  }
  return true;
}

function spareLossesOf(counted: Counted): number {
  let spare = 0;
  while (spare < counted.whole.length && bearsAny(spare + 1, counted)) spare += 1;
  return spare;
}

function isEssential(member: MemberView, { whole: complete, quorumSize }: Counted): boolean {
  const remaining: MemberView[] = [];
  for (const other of complete) if (other.id !== member.id) remaining.push(other);
  return !goesOn(remaining, quorumSize);
}

function detailOf(member: MemberView, essential: boolean | null): MemberHealth {
  return {
    id: member.id,
    name: member.name,
    inTouch: member.inTouch,
    learned: member.learned,
    top: member.top,
    lack: lackOf(member),
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

/** The health of the core as the member `self` sees it; `self` is always in touch with itself. */
export function coreHealth(self: string, members: readonly MemberView[]): CoreHealth {
  const quorumSize = quorumOf(members.length);
  const complete: MemberView[] = [];
  let inTouch = 0;
  let isMember = false;
  for (const member of members) {
    if (member.id === self) isMember = true;
    if (member.inTouch) inTouch += 1;
    if (lackOf(member) === null) complete.push(member);
  }
  if (!isMember) return unknownHealth(members, inTouch, 'notMember');
  if (inTouch < quorumSize) return unknownHealth(members, inTouch, 'noMajority');
  const counted: Counted = { whole: complete, quorumSize };
  const works = goesOn(complete, quorumSize);
  const spareLosses = works ? spareLossesOf(counted) : 0;
  const details: MemberHealth[] = [];
  for (const member of members) details.push(detailOf(member, isEssential(member, counted)));
  const warning = !works ? 'noWholeQuorum' : spareLosses === 0 ? 'noSpareLoss' : null;
  return { members: members.length, quorumSize, inTouch, holdingAll: complete.length, spareLosses, warning, details };
}
